package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// applyCommand applies a change of a template or customer from a YAML file.
type applyCommand struct {
	streams Streams
	operatorFlags
}

func (*applyCommand) Name() string { return "apply" }

func (*applyCommand) Synopsis() string { return "change a template or customer" }

func (*applyCommand) Usage() string {
	return `apply [--hosts ADDRESS,...] [--output json|table] FILE
  Applies the change in a YAML file. The file holds replaces (the version of the
  object that the change replaces, 0 for a new object), an optional change-id, and
  exactly one of template, customer, delete-template and delete-customer. Success
  means that the change is committed. If the reply is lost, the same file can safely
  be applied again. The exit code is 0 for an accepted change, 3 for a conflict with
  another change, 2 for wrong usage and 1 for other failures.

  Example: lagooncleat apply --hosts 127.0.0.1:7103,127.0.0.1:7113 desk.yaml
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) { c.registerFlags(f) }

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || !c.valid() {
		return printUsage(c.streams, c)
	}
	change, err := loader.LoadChange(f.Arg(0))
	if err != nil {
		return c.streams.fail(err)
	}
	method, body, err := changeBody(change)
	if err != nil {
		return c.streams.fail(err)
	}
	reply, err := c.send(ctx, method, pathOf(change.Edit.Target()), body)
	if err != nil {
		return c.streams.fail(err)
	}
	return c.printResult(f.Arg(0), change, reply)
}

// changeBody returns the HTTP method and the request body for a change.
func changeBody(c registrar.Change) (string, []byte, error) {
	request := struct {
		Change   identifier.ChangeID  `json:"change-id"`
		Replaces identifier.Version   `json:"replaces"`
		Template *configurer.Template `json:"template,omitempty"`
		Customer *configurer.Customer `json:"customer,omitempty"`
	}{Change: c.ID, Replaces: c.Replaces}
	method := http.MethodDelete
	switch e := c.Edit.(type) {
	case registrar.TemplatePut:
		method, request.Template = http.MethodPut, &e.Template
	case registrar.CustomerPut:
		method, request.Customer = http.MethodPut, &e.Customer
	}
	body, err := json.Marshal(request)
	return method, body, err
}

// printResult prints the result of a change and returns the exit status.
func (c *applyCommand) printResult(file string, change registrar.Change, r operatorReply) subcommands.ExitStatus {
	if outputFormat(c.output) == jsonOutput {
		c.streams.Output.Write(r.body)
	}
	switch r.Result {
	case "accepted":
		if outputFormat(c.output) == tableOutput {
			fmt.Fprintf(c.streams.Output, "accepted: %s is at version %d\n", r.Object, r.Version)
		}
		return subcommands.ExitSuccess
	case "conflict":
		fmt.Fprintf(c.streams.Errors, "conflict: %s is at version %d by change %q, %s; this change replaces version %d\n",
			r.Object, r.Current.Version, r.Current.Change, r.Current.state(), change.Replaces)
		return ExitConflict
	case "invalid":
		fmt.Fprintln(c.streams.Errors, describeInvalidField(file, change, r))
	default:
		fmt.Fprintf(c.streams.Errors, "refused: %s\n", strings.TrimSpace(r.Reason+" "+r.Message))
	}
	return subcommands.ExitFailure
}

// describeInvalidField describes a field that the leader rejected. It includes the line
// number if the field is in the object that the file changes.
func describeInvalidField(file string, change registrar.Change, r operatorReply) string {
	target := change.Edit.Target()
	if r.Object != target.String() {
		return fmt.Sprintf("%s: %s: %s", r.Object, r.Field, r.Reason)
	}
	return loader.LocateFault(file, fmt.Sprintf("%s.%s", target.Kind, r.Field), r.Reason).String()
}

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

// applyCommand changes a template or customer.
type applyCommand struct {
	streams Streams
	operatorFlags
}

// Name returns the name of the subcommand.
func (*applyCommand) Name() string { return "apply" }

// Synopsis returns one line about the subcommand.
func (*applyCommand) Synopsis() string { return "change a template or customer" }

// Usage returns the help text.
func (*applyCommand) Usage() string {
	return `apply [--hosts ADDRESS,...] [--output json|table] FILE
  Carries out the change in a YAML file: replaces (the object's version that it
  replaces, 0 for a new object), an optional change-id, and one of template,
  customer, delete-template and delete-customer. Success means that the change is
  committed. The same file may be applied again after a lost reply. The exit code
  is 0 for an accepted change, 3 when another change came first, 2 for wrong usage
  and 1 for other failures.

  Example: lagooncleat apply --hosts 127.0.0.1:7103,127.0.0.1:7113 desk.yaml
`
}

// SetFlags declares the flags.
func (c *applyCommand) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute runs the subcommand.
func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || !c.valid() {
		return usage(c.streams, c)
	}
	change, err := loader.LoadChange(f.Arg(0))
	if err != nil {
		return c.streams.fail(err)
	}
	method, body, err := changeBody(change)
	if err != nil {
		return c.streams.fail(err)
	}
	reply, err := c.ask(ctx, method, pathOf(change.Edit.Target()), body)
	if err != nil {
		return c.streams.fail(err)
	}
	return c.report(f.Arg(0), change, reply)
}

// changeBody returns the method and the body of the request for a change.
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

// report prints how a change ended and returns the exit status.
func (c *applyCommand) report(file string, change registrar.Change, r operatorReply) subcommands.ExitStatus {
	if output(c.output) == jsonOutput {
		c.streams.Output.Write(r.body)
	}
	switch r.Result {
	case "accepted":
		if output(c.output) == tableOutput {
			fmt.Fprintf(c.streams.Output, "accepted: %s is at version %d\n", r.Object, r.Version)
		}
		return subcommands.ExitSuccess
	case "conflict":
		fmt.Fprintf(c.streams.Errors, "conflict: %s is at version %d by change %q, %s; this change replaces version %d\n",
			r.Object, r.Current.Version, r.Current.Change, r.Current.state(), change.Replaces)
		return ExitConflict
	case "invalid":
		fmt.Fprintln(c.streams.Errors, locate(file, change, r))
	default:
		fmt.Fprintf(c.streams.Errors, "refused: %s\n", strings.TrimSpace(r.Reason+" "+r.Message))
	}
	return subcommands.ExitFailure
}

// locate describes a rule that the leader found broken, with its line if it is in the file.
func locate(file string, change registrar.Change, r operatorReply) string {
	target := change.Edit.Target()
	if r.Object != target.String() {
		return fmt.Sprintf("%s: %s: %s", r.Object, r.Field, r.Reason)
	}
	return loader.LocateFault(file, fmt.Sprintf("%s.%s", target.Kind, r.Field), r.Reason).String()
}

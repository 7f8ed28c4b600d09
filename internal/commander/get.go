package commander

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// getCommand prints one template or customer, or all objects of a kind.
type getCommand struct {
	streams Streams
	operatorFlags
}

func (*getCommand) Name() string { return "get" }

func (*getCommand) Synopsis() string { return "show templates or customers" }

func (*getCommand) Usage() string {
	return `get [--hosts ADDRESS,...] [--output json|table] template|customer [ID]
  Shows one object, or all objects of a kind. The result includes every change that
  was accepted before, or is marked as stale. The exit code is 1 if there is no such
  object.

  Example: lagooncleat get --output json customer release-desk
`
}

func (c *getCommand) SetFlags(f *flag.FlagSet) { c.registerFlags(f) }

func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parseName(f.Args())
	if !ok || !c.valid() {
		return printUsage(c.streams, c)
	}
	return c.printRevisions(ctx, c.streams, name, pathOf(name))
}

// historyCommand prints the revisions of a template or customer.
type historyCommand struct {
	streams Streams
	operatorFlags
}

func (*historyCommand) Name() string { return "history" }

func (*historyCommand) Synopsis() string { return "show the revisions of a template or customer" }

func (*historyCommand) Usage() string {
	return `history [--hosts ADDRESS,...] [--output json|table] template|customer ID
  Shows the revisions of one object that are kept, oldest first. The exit code is 1 if
  there is no such object.

  Example: lagooncleat history customer release-desk
`
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) { c.registerFlags(f) }

func (c *historyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parseName(f.Args())
	if !ok || name.ID == "" || !c.valid() {
		return printUsage(c.streams, c)
	}
	return c.printRevisions(ctx, c.streams, name, pathOf(name)+"/history")
}

// printRevisions requests a path and prints the revisions in the reply.
func (o *operatorFlags) printRevisions(ctx context.Context, s Streams, n registrar.Name, path string) subcommands.ExitStatus {
	reply, err := o.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return s.fail(err)
	}
	if reply.Stale {
		fmt.Fprintf(s.Errors, "stale: host %s reaches no leader; showing the configuration that it has in force\n", reply.Control.Host)
	}
	if reply.status == http.StatusNotFound {
		return s.fail(&UnknownObjectError{Name: n})
	}
	if outputFormat(o.output) == jsonOutput {
		s.Output.Write(reply.body)
		return subcommands.ExitSuccess
	}
	table := tabwriter.NewWriter(s.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tversion\tstate\tchange\tat\n", n.Kind)
	for _, r := range reply.Revisions {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", r.objectID(string(n.ID)), r.Version, r.state(), r.Change, r.At.Format(time.RFC3339))
	}
	if err := table.Flush(); err != nil {
		return s.fail(err)
	}
	return subcommands.ExitSuccess
}

// UnknownObjectError reports a template or customer that does not exist.
type UnknownObjectError struct {
	Name registrar.Name
}

// Error returns a message that names the object.
func (e *UnknownObjectError) Error() string {
	return fmt.Sprintf("%s does not exist", e.Name)
}

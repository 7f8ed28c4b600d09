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

// getCommand reads templates or customers.
type getCommand struct {
	streams Streams
	operatorFlags
}

// Name returns the name of the subcommand.
func (*getCommand) Name() string { return "get" }

// Synopsis returns one line about the subcommand.
func (*getCommand) Synopsis() string { return "show templates or customers" }

// Usage returns the help text.
func (*getCommand) Usage() string {
	return `get [--hosts ADDRESS,...] [--output json|table] template|customer [ID]
  Shows one object, or all of a kind. The answer reflects every change accepted
  before, or says that it is stale. The exit code is 1 when there is no such object.

  Example: lagooncleat get --output json customer release-desk
`
}

// SetFlags declares the flags.
func (c *getCommand) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute runs the subcommand.
func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parseName(f.Args())
	if !ok || !c.valid() {
		return usage(c.streams, c)
	}
	return c.show(ctx, c.streams, name, pathOf(name))
}

// historyCommand reads the revisions of a template or customer.
type historyCommand struct {
	streams Streams
	operatorFlags
}

// Name returns the name of the subcommand.
func (*historyCommand) Name() string { return "history" }

// Synopsis returns one line about the subcommand.
func (*historyCommand) Synopsis() string { return "show the revisions of a template or customer" }

// Usage returns the help text.
func (*historyCommand) Usage() string {
	return `history [--hosts ADDRESS,...] [--output json|table] template|customer ID
  Shows the revisions of one object that are kept, the oldest first. The exit code
  is 1 when there is no such object.

  Example: lagooncleat history customer release-desk
`
}

// SetFlags declares the flags.
func (c *historyCommand) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute runs the subcommand.
func (c *historyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parseName(f.Args())
	if !ok || name.ID == "" || !c.valid() {
		return usage(c.streams, c)
	}
	return c.show(ctx, c.streams, name, pathOf(name)+"/history")
}

// show prints the revisions that a path answers with.
func (o *operatorFlags) show(ctx context.Context, s Streams, n registrar.Name, path string) subcommands.ExitStatus {
	reply, err := o.ask(ctx, http.MethodGet, path, nil)
	if err != nil {
		return s.fail(err)
	}
	if reply.Stale {
		fmt.Fprintf(s.Errors, "stale: host %s reaches no leader; this is what it has in force\n", reply.Control.Host)
	}
	if reply.status == http.StatusNotFound {
		return s.fail(&UnknownObjectError{Name: n})
	}
	if output(o.output) == jsonOutput {
		s.Output.Write(reply.body)
		return subcommands.ExitSuccess
	}
	table := tabwriter.NewWriter(s.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tversion\tstate\tchange\tat\n", n.Kind)
	for _, r := range reply.Revisions {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", r.id(string(n.ID)), r.Version, r.state(), r.Change, r.At.Format(time.RFC3339))
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

// Error names the object.
func (e *UnknownObjectError) Error() string {
	return fmt.Sprintf("%s does not exist", e.Name)
}

package commander

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"
	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// rollbackCommand prints the change that puts an earlier revision back.
type rollbackCommand struct {
	streams Streams
	operatorFlags
	to uint64
}

// Name returns the name of the subcommand.
func (*rollbackCommand) Name() string { return "rollback-plan" }

// Synopsis returns one line about the subcommand.
func (*rollbackCommand) Synopsis() string {
	return "print the change that puts an earlier revision back"
}

// Usage returns the help text.
func (*rollbackCommand) Usage() string {
	return `rollback-plan [--hosts ADDRESS,...] --to VERSION template|customer ID
  Prints a file for apply that puts an object back as it was at a version. The
  file replaces the current version, so apply reports a conflict if somebody
  changes the object in between. It changes nothing by itself.

  Example: lagooncleat rollback-plan --to 41 customer release-desk > plan.yaml
`
}

// SetFlags declares the flags.
func (c *rollbackCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.Uint64Var(&c.to, "to", 0, "the version to go back to")
}

// Execute runs the subcommand.
func (c *rollbackCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parseName(f.Args())
	if !ok || name.ID == "" || c.to == 0 || !c.valid() {
		return usage(c.streams, c)
	}
	reply, err := c.ask(ctx, http.MethodGet, pathOf(name)+"/history", nil)
	if err != nil {
		return c.streams.fail(err)
	}
	if reply.Stale {
		return c.streams.fail(&StaleError{Host: reply.Control.Host})
	}
	plan, err := rollbackPlan(name, reply.Revisions, identifier.Version(c.to))
	if err != nil {
		return c.streams.fail(err)
	}
	data, err := yaml.Marshal(plan)
	if err != nil {
		return c.streams.fail(err)
	}
	c.streams.Output.Write(data)
	return subcommands.ExitSuccess
}

// rollbackPlan returns the change from the current revision back to a version.
func rollbackPlan(n registrar.Name, revisions []operatorRevision, to identifier.Version) (loader.ChangeFile, error) {
	for _, r := range revisions {
		if r.Version != to {
			continue
		}
		current := revisions[len(revisions)-1].Version
		plan := loader.ChangeFile{Replaces: &current, Template: r.Template, Customer: r.Customer}
		if r.Deleted && n.Kind == registrar.TemplateKind {
			plan.DeleteTemplate = identifier.TemplateID(n.ID)
		} else if r.Deleted {
			plan.DeleteCustomer = identifier.CustomerID(n.ID)
		}
		return plan, nil
	}
	return loader.ChangeFile{}, &UnknownRevisionError{Name: n, Version: to}
}

// UnknownRevisionError reports a version that the history of an object lacks.
type UnknownRevisionError struct {
	Name    registrar.Name
	Version identifier.Version
}

// Error names the object and the version.
func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("the history of %s has no version %d", e.Name, e.Version)
}

// StaleError reports an answer that may be out of date.
type StaleError struct {
	Host identifier.HostID
}

// Error names the host.
func (e *StaleError) Error() string {
	return fmt.Sprintf("host %s reaches no leader; a plan from what it has in force could be out of date", e.Host)
}

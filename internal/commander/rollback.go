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

// rollbackCommand prints a change file that restores an earlier revision.
type rollbackCommand struct {
	streams Streams
	operatorFlags
	to uint64
}

func (*rollbackCommand) Name() string { return "rollback-plan" }

func (*rollbackCommand) Synopsis() string {
	return "print the change that restores an earlier revision"
}

func (*rollbackCommand) Usage() string {
	return `rollback-plan [--hosts ADDRESS,...] --to VERSION template|customer ID
  Prints a change file for apply that restores an object to the given version. The
  change replaces the current version, so apply reports a conflict if the object
  changes in between. This command itself changes nothing.

  Example: lagooncleat rollback-plan --to 41 customer release-desk > plan.yaml
`
}

func (c *rollbackCommand) SetFlags(f *flag.FlagSet) {
	c.registerFlags(f)
	f.Uint64Var(&c.to, "to", 0, "version to restore")
}

func (c *rollbackCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := parseName(f.Args())
	if !ok || name.ID == "" || c.to == 0 || !c.valid() {
		return printUsage(c.streams, c)
	}
	reply, err := c.send(ctx, http.MethodGet, pathOf(name)+"/history", nil)
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

// rollbackPlan returns the change that restores the revision of an object at a version.
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

// UnknownRevisionError reports a version that is not in an object's history.
type UnknownRevisionError struct {
	Name    registrar.Name
	Version identifier.Version
}

// Error returns a message with the object and the version.
func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("the history of %s has no version %d", e.Name, e.Version)
}

// StaleError reports that a host returned revisions that may be out of date.
type StaleError struct {
	Host identifier.HostID
}

// Error returns a message that names the host.
func (e *StaleError) Error() string {
	return fmt.Sprintf("host %s reaches no leader; a plan made from its configuration could be out of date", e.Host)
}

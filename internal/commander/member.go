package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// memberCommand adds, removes and replaces control hosts.
type memberCommand struct {
	streams Streams
	operatorFlags
}

// Name returns the name of the subcommand.
func (*memberCommand) Name() string { return "control-member" }

// Synopsis returns one line about the subcommand.
func (*memberCommand) Synopsis() string { return "add, remove or replace a control host" }

// Usage returns the help text.
func (*memberCommand) Usage() string {
	return `control-member [--hosts ADDRESS,...] [--output json|table] add HOST
control-member [...] remove HOST
control-member [...] replace OLD NEW
  Changes which hosts keep the replicated log, one at a time. A host is added as
  a learner and votes once it has caught up; it must be running, with a data folder
  and with control.hosts that name it. replace adds the new host before it removes
  the old one. A host that comes back under its own name with an empty disk is
  replaced without this command. Success means that the change is committed. The
  exit code is 0 for success, 3 for a refusal, 2 for wrong usage and 1 for other
  failures.

  Example: lagooncleat control-member --hosts 127.0.0.1:7103 replace h-2 h-4
`
}

// SetFlags declares the flags.
func (c *memberCommand) SetFlags(f *flag.FlagSet) { c.set(f) }

// memberStep is one request about one control host.
type memberStep struct {
	method string
	host   identifier.HostID
}

// memberSteps returns the requests of the arguments, or none for wrong usage.
func memberSteps(arguments []string) []memberStep {
	switch {
	case len(arguments) == 2 && arguments[0] == "add":
		return []memberStep{{http.MethodPut, identifier.HostID(arguments[1])}}
	case len(arguments) == 2 && arguments[0] == "remove":
		return []memberStep{{http.MethodDelete, identifier.HostID(arguments[1])}}
	case len(arguments) == 3 && arguments[0] == "replace" && arguments[1] != arguments[2]:
		return []memberStep{
			{http.MethodPut, identifier.HostID(arguments[2])},
			{http.MethodDelete, identifier.HostID(arguments[1])},
		}
	}
	return nil
}

// Execute runs the subcommand.
func (c *memberCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	steps := memberSteps(f.Args())
	if steps == nil || !c.valid() {
		return usage(c.streams, c)
	}
	var reply operatorReply
	for _, s := range steps {
		var err error
		if reply, err = c.ask(ctx, s.method, "/v1/control-members/"+url.PathEscape(string(s.host)), nil); err != nil {
			return c.streams.fail(err)
		}
		if reply.status != http.StatusOK {
			fmt.Fprintf(c.streams.Errors, "%s: %s\n", s.host, reply.Reason)
			return ExitConflict
		}
	}
	return c.print(reply)
}

// print writes the membership that is committed.
func (c *memberCommand) print(reply operatorReply) subcommands.ExitStatus {
	if output(c.output) == jsonOutput {
		fmt.Fprintln(c.streams.Output, string(reply.body))
		return subcommands.ExitSuccess
	}
	var committed struct {
		Members []struct {
			Host    identifier.HostID    `json:"host"`
			Replica identifier.ReplicaID `json:"replica"`
			Voter   bool                 `json:"voter"`
		} `json:"control-members"`
	}
	if err := json.Unmarshal(reply.body, &committed); err != nil {
		return c.streams.fail(err)
	}
	for _, x := range committed.Members {
		role := "learner"
		if x.Voter {
			role = "voter"
		}
		fmt.Fprintf(c.streams.Output, "%s\t%s\treplica %x\n", x.Host, role, uint64(x.Replica))
	}
	return subcommands.ExitSuccess
}

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

// memberCommand adds, removes or replaces control hosts.
type memberCommand struct {
	streams Streams
	operatorFlags
}

func (*memberCommand) Name() string { return "control-member" }

func (*memberCommand) Synopsis() string { return "add, remove or replace a control host" }

func (*memberCommand) Usage() string {
	return `control-member [--hosts ADDRESS,...] [--output json|table] add HOST
control-member [...] remove HOST
control-member [...] replace OLD NEW
  Changes the members of the replicated log, one host at a time. A host is added as a
  learner and becomes a voter once it has caught up; it must be running, have a data
  folder and be listed in its own control.hosts. replace adds the new host before it
  removes the old one. A host that restarts under the same name with an empty disk is
  replaced without this command. Success means that the change is committed. The exit
  code is 0 for success, 3 for a refusal, 2 for wrong usage and 1 for other failures.

  Example: lagooncleat control-member --hosts 127.0.0.1:7103 replace h-2 h-4
`
}

func (c *memberCommand) SetFlags(f *flag.FlagSet) { c.registerFlags(f) }

// memberRequest is a request that adds or removes one control host.
type memberRequest struct {
	method string
	host   identifier.HostID
}

// memberRequests returns the requests for the arguments, or nil if the arguments are wrong.
func memberRequests(arguments []string) []memberRequest {
	switch {
	case len(arguments) == 2 && arguments[0] == "add":
		return []memberRequest{{http.MethodPut, identifier.HostID(arguments[1])}}
	case len(arguments) == 2 && arguments[0] == "remove":
		return []memberRequest{{http.MethodDelete, identifier.HostID(arguments[1])}}
	case len(arguments) == 3 && arguments[0] == "replace" && arguments[1] != arguments[2]:
		return []memberRequest{
			{http.MethodPut, identifier.HostID(arguments[2])},
			{http.MethodDelete, identifier.HostID(arguments[1])},
		}
	}
	return nil
}

func (c *memberCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	requests := memberRequests(f.Args())
	if requests == nil || !c.valid() {
		return printUsage(c.streams, c)
	}
	var reply operatorReply
	for _, r := range requests {
		var err error
		if reply, err = c.send(ctx, r.method, "/v1/control-members/"+url.PathEscape(string(r.host)), nil); err != nil {
			return c.streams.fail(err)
		}
		if reply.status != http.StatusOK {
			fmt.Fprintf(c.streams.Errors, "%s: %s\n", r.host, reply.Reason)
			return ExitConflict
		}
	}
	return c.print(reply)
}

// print prints the committed membership.
func (c *memberCommand) print(reply operatorReply) subcommands.ExitStatus {
	if outputFormat(c.output) == jsonOutput {
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

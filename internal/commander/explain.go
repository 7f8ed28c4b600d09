package commander

import (
	"context"
	"errors"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/explainer"
)

// exitUnknownRequest is the exit status for a request that no log mentions.
const exitUnknownRequest subcommands.ExitStatus = 4

// explainCommand prints the timeline of a request from the logs of several processes.
type explainCommand struct{ streams Streams }

func (*explainCommand) Name() string { return "explain" }

func (*explainCommand) Synopsis() string { return "print the timeline of a request from logs" }

func (*explainCommand) Usage() string {
	return `explain REQUEST-ID FILE...
  Reads the logs of several processes and prints the lines about a request in order of
  time, with the inputs of each decision, and the lines about changes of its backend
  servers. The exit code is 4 if no line names the request.

  Example: lagooncleat explain 9c41d07be2a35f68 front-1.log front-2.log control-1.log
`
}

func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return printUsage(c.streams, c)
	}
	var sources []explainer.Source
	for _, name := range f.Args()[1:] {
		file, err := os.Open(name)
		if err != nil {
			return c.streams.fail(err)
		}
		defer file.Close()
		sources = append(sources, explainer.Source{Name: name, Reader: file})
	}
	explanation, err := explainer.Explain(f.Arg(0), sources)
	var unknown *explainer.UnknownRequestError
	if errors.As(err, &unknown) {
		c.streams.fail(err)
		return exitUnknownRequest
	}
	if err == nil {
		err = explanation.Print(c.streams.Output)
	}
	if err != nil {
		return c.streams.fail(err)
	}
	return subcommands.ExitSuccess
}

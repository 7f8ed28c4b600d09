// Package commander holds the subcommands of the lagooncleat program.
//
// Each subcommand is a type that implements subcommands.Command. The exit codes are
// 0 for success, 1 for failure and 2 for wrong usage, as in google/subcommands, 3 for
// a conflicting change or a refused change of the control hosts, and 4 for a request
// that no log mentions.
//
// # Usage
//
//	commander.Register(subcommands.DefaultCommander, commander.Streams{Output: os.Stdout, Errors: os.Stderr})
//	flag.Parse()
//	os.Exit(int(subcommands.Execute(context.Background())))
package commander

import (
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/platform"
)

// Streams holds the writers for the results and the errors of a subcommand.
type Streams struct {
	Output io.Writer
	Errors io.Writer
}

// Register adds all subcommands to a commander. They print to the streams.
func Register(c *subcommands.Commander, s Streams) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(&serveCommand{streams: s}, "run")
	c.Register(&demoCommand{streams: s}, "run")
	c.Register(&checkCommand{streams: s, declarations: platform.CheckDeclaration}, "operate")
	c.Register(&applyCommand{streams: s}, "operate")
	c.Register(&memberCommand{streams: s}, "operate")
	c.Register(&getCommand{streams: s}, "operate")
	c.Register(&historyCommand{streams: s}, "operate")
	c.Register(&rollbackCommand{streams: s}, "operate")
	c.Register(&reportCommand{streams: s}, "operate")
	c.Register(&explainCommand{streams: s}, "operate")
	c.Register(&statusCommand{streams: s}, "operate")
	c.Register(&routeCommand{streams: s}, "operate")
	c.Register(&loadCommand{streams: s}, "measure")
}

// fail prints an error and returns the exit status of a failure.
func (s Streams) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(s.Errors, err)
	return subcommands.ExitFailure
}

// Package commander holds the subcommands of the lagooncleat program.
//
// Each subcommand is a type that google/subcommands runs. Exit codes are those
// of that library: 0 for success, 1 for failure, 2 for wrong usage, 3 for a
// change that another change has overtaken, and 4 for a request that no log names.
//
// # Usage
//
//	commander.Register(subcommands.DefaultCommander)
//	flag.Parse()
//	os.Exit(int(subcommands.Execute(context.Background())))
package commander

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Streams are where a command writes.
type Streams struct {
	Output io.Writer
	Errors io.Writer
}

// Register adds all subcommands to the commander.
func Register(c *subcommands.Commander, s Streams) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(&serveCommand{streams: s}, "run")
	c.Register(&demoCommand{streams: s}, "run")
	c.Register(&checkCommand{streams: s}, "operate")
	c.Register(&applyCommand{streams: s}, "operate")
	c.Register(&memberCommand{streams: s}, "operate")
	c.Register(&getCommand{streams: s}, "operate")
	c.Register(&historyCommand{streams: s}, "operate")
	c.Register(&rollbackCommand{streams: s}, "operate")
	c.Register(&reportCommand{streams: s}, "operate")
	c.Register(&explainCommand{streams: s}, "operate")
	c.Register(&statusCommand{streams: s}, "operate")
	c.Register(&loadCommand{streams: s}, "measure")
}

// fail prints an error and returns the exit status of a failure.
func (s Streams) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(s.Errors, err)
	return subcommands.ExitFailure
}

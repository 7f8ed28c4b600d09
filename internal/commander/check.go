package commander

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/loader"
)

// checkCommand checks files before they are used.
type checkCommand struct {
	streams   Streams
	settings  string
	customers string
}

// Name returns the name of the subcommand.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns one line about the subcommand.
func (*checkCommand) Synopsis() string { return "check settings, templates and customers" }

// Usage returns the help text.
func (*checkCommand) Usage() string {
	return `check [--settings FILE] [--customers FILE]
  Checks files and prints every fault with its file, line, field and reason.
  The exit code is 0 when there is none.

  Example: lagooncleat check --customers examples/hangar/customers.yaml
`
}

// SetFlags declares the flags.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings file of an entry host")
	f.StringVar(&c.customers, "customers", "", "a file of templates and customers")
}

// Execute runs the subcommand.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" && c.customers == "" || f.NArg() > 0 {
		return usage(c.streams, c)
	}
	if c.settings != "" {
		settings, err := loader.LoadSettings(c.settings)
		if err != nil {
			return c.streams.fail(err)
		}
		if c.customers == "" {
			c.customers = settings.Customers
		}
	}
	if _, err := loader.LoadCustomers(c.customers); err != nil {
		return c.streams.fail(err)
	}
	fmt.Fprintln(c.streams.Output, "no faults")
	return subcommands.ExitSuccess
}

// usage prints the help text of a subcommand that was called wrongly.
func usage(s Streams, c subcommands.Command) subcommands.ExitStatus {
	fmt.Fprint(s.Errors, c.Usage())
	return subcommands.ExitUsageError
}

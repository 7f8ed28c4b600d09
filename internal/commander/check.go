package commander

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/loader"
)

// checkCommand validates settings and customers files without starting a host.
type checkCommand struct {
	streams       Streams
	settingsFile  string
	customersFile string
}

func (*checkCommand) Name() string { return "check" }

func (*checkCommand) Synopsis() string { return "validate settings, templates and customers" }

func (*checkCommand) Usage() string {
	return `check [--settings FILE] [--customers FILE]
  Validates the files without starting a host and prints every error with its file,
  line, field and reason. The exit code is 0 if there is none.

  Example: lagooncleat check --customers examples/hangar/customers.yaml
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file of a host")
	f.StringVar(&c.customersFile, "customers", "", "file of templates and customers")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" && c.customersFile == "" || f.NArg() > 0 {
		return printUsage(c.streams, c)
	}
	if c.settingsFile != "" {
		settings, err := loader.LoadSettings(c.settingsFile)
		if err != nil {
			return c.streams.fail(err)
		}
		if c.customersFile == "" {
			c.customersFile = settings.Customers
		}
	}
	if _, err := loader.LoadCustomers(c.customersFile); err != nil {
		return c.streams.fail(err)
	}
	fmt.Fprintln(c.streams.Output, "no faults")
	return subcommands.ExitSuccess
}

// printUsage prints the help text after a subcommand was called with wrong arguments, and
// returns the exit status.
func printUsage(s Streams, c subcommands.Command) subcommands.ExitStatus {
	fmt.Fprint(s.Errors, c.Usage())
	return subcommands.ExitUsageError
}

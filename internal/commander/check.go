package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/platform"
)

// declarationChecker validates the text of a declaration, and its homes if regions are known. It returns a
// *platform.DeclarationError for the first fault.
type declarationChecker func(text []byte, regions []identifier.RegionID) (*declarer.Declaration, error)

// checkCommand validates settings, customers and declaration files without starting a host.
type checkCommand struct {
	streams         Streams
	declarations    declarationChecker
	settingsFile    string
	customersFile   string
	declarationFile string
}

func (*checkCommand) Name() string { return "check" }

func (*checkCommand) Synopsis() string {
	return "validate settings, templates and customers, or a declaration"
}

func (*checkCommand) Usage() string {
	return `check [--settings FILE] [--customers FILE] [--declaration FILE]
  Validates the files without starting a host and prints every error with its file,
  line, field and reason; of a declaration, the first error. The exit code is 0 if
  there is none. The homes in a declaration are checked if the settings name the
  regions. Keys are never printed.

  Example: lagooncleat check --customers examples/hangar/customers.yaml
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file of a host")
	f.StringVar(&c.customersFile, "customers", "", "file of templates and customers")
	f.StringVar(&c.declarationFile, "declaration", "", "file of a declaration, as operators send it to a fleet")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" && c.customersFile == "" && c.declarationFile == "" || f.NArg() > 0 {
		return printUsage(c.streams, c)
	}
	var regions []identifier.RegionID
	if c.settingsFile != "" {
		settings, err := loader.LoadSettings(c.settingsFile)
		if err != nil {
			return c.streams.fail(err)
		}
		if c.customersFile == "" {
			c.customersFile = settings.Customers
		}
		if settings.Fleet != nil {
			regions = settings.Fleet.KnownRegions()
		}
	}
	// The settings of a host in a fleet name no file of customers.
	if c.customersFile != "" {
		if _, err := loader.LoadCustomers(c.customersFile); err != nil {
			return c.streams.fail(err)
		}
	}
	if c.declarationFile != "" {
		if err := c.checkDeclaration(regions); err != nil {
			return c.streams.fail(err)
		}
	}
	fmt.Fprintln(c.streams.Output, "no faults")
	return subcommands.ExitSuccess
}

// checkDeclaration validates the declaration file. It returns a *loader.FaultsError if the file can be read but is
// invalid.
func (c *checkCommand) checkDeclaration(regions []identifier.RegionID) error {
	text, err := os.ReadFile(c.declarationFile)
	if err != nil {
		return fmt.Errorf("read declaration: %w", err)
	}
	_, err = c.declarations(text, regions)
	var fault *platform.DeclarationError
	if !errors.As(err, &fault) {
		return err
	}
	field, reason := fault.Field, fault.Reason
	if field == "" {
		field = "(file)"
	}
	if fault.Name != "" {
		reason = fault.Name + ": " + reason
	}
	return &loader.FaultsError{Faults: []loader.Fault{{File: c.declarationFile, Line: fault.Line, Field: field, Reason: reason}}}
}

// printUsage prints the help text after a subcommand was called with wrong arguments, and
// returns the exit status.
func printUsage(s Streams, c subcommands.Command) subcommands.ExitStatus {
	fmt.Fprint(s.Errors, c.Usage())
	return subcommands.ExitUsageError
}

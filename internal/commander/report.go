package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/reporter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// reportTimeout limits the wait for the answers of all hosts.
const reportTimeout = 5 * time.Second

// reportFileMode is the file mode of a report in HTML.
const reportFileMode = 0o644

// reportCommand reports the burn rates of the error budgets.
type reportCommand struct {
	streams  Streams
	hosts    string
	htmlFile string
}

func (*reportCommand) Name() string { return "report" }

func (*reportCommand) Synopsis() string { return "report the burn rates of error budgets" }

func (*reportCommand) Usage() string {
	return `report burn --hosts ADDRESS[,ADDRESS...] [--html FILE]
  Queries the entry hosts at their operator addresses and prints the burn rate of the
  error budget for each customer, rank and window. Notes describe missing data. The
  exit code is 1 if no host answered.

  Example: lagooncleat report burn --hosts 127.0.0.1:8003,127.0.0.1:8013 --html burn.html
`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "", "comma-separated operator addresses of the entry hosts")
	f.StringVar(&c.htmlFile, "html", "", "also write the report, with plots, to this HTML file")
}

func (c *reportCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || f.Arg(0) != "burn" {
		return printUsage(c.streams, c)
	}
	// The flags come after the kind of report.
	if err := f.Parse(f.Args()[1:]); err != nil || c.hosts == "" || f.NArg() > 0 {
		return printUsage(c.streams, c)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answers := reporter.Fetch(ctx, http.DefaultClient, parseAddresses(c.hosts))
	report := reporter.Build(answers)
	if err := report.WriteTable(c.streams.Output); err != nil {
		return c.streams.fail(err)
	}
	if c.htmlFile != "" {
		if err := writeHTML(c.htmlFile, report); err != nil {
			return c.streams.fail(err)
		}
	}
	for _, a := range answers {
		if a.Err == nil {
			return subcommands.ExitSuccess
		}
	}
	return c.streams.fail(&NoAnswerError{Hosts: c.hosts})
}

// NoAnswerError reports that none of the hosts answered.
type NoAnswerError struct {
	Hosts string
}

// Error returns a message with the hosts and the setting that holds the right addresses.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("none of the hosts %s answered; check that the addresses are those of listen.operators", e.Hosts)
}

func parseAddresses(list string) []identifier.Address {
	var addresses []identifier.Address
	for _, text := range strings.Split(list, ",") {
		addresses = append(addresses, identifier.Address(strings.TrimSpace(text)))
	}
	return addresses
}

func writeHTML(file string, r reporter.Report) error {
	var buffer bytes.Buffer
	if err := r.WriteHTML(&buffer); err != nil {
		return err
	}
	if err := renameio.WriteFile(file, buffer.Bytes(), reportFileMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

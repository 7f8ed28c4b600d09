package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// statusTimeout limits the wait for the reply of one host.
const statusTimeout = 2 * time.Second

// statusCommand prints the status of entry hosts.
type statusCommand struct {
	streams Streams
	hosts   string
	output  string
}

func (*statusCommand) Name() string { return "status" }

func (*statusCommand) Synopsis() string { return "show the status of entry hosts" }

func (*statusCommand) Usage() string {
	return `status --hosts ADDRESS[,ADDRESS...] [--output table|json]
  Shows for each entry host whether it is ready, the configuration version in force,
  the leading control host as far as the host knows, whether the host is in touch with
  a quorum of the control hosts, and the numbers of live entry hosts and of backend
  servers with a lease. The exit code is 1 if a host did not answer.

  Example: lagooncleat status --hosts 127.0.0.1:8003,127.0.0.1:8013
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "", "comma-separated operator addresses of the entry hosts")
	f.StringVar(&c.output, "output", "table", "output format: table or json")
}

// hostStatus is the status that an entry host reports, or the error of fetching it.
type hostStatus struct {
	Address       identifier.Address  `json:"address"`
	Error         string              `json:"error,omitempty"`
	Host          identifier.HostID   `json:"host,omitempty"`
	Ready         bool                `json:"ready"`
	Configuration identifier.Version  `json:"configuration-version"`
	Control       operatorControl     `json:"control"`
	Hosts         []identifier.HostID `json:"hosts,omitempty"`
	Servers       json.RawMessage     `json:"servers,omitempty"`
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.hosts == "" || f.NArg() > 0 || (c.output != "table" && c.output != "json") {
		return printUsage(c.streams, c)
	}
	var statuses []hostStatus
	exit := subcommands.ExitSuccess
	for _, address := range parseAddresses(c.hosts) {
		s, err := fetchStatus(ctx, address)
		if err != nil {
			s = hostStatus{Address: address, Error: err.Error()}
			exit = subcommands.ExitFailure
		}
		statuses = append(statuses, s)
	}
	if err := c.write(statuses); err != nil {
		return c.streams.fail(err)
	}
	return exit
}

func (c *statusCommand) write(statuses []hostStatus) error {
	if c.output == "json" {
		e := json.NewEncoder(c.streams.Output)
		e.SetIndent("", "  ")
		return e.Encode(statuses)
	}
	return writeStatusTable(c.streams.Output, statuses)
}

func writeStatusTable(w io.Writer, statuses []hostStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "address\thost\tready\tconfiguration\tleader\tin touch\tlive hosts\tservers\terror")
	for _, s := range statuses {
		if s.Error != "" {
			fmt.Fprintf(t, "%s\t?\t?\t?\t?\t?\t?\t?\t%s\n", s.Address, s.Error)
			continue
		}
		var servers []json.RawMessage
		if err := json.Unmarshal(s.Servers, &servers); err != nil {
			return fmt.Errorf("status of %s: %w", s.Address, err)
		}
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%s\t%t\t%d\t%d\t\n", s.Address, s.Host, s.Ready, s.Configuration,
			s.Control.Leader, s.Control.InTouch, len(s.Hosts), len(servers))
	}
	return t.Flush()
}

func fetchStatus(ctx context.Context, address identifier.Address) (hostStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s := hostStatus{Address: address}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/status", address), nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("answered with status %d", response.StatusCode)
	}
	return s, json.NewDecoder(response.Body).Decode(&s)
}

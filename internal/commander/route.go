package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// routeCommand prints where a request would go now.
type routeCommand struct {
	streams  Streams
	host     string
	hostname string
	path     string
	customer string
	output   string
}

func (*routeCommand) Name() string { return "route" }

func (*routeCommand) Synopsis() string {
	return "explain where a request would go now, without sending it"
}

func (*routeCommand) Usage() string {
	return `route --host ADDRESS --hostname NAME --path PATH [--customer ID] [--output table|json]
  Asks an entry host of a fleet where a request would go now, and why: the route, the
  customer and its rank, the proof and the quota that it needs, and the servers of each
  service in the order in which the host would choose them, with what it knows of each
  and the age of that. Nothing is sent, and no key is needed.

  Example: lagooncleat route --host 127.0.0.1:7003 --hostname a.example --path /search/1 --customer clinic
`
}

func (c *routeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.host, "host", "", "operator address of the entry host")
	f.StringVar(&c.hostname, "hostname", "", "hostname of the request")
	f.StringVar(&c.path, "path", "", "path of the request")
	f.StringVar(&c.customer, "customer", "", "customer that sends the request; none if left out")
	f.StringVar(&c.output, "output", string(tableOutput), "output format: json or table")
}

func (c *routeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	format := outputFormat(c.output)
	if c.host == "" || c.hostname == "" || c.path == "" || f.NArg() > 0 || (format != jsonOutput && format != tableOutput) {
		return printUsage(c.streams, c)
	}
	reply, err := c.fetch(ctx)
	if err != nil {
		return c.streams.fail(err)
	}
	if format == jsonOutput {
		e := json.NewEncoder(c.streams.Output)
		e.SetIndent("", "  ")
		err = e.Encode(reply)
	} else {
		err = writeRoute(c.streams.Output, &reply)
	}
	if err != nil {
		return c.streams.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *routeCommand) fetch(ctx context.Context) (listener.RouteReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply listener.RouteReply
	query := url.Values{"hostname": {c.hostname}, "path": {c.path}, "customer": {c.customer}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/route?%s", c.host, query.Encode()), nil)
	if err != nil {
		return reply, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("%s answered with status %d", c.host, response.StatusCode)
	}
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// writeRoute writes an explanation as text.
func writeRoute(w io.Writer, r *listener.RouteReply) error {
	outcome := "would be sent"
	if r.Declined != "" {
		outcome = "would be declined: " + string(r.Declined)
	}
	fmt.Fprintf(w, "%s, by host %s with version %d\n", outcome, r.Host, r.Version)
	fmt.Fprintf(w, "route=%s public=%t customer=%s rank=%s homes=%v evacuated=%v control-host=%s\n",
		r.Route, r.Public, r.Customer, r.Rank, r.Homes, r.Evacuated, r.ControlHost)
	fmt.Fprintf(w, "proof: required=%t proven=%t age=%s remaining=%s\n",
		r.Proof.Required, r.Proof.Proven, r.Proof.Age.Duration(), r.Proof.Remaining.Duration())
	fmt.Fprintf(w, "quota: required=%t rate=%g burst=%g denied-for=%s asked=%v\n",
		r.Quota.Required, float64(r.Quota.Rate), r.Quota.Burst, r.Quota.DeniedFor.Duration(), r.Quota.Asked)
	for _, d := range r.Delegations {
		fmt.Fprintf(w, "delegated to %s, one of %v: %v\n", d.Domain, d.Hosts, d.Services)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "service\tserver\tfailure domain\tcost\tlatency (age)\tload (age)\tin flight\tstate")
	for i := range r.Services {
		service := &r.Services[i]
		name := string(service.Service)
		if !service.Next {
			name += " (not now)"
		}
		for n := range service.Servers {
			writeRouteServer(t, name, &service.Servers[n])
		}
		if len(service.Servers) == 0 {
			fmt.Fprintf(t, "%s\t(none)\n", name)
		}
	}
	return t.Flush()
}

func writeRouteServer(w io.Writer, service string, s *listener.RouteServer) {
	cost, latency, load := identifier.Micros(s.Cost).Duration().String(), "?", "?"
	if s.PassedOver != "" || s.LastResort {
		cost = "-"
	}
	if s.Latency > 0 {
		latency = fmt.Sprintf("%s (%s)", s.Latency.Duration(), s.LatencyAge.Duration())
	}
	if l := s.Load; l != nil {
		load = fmt.Sprintf("%d+%d/%d x%g (%s)", l.Running, l.Waiting, l.Slots, float64(l.Pace), l.Age.Duration())
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%s\n", service, s.Server, s.Domain, cost, latency, load, s.InFlight, s.Connections, routeServerState(s))
}

// routeServerState returns what else is known of a server.
func routeServerState(s *listener.RouteServer) string {
	var state []string
	for _, x := range []struct {
		holds bool
		text  string
	}{
		{s.PassedOver != "", "passed-over=" + s.PassedOver},
		{s.LastResort, "last-resort"},
		{s.Silent, "silent"},
		{s.Degraded, "degraded"},
		{s.Stalled, "stalled"},
		{s.Starting, "starting"},
		{s.Leaving, "leaving"},
		{s.Rejection > 0, fmt.Sprintf("rejection=%.2f", float64(s.Rejection))},
		{s.Share > 0, fmt.Sprintf("share=%g", float64(s.Share))},
		{s.Cold > 0, fmt.Sprintf("cold=%.2f", float64(s.Cold))},
		{s.Failures > 0, fmt.Sprintf("failures=%d", s.Failures)},
		{s.BackedOffFor > 0, "backed-off-for=" + s.BackedOffFor.Duration().String()},
		{s.PausedFor > 0, "paused-for=" + s.PausedFor.Duration().String()},
		{s.RoundTrip > 0, "round-trip=" + s.RoundTrip.Duration().String()},
	} {
		if x.holds {
			state = append(state, x.text)
		}
	}
	if s.Limit != nil {
		state = append(state, fmt.Sprintf("limit=%g", float64(*s.Limit)))
	}
	if s.SaidAge > 0 {
		state = append(state, "said-age="+s.SaidAge.Duration().String())
	}
	return strings.Join(state, " ")
}

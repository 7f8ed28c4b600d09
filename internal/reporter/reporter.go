// Package reporter makes the report on service-level burn from the counters of
// the entry hosts.
//
// A report sums the hosts' histories over several windows for each customer and
// rank. What is not known is said: a host that did not answer, a window longer
// than a host has counted, a window without queries. None of these shows as zero.
//
// # Usage
//
//	report := reporter.Build(reporter.Fetch(ctx, client, addresses))
//	err := report.WriteTable(os.Stdout)
//	err = report.WriteHTML(file)
package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Windows are the spans that a report looks back over, the shortest first.
var Windows = []identifier.Micros{
	5 * identifier.Minute,
	60 * identifier.Minute,
	360 * identifier.Minute,
}

// Answer is what one entry host said, or why it said nothing.
type Answer struct {
	Address identifier.Address
	Reply   listener.BurnReply
	Err     error
}

// StatusError reports an operators' listener that answered with a status other than 200.
type StatusError struct {
	Status int
}

// Error gives the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answered with status %d", e.Status)
}

// Fetch asks the operators' listeners of all hosts at once. The answers come in
// the order of the addresses.
func Fetch(ctx context.Context, client *http.Client, addresses []identifier.Address) []Answer {
	answers := make([]Answer, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			reply, err := fetch(ctx, client, address)
			answers[i] = Answer{Address: address, Reply: reply, Err: err}
		})
	}
	group.Wait()
	return answers
}

func fetch(ctx context.Context, client *http.Client, address identifier.Address) (listener.BurnReply, error) {
	var reply listener.BurnReply
	url := fmt.Sprintf("http://%s/v1/burn", address)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return reply, fmt.Errorf("reporter: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply, fmt.Errorf("reporter: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, &StatusError{Status: response.StatusCode}
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return reply, fmt.Errorf("reporter: decode: %w", err)
	}
	return reply, nil
}

// Row is one customer and rank over one window.
type Row struct {
	Series    budgeter.Series
	Objective budgeter.Objective
	Window    identifier.Micros
	Tally     budgeter.Tally
}

// Point is the tally of all hosts in one bucket; Age is the time from its start
// to now by the host's own clock, so that clocks need not agree.
type Point struct {
	Age   identifier.Micros
	Tally budgeter.Tally
}

// Line is the course of one customer and rank over the longest window.
type Line struct {
	Series    budgeter.Series
	Objective budgeter.Objective
	Points    []Point
}

// Report is the burn of all customers and ranks.
type Report struct {
	Rows  []Row
	Lines []Line
	// Notes say what the figures leave out.
	Notes []string
}

// Build sums the answers into a report.
func Build(answers []Answer) Report {
	r := Report{}
	for _, a := range answers {
		r.Notes = append(r.Notes, notesOf(a)...)
	}
	lines := map[budgeter.Series]*Line{}
	for _, a := range answers {
		if a.Err == nil {
			addLines(lines, a.Reply)
		}
	}
	for _, l := range lines {
		slices.SortFunc(l.Points, func(x, y Point) int { return int(y.Age - x.Age) })
		r.Lines = append(r.Lines, *l)
	}
	slices.SortFunc(r.Lines, func(x, y Line) int { return budgeter.Compare(x.Series, y.Series) })
	for _, l := range r.Lines {
		for _, window := range Windows {
			r.Rows = append(r.Rows, Row{l.Series, l.Objective, window, l.sum(window)})
		}
	}
	if len(r.Lines) == 0 {
		r.Notes = append(r.Notes, "no host has seen a query end; there is nothing to report")
	}
	return r
}

func addLines(lines map[budgeter.Series]*Line, reply listener.BurnReply) {
	for _, s := range reply.Series {
		rank, err := identifier.ParseRank(s.Rank)
		if err != nil {
			continue
		}
		series := budgeter.Series{Customer: s.Customer, Rank: rank}
		l, ok := lines[series]
		if !ok {
			l = &Line{Series: series}
			lines[series] = l
		}
		l.Objective = budgeter.Objective{Target: s.Target, Share: s.Objective}
		for _, b := range s.Buckets {
			l.Points = append(l.Points, Point{Age: reply.Now.Since(b.Start), Tally: b.Tally})
		}
	}
}

func (l Line) sum(window identifier.Micros) budgeter.Tally {
	var sum budgeter.Tally
	for _, p := range l.Points {
		if p.Age < window+budgeter.BucketSpan {
			sum = sum.Plus(p.Tally)
		}
	}
	return sum
}

// notesOf says what an answer leaves out.
func notesOf(a Answer) []string {
	if a.Err != nil {
		return []string{fmt.Sprintf("host at %s did not answer (%s); its queries are missing from every figure", a.Address, a.Err)}
	}
	if a.Reply.Started == nil {
		return []string{fmt.Sprintf("host %s has seen no query end since it started", a.Reply.Host)}
	}
	counted := a.Reply.Now.Since(*a.Reply.Started)
	var longer []string
	for _, window := range Windows {
		if window > counted {
			longer = append(longer, span(window))
		}
	}
	if len(longer) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("host %s has counted for %s only, since its last start; of longer windows (%s) it knows just that much",
		a.Reply.Host, span(counted), strings.Join(longer, ", "))}
}

// span writes a span in the largest unit that leaves it above 1.
func span(m identifier.Micros) string {
	switch {
	case m >= 60*identifier.Minute:
		return fmt.Sprintf("%.3g h", float64(m)/float64(60*identifier.Minute))
	case m >= identifier.Minute:
		return fmt.Sprintf("%.3g min", float64(m)/float64(identifier.Minute))
	}
	return fmt.Sprintf("%.3g s", float64(m)/float64(identifier.Second))
}

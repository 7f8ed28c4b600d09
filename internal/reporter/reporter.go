// Package reporter builds a report on error-budget burn from the counters of the
// entry hosts.
//
// For each customer and rank, a report sums the hosts' histories over several
// windows. It states which data is missing: hosts that did not answer, windows
// longer than a host's history, and windows without queries. Missing data is
// never reported as zero.
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

// Windows holds the lengths of the windows that a report covers, in ascending order. Each
// window ends when the hosts reply.
var Windows = []identifier.Micros{
	5 * identifier.Minute,
	60 * identifier.Minute,
	360 * identifier.Minute,
}

// Answer is the reply of one entry host, or the error of its request.
type Answer struct {
	Address identifier.Address
	Reply   listener.BurnReply
	Err     error
}

// StatusError reports that an operators' listener returned an HTTP status other than 200.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answered with status %d", e.Status)
}

// Fetch requests the histories from the operators' listeners of all hosts in parallel.
// The answers are in the order of the addresses.
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
		return reply, fmt.Errorf("reporter: decode reply: %w", err)
	}
	return reply, nil
}

// Row is the total of one customer and rank over one window.
type Row struct {
	Series    budgeter.Series
	Objective budgeter.Objective
	Window    identifier.Micros
	Tally     budgeter.Tally
}

// Point is the tally of one bucket. Age is the time since the start of the bucket by the
// clock of the host that counted it, so that the hosts' clocks need not be synchronized.
type Point struct {
	Age   identifier.Micros
	Tally budgeter.Tally
}

// History holds the points of one customer and rank, from all hosts.
type History struct {
	Series    budgeter.Series
	Objective budgeter.Objective
	Points    []Point
}

// Report holds the error-budget burn of all customers and ranks.
type Report struct {
	Rows      []Row
	Histories []History
	// Notes describe the data that is missing from the figures.
	Notes []string
}

// Build aggregates the answers into a report.
func Build(answers []Answer) Report {
	r := Report{}
	for _, a := range answers {
		r.Notes = append(r.Notes, answerNotes(a)...)
	}
	histories := map[budgeter.Series]*History{}
	for _, a := range answers {
		if a.Err == nil {
			addHistories(histories, a.Reply)
		}
	}
	for _, h := range histories {
		slices.SortFunc(h.Points, func(x, y Point) int { return int(y.Age - x.Age) })
		r.Histories = append(r.Histories, *h)
	}
	slices.SortFunc(r.Histories, func(x, y History) int { return budgeter.CompareSeries(x.Series, y.Series) })
	for _, h := range r.Histories {
		for _, window := range Windows {
			r.Rows = append(r.Rows, Row{h.Series, h.Objective, window, h.sum(window)})
		}
	}
	if len(r.Histories) == 0 {
		r.Notes = append(r.Notes, "no host has counted a finished query; there is nothing to report")
	}
	return r
}

// addHistories adds the buckets of one host's reply to the histories.
func addHistories(histories map[budgeter.Series]*History, reply listener.BurnReply) {
	for _, s := range reply.Series {
		rank, err := identifier.ParseRank(s.Rank)
		if err != nil {
			continue
		}
		series := budgeter.Series{Customer: s.Customer, Rank: rank}
		h, ok := histories[series]
		if !ok {
			h = &History{Series: series}
			histories[series] = h
		}
		h.Objective = budgeter.Objective{Target: s.Target, Share: s.Objective}
		for _, b := range s.Buckets {
			h.Points = append(h.Points, Point{Age: reply.Now.Since(b.Start), Tally: b.Tally})
		}
	}
}

// sum returns the tally over a window. A bucket counts if any part of it lies in the window.
func (h History) sum(window identifier.Micros) budgeter.Tally {
	var sum budgeter.Tally
	for _, p := range h.Points {
		if p.Age < window+budgeter.BucketDuration {
			sum = sum.Plus(p.Tally)
		}
	}
	return sum
}

// answerNotes returns notes about the data that is missing from an answer.
func answerNotes(a Answer) []string {
	if a.Err != nil {
		return []string{fmt.Sprintf("host at %s did not answer (%s); its queries are missing from every figure", a.Address, a.Err)}
	}
	if a.Reply.Started == nil {
		return []string{fmt.Sprintf("host %s has counted no finished query since it started", a.Reply.Host)}
	}
	counted := a.Reply.Now.Since(*a.Reply.Started)
	var incomplete []string
	for _, window := range Windows {
		if window > counted {
			incomplete = append(incomplete, formatDuration(window))
		}
	}
	if len(incomplete) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("host %s has counted for %s only, since its last start; its data for longer windows (%s) is incomplete",
		a.Reply.Host, formatDuration(counted), strings.Join(incomplete, ", "))}
}

// formatDuration formats a duration in hours, minutes or seconds, the largest unit in which
// it is at least 1.
func formatDuration(d identifier.Micros) string {
	switch {
	case d >= 60*identifier.Minute:
		return fmt.Sprintf("%.3g h", float64(d)/float64(60*identifier.Minute))
	case d >= identifier.Minute:
		return fmt.Sprintf("%.3g min", float64(d)/float64(identifier.Minute))
	}
	return fmt.Sprintf("%.3g s", float64(d)/float64(identifier.Second))
}

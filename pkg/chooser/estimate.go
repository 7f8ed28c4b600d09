package chooser

import (
	"maps"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Estimate is what a Chooser knows of a candidate.
type Estimate struct {
	// Cost is the expected latency of a new attempt, with penalties, as a number of microseconds.
	Cost float64
	// Restricted is set for a server that is chosen only if there are no others.
	Restricted bool
	// Cold is the probability with which a choice raises the cost of the server, since it is cold.
	Cold identifier.Ratio
	// Latency is the estimate from measured latencies, and LatencyAge the age of the last one; both are 0 without
	// any, and in microseconds.
	Latency, LatencyAge identifier.Micros
	// Load is what the server last stated, and LoadAge the age of that, in microseconds.
	Load    Load
	LoadAge identifier.Micros
	// InFlight is the number of attempts in flight, and Failures that of the failures since the last success.
	InFlight, Failures int
	// BackedOffFor is for how long the server is backed off, in microseconds.
	BackedOffFor identifier.Micros
}

// Clone returns a copy that makes the same choices.
func (c *Chooser) Clone() *Chooser {
	records := maps.Clone(c.records)
	for id, r := range records {
		copied := *r
		records[id] = &copied
	}
	return &Chooser{records: records}
}

// Estimates returns an Estimate for each candidate. Choose picks among those of least cost, after it has raised the
// cost of cold ones at random.
func (c *Chooser) Estimates(now identifier.Instant, candidates []Candidate) []Estimate {
	base := c.computeBaseline(now, candidates)
	estimates := make([]Estimate, 0, len(candidates))
	for i := range candidates {
		r := c.records[candidates[i].Server]
		e := Estimate{
			Cost: c.cost(now, &candidates[i], base), Cold: identifier.Ratio(c.coldDraw(&candidates[i], base)),
			Latency: identifier.Micros(r.estimate), Load: r.load, InFlight: r.inFlight, Failures: r.failures,
			BackedOffFor: max(0, r.backoffUntil.Since(now)),
		}
		e.Restricted = e.Cost >= restrictionCost
		if r.estimate > 0 {
			e.LatencyAge = now.Since(r.measuredAt)
		}
		if r.load.Stated() {
			e.LoadAge = now.Since(r.loadAt)
		}
		estimates = append(estimates, e)
	}
	return estimates
}

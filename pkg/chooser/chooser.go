// Package chooser picks the backend server for an attempt by what its own entry
// host measured.
//
// The cost of a server is its expected time: own attempts in flight that go before
// the new one, and the new one, times the service time, plus the distance. Attempts of less
// urgent ranks don't count: the owner lets the new one pass them. Three weights raise it: slowness beyond the
// servers of the same service, a cold start, and failures, after which the
// server is left alone for a time that doubles. A server that is slow or fails
// gets single probes, so that its recovery shows. A cold server takes a tenth of
// its share at first, and all of it once it has served some attempts. Servers of nearly equal cost
// share work at random, so that hosts don't herd. Load that servers report is not
// read at all: it can be late or false.
//
// # Usage
//
//	c := chooser.New()
//	server, ok := c.Choose(now, candidates, random.IntN)
//	c.Begin(server)
//	c.Serve(now, server, latency)
package chooser

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// tolerance is how far an estimate may exceed the least one without a higher cost.
	tolerance = 1.5
	// slowThreshold is the slowness from which a server gets single probes.
	slowThreshold = 3
	// coldFactor multiplies the cost of a cold server, except in the draws that ramp it up.
	coldFactor = 4
	// coldShare is the part of the draws in which a fully cold server counts as cold.
	coldShare = 0.9
	// draws is the number of outcomes of a draw.
	draws = 1000
	// nearness is the difference within which costs count as equal, as a share of the service time.
	nearness = 0.15
)

// Candidate is a server that may run the attempt.
type Candidate struct {
	Server      identifier.ServerID
	Incarnation identifier.Incarnation
	// Starting is set while the server says that its caches are cold.
	Starting bool
	// Rank is the rank of the attempt.
	Rank identifier.Rank
	// Slots is how many attempts the server runs at once; 0 stands for 1.
	Slots identifier.Slots
	// Detour is added to the cost of a server outside the own failure domain, in microseconds.
	Detour identifier.Micros
}

// Chooser holds the measurements of one state. It is not safe for concurrent use.
type Chooser struct {
	records map[identifier.ServerID]*record
	costs   []float64
}

// New returns a Chooser that has measured nothing.
func New() *Chooser {
	return &Chooser{records: map[identifier.ServerID]*record{}}
}

func (c *Chooser) record(id identifier.ServerID) *record {
	r, ok := c.records[id]
	if !ok {
		r = &record{}
		c.records[id] = r
	}
	return r
}

// Begin counts an attempt of the rank sent to the server.
func (c *Chooser) Begin(id identifier.ServerID, rank identifier.Rank) {
	r := c.record(id)
	r.outstanding++
	r.ranks[rank]++
}

// End counts an attempt that is no longer in flight, whatever its result.
func (c *Chooser) End(id identifier.ServerID, rank identifier.Rank) {
	r := c.record(id)
	r.outstanding = max(0, r.outstanding-1)
	r.ranks[rank] = max(0, r.ranks[rank]-1)
}

// Outstanding returns the own attempts in flight on the server.
func (c *Chooser) Outstanding(id identifier.ServerID) int {
	if r, ok := c.records[id]; ok {
		return r.outstanding
	}
	return 0
}

// Serve takes in the latency of a served attempt, in microseconds.
func (c *Chooser) Serve(now identifier.Instant, id identifier.ServerID, latency identifier.Micros) {
	c.record(id).serve(now, latency)
}

// ServeAmong is Serve for a server whose service has a usual latency, in microseconds. It
// suits hosts that send a server little work: a single slow answer tells less.
func (c *Chooser) ServeAmong(now identifier.Instant, id identifier.ServerID, latency, usual identifier.Micros) {
	c.record(id).serveAmong(now, latency, usual)
}

// Wait takes in that an attempt has not been served for a time, which is evidence
// only if the time is above the estimate.
func (c *Chooser) Wait(now identifier.Instant, id identifier.ServerID, elapsed identifier.Micros) {
	if r := c.record(id); float64(elapsed) > r.estimate {
		r.sample(now, elapsed, waitWeight)
	}
}

// Fail takes in that the server or the way to it failed an attempt.
func (c *Chooser) Fail(now identifier.Instant, id identifier.ServerID) {
	c.record(id).fail(now)
}

// Retain forgets the idle servers that are not known any more.
func (c *Chooser) Retain(known func(identifier.ServerID) bool) {
	for id, r := range c.records {
		if r.outstanding == 0 && !known(id) {
			delete(c.records, id)
		}
	}
}

// Choose returns the candidate of the least cost; near ties are broken by
// random, which returns a number below its argument. Servers under penalty, and
// slow servers with an attempt in flight, are taken only when there is no other.
func (c *Chooser) Choose(now identifier.Instant, candidates []Candidate, random func(int) int) (identifier.ServerID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	base := c.survey(now, candidates)
	c.costs = c.costs[:0]
	best := math.Inf(1)
	for i := range candidates {
		cost := c.cost(now, &candidates[i], base)
		if cold := c.coldness(&candidates[i]) - base.coldness; cold > 0 && random(draws) < int(cold*coldShare*draws) {
			cost *= coldFactor
		}
		c.costs = append(c.costs, cost)
		best = min(best, cost)
	}
	chosen, ties := 0, 0
	for i, cost := range c.costs {
		if cost > best+nearness*base.estimate {
			continue
		}
		ties++
		if random(ties) == 0 {
			chosen = i
		}
	}
	return candidates[chosen].Server, true
}

// survey is the least of each measurement among the candidates.
type survey struct {
	// estimate and floor are in microseconds.
	estimate float64
	floor    identifier.Micros
	coldness float64
}

// survey returns what the candidates are compared with. A new incarnation loses
// the measurements of the one before.
func (c *Chooser) survey(now identifier.Instant, candidates []Candidate) survey {
	base := survey{coldness: 1}
	for i := range candidates {
		r := c.record(candidates[i].Server)
		if r.incarnation != candidates[i].Incarnation {
			*r = record{incarnation: candidates[i].Incarnation, outstanding: r.outstanding, ranks: r.ranks}
		}
		if r.estimate > 0 && (base.estimate == 0 || r.estimate < base.estimate) {
			base.estimate = r.estimate
		}
		if floor := r.least(now); floor > 0 && (base.floor == 0 || floor < base.floor) {
			base.floor = floor
		}
		base.coldness = min(base.coldness, c.coldness(&candidates[i]))
	}
	base.estimate = max(1, base.estimate)
	return base
}

func (c *Chooser) coldness(candidate *Candidate) float64 {
	if candidate.Starting {
		return 1
	}
	return c.records[candidate.Server].coldness()
}

// restricted is added to the cost of servers that are taken only when there is no other.
const restricted = 1e12

// cost returns the expected time of a new attempt, in microseconds, plus penalties.
func (c *Chooser) cost(now identifier.Instant, candidate *Candidate, base survey) float64 {
	r := c.records[candidate.Server]
	slowness := r.slowness(now, base.estimate)
	cost := base.estimate * max(1, slowness/tolerance) * (1 + float64(r.ahead(candidate.Rank))/float64(max(1, candidate.Slots)))
	cost += float64(candidate.Detour)
	if floor := r.least(now); floor > 0 {
		cost += float64(floor - base.floor)
	}
	if r.blockedUntil > now {
		return cost + restricted + float64(r.blockedUntil.Since(now))*base.estimate
	}
	slow := base.estimate > 1 && r.estimate > slowThreshold*base.estimate
	if (slow || r.failures > 0) && r.outstanding > 0 {
		return cost + restricted
	}
	return cost
}

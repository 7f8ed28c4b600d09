// Package chooser picks the backend server for an attempt, based on what its entry host
// measured and on the load that servers have just stated.
//
// The cost of a server is the expected latency of a new attempt:
//
//	service time * (1 + attempts ahead / slots) + network latency
//
// The attempts ahead are this state's attempts in flight on the server that go before
// the new one. Attempts of less urgent ranks don't count, because the owner lets the new
// one overtake them. Four conditions raise the cost: higher latency than other servers
// of the same service, a cold start, the ratio of attempts that the server rejects by the
// measurements of all hosts, and failures, after which the server is backed off
// for a time that doubles each time. A server that is slow or fails gets single probes,
// which detect its recovery. A cold server gets a tenth of its share at first, and all of
// it once it has served some attempts. Servers of nearly equal cost share the work at
// random, so that hosts don't all pick the same one.
//
// A server may state its load in its answers. That can be late or false, so it raises the cost
// of a server and never lowers it, by no more than the answer that stated it was late itself,
// and it decays within a fraction of a second. While the local server states that it is busy,
// the measured round trip to a remote domain replaces the fixed detour. This answers servers
// that pause or slow down for a few hundred milliseconds, which a host that sends a server
// one request in a second or two can't measure itself.
//
// # Usage
//
//	c := chooser.New()
//	server, ok := c.Choose(now, candidates, random.IntN)
//	c.RecordStart(server, rank)
//	c.RecordLatency(now, server, latency)
//	c.RecordLoad(now, server, chooser.Load{Running: 4, Waiting: 9, Slots: 4, Pace: 2.5}, latency)
//	c.RecordEnd(server, rank)
package chooser

import (
	"math"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// slownessTolerance is the highest ratio of a server's latency estimate to the lowest
	// estimate of all candidates at which its cost is not raised.
	slownessTolerance = 1.5
	// slowThreshold is the ratio of an estimate to the lowest one above which a server
	// gets single probes only.
	slowThreshold = 3
	// coldCostFactor multiplies the cost of a cold server, except in the random draws that
	// ramp up its share.
	coldCostFactor = 4
	// coldDrawShare is the share of draws in which the cost of a fully cold server is raised.
	coldDrawShare = 0.9
	// drawOutcomes is the number of outcomes of a draw.
	drawOutcomes = 1000
	// detourMargin is how much the expected wait at a busy local server must exceed the round trip
	// before work leaves the local failure domain. 2 ms sent as many requests late and more to other
	// domains, and 12 ms made more of them late where the round trip is 9 ms.
	detourMargin = 6 * identifier.Millisecond
	// tieMargin is the difference up to which costs count as equal, as a share of the
	// service time.
	tieMargin = 0.15
	// rejectionCost is the cost of a rejected attempt: it delays the answer by less, but takes an
	// extra attempt from a scarce budget. With it, a sound server with a detour of 25 ms is better than one
	// without that rejects over a quarter of its attempts.
	rejectionCost = 100 * identifier.Millisecond
)

// Candidate is a server that may run the attempt.
type Candidate struct {
	Server      identifier.ServerID
	Incarnation identifier.Incarnation
	// Starting is set while the server reports that its caches are cold.
	Starting bool
	// Rank is the rank of the attempt.
	Rank identifier.Rank
	// Slots is how many attempts the server runs at once; 0 means 1.
	Slots identifier.Slots
	// Detour is added to the cost of a server in a remote failure domain, in microseconds.
	Detour identifier.Micros
	// Rejection is the ratio of attempts that all hosts together measure the server to reject.
	Rejection identifier.Ratio
	// Ramped is set if hosts together find the server's share of work, as long as it is new. Its
	// coldness doesn't count then.
	Ramped bool
	// RoundTrip is the measured round trip to a server in a remote failure domain, in microseconds;
	// 0 if it is unknown. It replaces Detour, with a margin, while a local server states that it is
	// busy.
	RoundTrip identifier.Micros
}

// Chooser holds the measurements of one state. It is not safe for concurrent use.
type Chooser struct {
	records map[identifier.ServerID]*record
	costs   []float64
}

// New returns a Chooser without measurements.
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

// RecordStart records that an attempt of the rank was sent to the server.
func (c *Chooser) RecordStart(id identifier.ServerID, rank identifier.Rank) {
	r := c.record(id)
	r.inFlight++
	r.inFlightByRank[rank]++
}

// RecordEnd records that an attempt is no longer in flight, regardless of its result.
func (c *Chooser) RecordEnd(id identifier.ServerID, rank identifier.Rank) {
	r := c.record(id)
	r.inFlight = max(0, r.inFlight-1)
	r.inFlightByRank[rank] = max(0, r.inFlightByRank[rank]-1)
}

// InFlight returns the number of this state's attempts in flight on the server.
func (c *Chooser) InFlight(id identifier.ServerID) int {
	if r, ok := c.records[id]; ok {
		return r.inFlight
	}
	return 0
}

// RecordLatency records the latency of a served attempt, in microseconds.
func (c *Chooser) RecordLatency(now identifier.Instant, id identifier.ServerID, latency identifier.Micros) {
	c.record(id).recordLatency(now, latency)
}

// RecordLatencyWithPrior records the latency of a served attempt like RecordLatency, and uses
// the typical latency of the service as the prior estimate. Both are in microseconds. It suits
// hosts that send few attempts to a server, for which a single slow answer says little: the
// prior limits its effect.
func (c *Chooser) RecordLatencyWithPrior(now identifier.Instant, id identifier.ServerID, latency, typical identifier.Micros) {
	c.record(id).recordLatencyWithPrior(now, latency, typical)
}

// RecordWait records that an attempt has been in flight without an answer for the elapsed time.
// It has an effect only if that is longer than the estimate.
func (c *Chooser) RecordWait(now identifier.Instant, id identifier.ServerID, elapsed identifier.Micros) {
	if r := c.record(id); float64(elapsed) > r.estimate {
		r.updateEstimate(now, elapsed, minOverdueWeight)
	}
}

// RecordFailure records an attempt that failed at the server or on the connection to it.
func (c *Chooser) RecordFailure(now identifier.Instant, id identifier.ServerID) {
	c.record(id).backOff(now)
}

// Reset discards what was measured of the server, as when it starts. Its attempts in flight stay.
func (c *Chooser) Reset(id identifier.ServerID) {
	if r, ok := c.records[id]; ok {
		*r = record{incarnation: r.incarnation, inFlight: r.inFlight, inFlightByRank: r.inFlightByRank}
	}
}

// Retain removes the records of servers that are no longer known and have no attempts in
// flight.
func (c *Chooser) Retain(known func(identifier.ServerID) bool) {
	for id, r := range c.records {
		if r.inFlight == 0 && !known(id) {
			delete(c.records, id)
		}
	}
}

// Choose returns the candidate with the lowest cost, and false if there are no candidates.
// Costs within tieMargin count as equal and are decided by random, which returns a
// non-negative number below its argument. Servers that are backed off, and slow or failing
// servers with an attempt in flight, are chosen only if there are no others.
func (c *Chooser) Choose(now identifier.Instant, candidates []Candidate, random func(int) int) (identifier.ServerID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	base := c.computeBaseline(now, candidates)
	c.costs = c.costs[:0]
	best := math.Inf(1)
	for i := range candidates {
		cost := c.cost(now, &candidates[i], base)
		if cold := c.coldDraw(&candidates[i], base); cold > 0 && random(drawOutcomes) < int(cold*drawOutcomes) {
			cost *= coldCostFactor
		}
		c.costs = append(c.costs, cost)
		best = min(best, cost)
	}
	chosen, ties := 0, 0
	for i, cost := range c.costs {
		if cost > best+tieMargin*base.minEstimate {
			continue
		}
		ties++
		if random(ties) == 0 {
			chosen = i
		}
	}
	return candidates[chosen].Server, true
}

// baseline is the minimum of each measurement among the candidates.
type baseline struct {
	// minEstimate and minLatency are in microseconds.
	minEstimate float64
	minLatency  identifier.Micros
	minColdness float64
	// rejecting is set if a candidate rejects attempts.
	rejecting bool
	// localBusy is set while every local server states that an attempt takes longer than usual.
	localBusy bool
}

// computeBaseline returns the minima that the candidates are compared with. It discards
// the measurements of a server's previous incarnation.
func (c *Chooser) computeBaseline(now identifier.Instant, candidates []Candidate) baseline {
	base := baseline{minColdness: 1, rejecting: slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Rejection > 0 })}
	local, busy := 0, 0
	for i := range candidates {
		r := c.record(candidates[i].Server)
		if r.incarnation != candidates[i].Incarnation {
			*r = record{incarnation: candidates[i].Incarnation, inFlight: r.inFlight, inFlightByRank: r.inFlightByRank}
		}
		if r.estimate > 0 && (base.minEstimate == 0 || r.estimate < base.minEstimate) {
			base.minEstimate = r.estimate
		}
		if latency := r.recentMinLatency(now); latency > 0 && (base.minLatency == 0 || latency < base.minLatency) {
			base.minLatency = latency
		}
		base.minColdness = min(base.minColdness, c.coldness(&candidates[i], base))
		if candidates[i].Detour == 0 {
			local++
			if ahead, pace := r.statedLoad(now); ahead > 0 || pace > 1 {
				busy++
			}
		}
	}
	base.localBusy = local > 0 && busy == local
	base.minEstimate = max(1, base.minEstimate)
	return base
}

// coldness returns 1 for a server that reports that it is starting, or else the fraction of its
// first warmUpAttempts attempts that it has yet to serve; 0 for a ramped one. That fraction doesn't count while
// another candidate rejects attempts: a sound remote server is new to this host, but not cold.
func (c *Chooser) coldness(candidate *Candidate, base baseline) float64 {
	if candidate.Ramped {
		return 0
	}
	if candidate.Starting {
		return 1
	}
	if base.rejecting {
		return 0
	}
	return c.records[candidate.Server].coldness()
}

// coldDraw returns the share of draws in which the cost of a candidate is raised, since it is colder than others.
func (c *Chooser) coldDraw(candidate *Candidate, base baseline) float64 {
	return (c.coldness(candidate, base) - base.minColdness) * coldDrawShare
}

// restrictionCost is added to the cost of servers that are chosen only if there are no others.
const restrictionCost = 1e12

// cost returns the expected latency of a new attempt, in microseconds, plus penalties.
func (c *Chooser) cost(now identifier.Instant, candidate *Candidate, base baseline) float64 {
	r := c.records[candidate.Server]
	slowness := r.slowness(now, base.minEstimate)
	slowness = max(1, slowness/slownessTolerance)
	own := float64(r.ahead(candidate.Rank)) / float64(max(1, candidate.Slots))
	cost := base.minEstimate * slowness * (1 + own)
	// The attempts in flight may be among those that the server has stated, and a stated pace may
	// explain the measured slowness, so the higher figure counts rather than the sum.
	ahead, pace := r.statedLoad(now)
	cost += min(base.minEstimate*max(slowness, pace)*(1+max(own, ahead))-cost, max(0, r.statedLatency-base.minEstimate))
	distance := candidate.Detour
	if latency := r.recentMinLatency(now); latency > 0 {
		distance += latency - base.minLatency
	}
	if base.localBusy && candidate.RoundTrip > 0 {
		distance = min(distance, candidate.RoundTrip+detourMargin)
	}
	cost += float64(distance) + float64(candidate.Rejection)*float64(rejectionCost)
	if r.backoffUntil > now {
		return cost + restrictionCost + float64(r.backoffUntil.Since(now))*base.minEstimate
	}
	slow := base.minEstimate > 1 && r.estimate > slowThreshold*base.minEstimate
	if (slow || r.failures > 0) && r.inFlight > 0 {
		return cost + restrictionCost
	}
	return cost
}

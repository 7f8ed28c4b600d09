// Package estimator measures how soon one backend server gets to new work.
//
// The owner of the server measures the slot time of its calls and the share of
// slot time that each rank uses. From these it makes an Estimate, which is small enough to
// travel with every result to the hosts that submit work.
//
// # Usage
//
//	e := estimator.New()
//	e.Spend(now, identifier.Urgent, 6*identifier.Millisecond, true)
//	estimate := e.Estimate(now, 3, backlog, floors)
package estimator

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// Window is the time over which the use of slots is measured.
	Window = 200 * identifier.Millisecond
	// firstService is the assumed slot time of a call before any has been measured.
	firstService = 5 * identifier.Millisecond
	// outlierFactor bounds what one call adds to a mean, in mean slot times.
	outlierFactor = 4
	// serviceWeight is the weight of the past in a mean slot time against one new call.
	serviceWeight = 15
	// leastRate is the least share of slot time that a rank is expected to get.
	leastRate identifier.Ratio = 0.01
)

// Estimate tells how soon a server gets to new work of each rank.
type Estimate struct {
	// Backlog counts the jobs that wait, by rank.
	Backlog [identifier.RankCount]uint32 `msgpack:"b"`
	// Step is the time by which each waiting job of a rank delays the next one of
	// that rank, in microseconds.
	Step [identifier.RankCount]identifier.Micros `msgpack:"s"`
	// Service is the mean slot time of the slowest rank's calls, in microseconds; 0
	// marks an empty estimate.
	Service identifier.Micros `msgpack:"m"`
}

// Wait returns the time that a new job of the rank waits behind the backlog and
// so many more jobs, in microseconds.
func (e Estimate) Wait(r identifier.Rank, more int) identifier.Micros {
	return identifier.Micros(int(e.Backlog[r])+more) * e.Step[r]
}

// usage is the slot time that the ranks used within one window.
type usage [identifier.RankCount]identifier.Micros

// Estimator measures one server.
type Estimator struct {
	// service is the mean slot time by rank; 0 is not measured yet.
	service  [identifier.RankCount]identifier.Micros
	start    identifier.Instant
	current  usage
	previous usage
}

// New returns an Estimator that has measured nothing.
func New() *Estimator {
	return &Estimator{}
}

// Spend records a call of the rank that held its slot for the span. A call that
// was cut short counts towards the mean slot time only where it raises it.
func (e *Estimator) Spend(now identifier.Instant, r identifier.Rank, span identifier.Micros, complete bool) {
	e.roll(now)
	e.current[r] += span
	switch {
	case !complete && span <= e.service[r]:
	case e.service[r] == 0:
		e.service[r] = max(span, 1)
	default:
		typical := min(span, outlierFactor*e.service[r])
		e.service[r] = max((serviceWeight*e.service[r]+typical)/(serviceWeight+1), 1)
	}
}

// slowest returns the highest mean slot time of all ranks measured.
func (e *Estimator) slowest() identifier.Micros {
	slowest := slices.Max(e.service[:])
	if slowest == 0 {
		return firstService
	}
	return slowest
}

// roll starts a new window when the current one has ended.
func (e *Estimator) roll(now identifier.Instant) {
	past := now.Since(e.start)
	if past < Window {
		return
	}
	e.previous = e.current
	if past >= 2*Window {
		e.previous = usage{}
	}
	e.current = usage{}
	e.start = now
}

// shares returns the part of all slot time that each rank used of late, from 0 to 1. When
// work waits, no slot stands free for long: then the shares add up to 1, since what
// is missing is the time that calls and results are on their way.
func (e *Estimator) shares(now identifier.Instant, slots int, waits bool) [identifier.RankCount]identifier.Ratio {
	past := now.Since(e.start)
	var shares [identifier.RankCount]identifier.Ratio
	var sum identifier.Ratio
	for r := range shares {
		used := float64(e.current[r]) + float64(e.previous[r])*float64(Window-past)/float64(Window)
		shares[r] = identifier.Ratio(used / float64(Window) / float64(slots))
		sum += shares[r]
	}
	if sum > 1 || (waits && sum > 0) {
		for r := range shares {
			shares[r] /= sum
		}
	}
	return shares
}

// Estimate returns the estimate for a server with so many slots, the jobs that
// wait and the floors, both by rank. A rank is served at its floor, or by what more
// urgent ranks, and less urgent ones within their floors, leave when that is more.
func (e *Estimator) Estimate(
	now identifier.Instant, slots int,
	backlog [identifier.RankCount]int, floors [identifier.RankCount]identifier.Ratio,
) Estimate {
	e.roll(now)
	slots = max(slots, 1)
	shares := e.shares(now, slots, slices.Max(backlog[:]) > 0)
	estimate := Estimate{Service: e.slowest()}
	for r := range estimate.Backlog {
		left := identifier.Ratio(1)
		for other, share := range shares {
			switch {
			case other < r:
				left -= share
			case other > r:
				left -= min(share, floors[other])
			}
		}
		service := e.service[r]
		if service == 0 {
			service = estimate.Service
		}
		rate := float64(max(left, floors[r], leastRate))
		estimate.Backlog[r] = uint32(backlog[r])
		estimate.Step[r] = identifier.Micros(float64(service) / (rate * float64(slots)))
	}
	return estimate
}

// Package estimator estimates how long new jobs wait for one backend server.
//
// The owner of the server measures the slot time of its calls and the share of slot
// time that each rank uses. From these it computes an Estimate, which is small enough
// to be sent with every result to the hosts that submit jobs.
//
// # Usage
//
//	e := estimator.New()
//	e.RecordCall(now, identifier.Urgent, 6*identifier.Millisecond, true)
//	estimate := e.Estimate(now, 3, backlog, floors)
package estimator

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// Window is the duration over which slot use is measured.
	Window = 200 * identifier.Millisecond
	// initialSlotTime is the assumed slot time of a call before one has been measured.
	initialSlotTime = 5 * identifier.Millisecond
	// outlierFactor limits the slot time that one call contributes to the mean, as a
	// multiple of the mean.
	outlierFactor = 4
	// historyWeight is the weight of the previous mean slot time relative to one new call.
	historyWeight = 15
	// minRankShare is the minimum share of slot time that a rank is expected to get.
	minRankShare identifier.Ratio = 0.01
)

// Estimate is the data from which the wait of a new job at a server is computed.
type Estimate struct {
	// Backlog is the number of waiting jobs by rank.
	Backlog [identifier.RankCount]uint32 `msgpack:"b"`
	// Step is the time by which each waiting job of a rank delays the next job of that
	// rank, in microseconds.
	Step [identifier.RankCount]identifier.Micros `msgpack:"s"`
	// Service is the highest mean slot time of all ranks, in microseconds. It is 0 in an
	// empty estimate.
	Service identifier.Micros `msgpack:"m"`
}

// Wait returns how long a new job of the rank waits behind the backlog and the given
// number of additional jobs, in microseconds.
func (e Estimate) Wait(r identifier.Rank, additional int) identifier.Micros {
	return identifier.Micros(int(e.Backlog[r])+additional) * e.Step[r]
}

// usage is the slot time used within one window by rank.
type usage [identifier.RankCount]identifier.Micros

// Estimator holds the measurements of one server.
type Estimator struct {
	// meanSlotTimes is the mean slot time by rank; 0 before the first measurement.
	meanSlotTimes [identifier.RankCount]identifier.Micros
	windowStart   identifier.Instant
	// current is the slot time used in the current window, and previous that of the window
	// before.
	current  usage
	previous usage
}

// New returns an Estimator without measurements.
func New() *Estimator {
	return &Estimator{}
}

// RecordCall records a call of the rank that used a slot for the duration. A call that was not
// completed counts towards the mean slot time only if it raises the mean.
func (e *Estimator) RecordCall(now identifier.Instant, r identifier.Rank, duration identifier.Micros, complete bool) {
	e.rollWindow(now)
	e.current[r] += duration
	switch {
	case !complete && duration <= e.meanSlotTimes[r]:
	case e.meanSlotTimes[r] == 0:
		e.meanSlotTimes[r] = max(duration, 1)
	default:
		capped := min(duration, outlierFactor*e.meanSlotTimes[r])
		e.meanSlotTimes[r] = max((historyWeight*e.meanSlotTimes[r]+capped)/(historyWeight+1), 1)
	}
}

// maxSlotTime returns the highest mean slot time of all ranks, or initialSlotTime before the
// first measurement.
func (e *Estimator) maxSlotTime() identifier.Micros {
	maxMean := slices.Max(e.meanSlotTimes[:])
	if maxMean == 0 {
		return initialSlotTime
	}
	return maxMean
}

// rollWindow starts a new window if the current one has ended.
func (e *Estimator) rollWindow(now identifier.Instant) {
	elapsed := now.Since(e.windowStart)
	if elapsed < Window {
		return
	}
	e.previous = e.current
	if elapsed >= 2*Window {
		e.previous = usage{}
	}
	e.current = usage{}
	e.windowStart = now
}

// shares returns the share of all slot time that each rank used in the last Window, from 0
// to 1. While jobs wait, the shares are scaled to a sum of 1: no slot stays free for
// long then, so the unused time is network latency of calls and results.
func (e *Estimator) shares(now identifier.Instant, slots int, backlogged bool) [identifier.RankCount]identifier.Ratio {
	elapsed := now.Since(e.windowStart)
	var shares [identifier.RankCount]identifier.Ratio
	var sum identifier.Ratio
	for r := range shares {
		used := float64(e.current[r]) + float64(e.previous[r])*float64(Window-elapsed)/float64(Window)
		shares[r] = identifier.Ratio(used / float64(Window) / float64(slots))
		sum += shares[r]
	}
	if sum > 1 || (backlogged && sum > 0) {
		for r := range shares {
			shares[r] /= sum
		}
	}
	return shares
}

// Estimate returns the estimate for a server, given its slots and the number of waiting jobs
// and the floor of each rank. The expected share of a rank is 1 minus the shares of more urgent
// ranks and minus the shares of less urgent ranks, each of these counted up to its floor. It is
// at least the rank's own floor, and at least minRankShare.
func (e *Estimator) Estimate(
	now identifier.Instant, slots int,
	backlog [identifier.RankCount]int, floors [identifier.RankCount]identifier.Ratio,
) Estimate {
	e.rollWindow(now)
	slots = max(slots, 1)
	shares := e.shares(now, slots, slices.Max(backlog[:]) > 0)
	estimate := Estimate{Service: e.maxSlotTime()}
	for r := range estimate.Backlog {
		remaining := identifier.Ratio(1)
		for other, share := range shares {
			switch {
			case other < r:
				remaining -= share
			case other > r:
				remaining -= min(share, floors[other])
			}
		}
		slotTime := e.meanSlotTimes[r]
		if slotTime == 0 {
			slotTime = estimate.Service
		}
		expectedShare := float64(max(remaining, floors[r], minRankShare))
		estimate.Backlog[r] = uint32(backlog[r])
		estimate.Step[r] = identifier.Micros(float64(slotTime) / (expectedShare * float64(slots)))
	}
	return estimate
}

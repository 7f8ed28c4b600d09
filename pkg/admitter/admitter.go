// Package admitter decides whether an entry host admits a whole query or refuses it early.
//
// A query that can't get the parts for all its pieces in time wastes the slots used for the
// others. The owner of a backend server sends the entry hosts that submit jobs to it estimates
// of how long a new job of each rank waits. The Admitter computes from these a pressure for
// each piece of a query: the expected wait as a share of the time that the query has for it, or
// the fill level of the owner's queue, whichever is higher. It includes the jobs that this host
// has submitted since it received the estimate. The probability of a refusal rises linearly
// with the pressure, so hosts with equal estimates don't all refuse or all admit at the same
// time.
//
// # Usage
//
//	a := admitter.New(limit)
//	a.UpdateEstimate(now, "s-1", estimate)
//	pressure := a.Pressure(now, []identifier.ServerID{"s-1", "s-2"}, identifier.Urgent, remaining)
//	if admitter.RefusalProbability(pressure) > random {
//		...
//	}
package admitter

import (
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// EstimateLifetime is how long an estimate is valid after it was received. After that
	// the server counts as idle, so that jobs are sent to it and their results carry a new
	// estimate.
	EstimateLifetime = 300 * identifier.Millisecond
	// minRefusalPressure is the pressure up to which every query is admitted.
	minRefusalPressure = 0.1
	// certainRefusalPressure is the pressure from which every query is refused.
	certainRefusalPressure = 0.4
	// certainRefusalBacklog is the number of waiting jobs of a rank below which refusals are
	// not certain, unless the wait pressure reaches uncappedWaitPressure. It keeps the queue
	// from running empty between estimates.
	certainRefusalBacklog = 6
	// uncappedWaitPressure is the pressure from which an expected wait counts in full even
	// if the queue is short.
	uncappedWaitPressure = 0.8
	// floodBacklog is the number of waiting jobs from which a server counts as flooded.
	floodBacklog = 4
	// executionSlotTimes is the number of mean slot times reserved for the execution of a
	// piece. At least 1/executionSlotTimes of the remaining time counts as available for
	// waiting.
	executionSlotTimes = 4
)

// serverEstimate is the latest estimate of one server.
type serverEstimate struct {
	receivedAt identifier.Instant
	estimate   estimator.Estimate
	// submitted counts the jobs that this host has submitted since the estimate, by rank.
	submitted [identifier.RankCount]int
}

// Admitter holds the latest estimate of each server. It is not safe for concurrent use.
type Admitter struct {
	queueLimit int
	servers    map[identifier.ServerID]*serverEstimate
}

// New returns an Admitter without estimates. The limit is the maximum number of jobs of
// one rank in the queue of a server.
func New(limit int) *Admitter {
	return &Admitter{queueLimit: limit, servers: map[identifier.ServerID]*serverEstimate{}}
}

// UpdateEstimate stores a new estimate of a server. An empty estimate is ignored.
func (a *Admitter) UpdateEstimate(now identifier.Instant, id identifier.ServerID, e estimator.Estimate) {
	if e.Service == 0 {
		return
	}
	s, ok := a.servers[id]
	if !ok {
		s = &serverEstimate{}
		a.servers[id] = s
	}
	*s = serverEstimate{receivedAt: now, estimate: e}
}

// RecordSubmission records that this host has submitted a job to the owner of the server.
func (a *Admitter) RecordSubmission(id identifier.ServerID, r identifier.Rank) {
	if s, ok := a.servers[id]; ok {
		s.submitted[r]++
	}
}

// Retain removes the estimates of servers that are no longer live.
func (a *Admitter) Retain(live func(identifier.ServerID) bool) {
	for id := range a.servers {
		if !live(id) {
			delete(a.servers, id)
		}
	}
}

// ServerCount returns the number of servers with an estimate.
func (a *Admitter) ServerCount() int {
	return len(a.servers)
}

// Pressure returns the lowest pressure among the servers, for a piece that must be answered
// within the remaining time. At 0 no wait is expected. At 1 the answer is just in time, or the
// queue is full. The pressure is 0 without servers, since there is no queue.
func (a *Admitter) Pressure(
	now identifier.Instant, servers []identifier.ServerID, r identifier.Rank, remaining identifier.Micros,
) float64 {
	lowest := 0.0
	for i, id := range servers {
		p := a.serverPressure(now, id, r, remaining)
		if i == 0 || p < lowest {
			lowest = p
		}
	}
	return lowest
}

// serverPressure returns the pressure at one server, or 0 without a valid estimate.
func (a *Admitter) serverPressure(now identifier.Instant, id identifier.ServerID, r identifier.Rank, remaining identifier.Micros) float64 {
	s, ok := a.servers[id]
	if !ok || now.Since(s.receivedAt) > EstimateLifetime {
		return 0
	}
	waiting := int(s.estimate.Backlog[r]) + s.submitted[r]
	if waiting == 0 {
		return 0
	}
	maxWait := max(remaining-executionSlotTimes*s.estimate.Service, remaining/executionSlotTimes, 1)
	queuePressure := float64(waiting) / float64(a.queueLimit)
	waitPressure := float64(s.estimate.Wait(r, s.submitted[r])) / float64(maxWait)
	if waitPressure < uncappedWaitPressure {
		waitPressure = min(waitPressure, certainRefusalPressure*float64(waiting)/certainRefusalBacklog)
	}
	return max(waitPressure, queuePressure)
}

// Flooded reports whether at least floodBacklog jobs that an extra attempt of the rank may
// delay wait at the server. An urgent attempt delays only urgent jobs; for any other rank all
// waiting jobs count.
func (a *Admitter) Flooded(now identifier.Instant, id identifier.ServerID, rank identifier.Rank) bool {
	s, ok := a.servers[id]
	if !ok || now.Since(s.receivedAt) > EstimateLifetime {
		return false
	}
	waiting := 0
	for r, jobs := range s.estimate.Backlog {
		if rank != identifier.Urgent || r == int(identifier.Urgent) {
			waiting += int(jobs)
		}
	}
	return waiting >= floodBacklog
}

// Wait returns the expected wait of a new job of the rank at the server, in microseconds.
// It is 0 without a valid estimate.
func (a *Admitter) Wait(now identifier.Instant, id identifier.ServerID, r identifier.Rank) identifier.Micros {
	s, ok := a.servers[id]
	if !ok || now.Since(s.receivedAt) > EstimateLifetime {
		return 0
	}
	return s.estimate.Wait(r, s.submitted[r])
}

// RefusalProbability returns the probability of a refusal at the given pressure, from 0 to 1.
func RefusalProbability(pressure float64) float64 {
	return min(max((pressure-minRefusalPressure)/(certainRefusalPressure-minRefusalPressure), 0), 1)
}

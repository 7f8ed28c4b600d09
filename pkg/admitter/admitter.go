// Package admitter decides whether an entry host takes a whole query on or refuses it early.
//
// A query that can't get its parts in time wastes the slots of those that it
// gets. The owners of backend servers tell the entry hosts that submit to them how long new
// work of each rank waits. The Admitter turns these estimates into a pressure for
// each part of a query: the expected wait as a share of the time that the query has for it, or
// how full the owner's queue is, whichever is more. It adds the work that this
// host has submitted since an estimate was made. From the pressure follows the chance of a
// refusal, which rises in proportion, so that hosts with equal estimates do not all
// refuse or all admit at once.
//
// # Usage
//
//	a := admitter.New(limit)
//	a.Hear(now, "s-1", estimate)
//	pressure := a.Pressure(now, []identifier.ServerID{"s-1", "s-2"}, identifier.Urgent, remaining)
//	if admitter.Chance(pressure) > random {
//		...
//	}
package admitter

import (
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// EstimateTerm is how long an estimate counts after it was made; after that
	// the server counts as idle, so that work goes there and brings a new one.
	EstimateTerm = 300 * identifier.Millisecond
	// easyPressure is the pressure up to which every query is admitted.
	easyPressure = 0.1
	// fullPressure is the pressure from which every query is refused.
	fullPressure = 0.4
	// keepBusy is how many jobs of a rank may wait before refusals are certain, so that
	// the queue does not run dry between estimates.
	keepBusy = 6
	// latePressure is the pressure from which a wait counts in full however short the queue.
	latePressure = 0.8
	// floodBacklog is how many jobs wait at a server in a flood.
	floodBacklog = 4
	// tailServices is how many mean slot times a part is given for its own run.
	tailServices = 4
)

// heard is the latest estimate of one server and what followed it.
type heard struct {
	at       identifier.Instant
	estimate estimator.Estimate
	// submitted counts this host's jobs since the estimate, by rank.
	submitted [identifier.RankCount]int
}

// Admitter keeps the latest estimates. It is not safe for concurrent use.
type Admitter struct {
	limit   int
	servers map[identifier.ServerID]*heard
}

// New returns an Admitter without estimates; limit is how many jobs of one rank
// the queue of a server holds.
func New(limit int) *Admitter {
	return &Admitter{limit: limit, servers: map[identifier.ServerID]*heard{}}
}

// Hear takes in an estimate of a server; an empty one is ignored.
func (a *Admitter) Hear(now identifier.Instant, id identifier.ServerID, e estimator.Estimate) {
	if e.Service == 0 {
		return
	}
	h, ok := a.servers[id]
	if !ok {
		h = &heard{}
		a.servers[id] = h
	}
	*h = heard{at: now, estimate: e}
}

// Submitted counts a job that this host has sent to the owner of the server.
func (a *Admitter) Submitted(id identifier.ServerID, r identifier.Rank) {
	if h, ok := a.servers[id]; ok {
		h.submitted[r]++
	}
}

// Retain drops the estimates of the servers that have gone.
func (a *Admitter) Retain(live func(identifier.ServerID) bool) {
	for id := range a.servers {
		if !live(id) {
			delete(a.servers, id)
		}
	}
}

// Servers returns how many servers have an estimate.
func (a *Admitter) Servers() int {
	return len(a.servers)
}

// Pressure returns how hard it is to get a part from the best of the servers
// within the remaining time: 0 is at once, 1 just in time or with a full queue. Without
// servers there is no pressure, since there is no queue.
func (a *Admitter) Pressure(
	now identifier.Instant, servers []identifier.ServerID, r identifier.Rank, remaining identifier.Micros,
) float64 {
	least := 0.0
	for i, id := range servers {
		p := a.pressure(now, id, r, remaining)
		if i == 0 || p < least {
			least = p
		}
	}
	return least
}

func (a *Admitter) pressure(now identifier.Instant, id identifier.ServerID, r identifier.Rank, remaining identifier.Micros) float64 {
	h, ok := a.servers[id]
	if !ok || now.Since(h.at) > EstimateTerm {
		return 0
	}
	waiting := int(h.estimate.Backlog[r]) + h.submitted[r]
	if waiting == 0 {
		return 0
	}
	room := max(remaining-tailServices*h.estimate.Service, remaining/tailServices, 1)
	full := float64(waiting) / float64(a.limit)
	late := float64(h.estimate.Wait(r, h.submitted[r])) / float64(room)
	if late < latePressure {
		late = min(late, fullPressure*float64(waiting)/keepBusy)
	}
	return max(late, full)
}

// Flooded reports whether work waits at the server that an attempt of the rank
// above the need would displace: urgent attempts pass all work but urgent.
func (a *Admitter) Flooded(now identifier.Instant, id identifier.ServerID, rank identifier.Rank) bool {
	h, ok := a.servers[id]
	if !ok || now.Since(h.at) > EstimateTerm {
		return false
	}
	waiting := 0
	for r, jobs := range h.estimate.Backlog {
		if rank != identifier.Urgent || r == int(identifier.Urgent) {
			waiting += int(jobs)
		}
	}
	return waiting >= floodBacklog
}

// Wait returns the time until the server gets to new work of the rank, in microseconds.
func (a *Admitter) Wait(now identifier.Instant, id identifier.ServerID, r identifier.Rank) identifier.Micros {
	h, ok := a.servers[id]
	if !ok || now.Since(h.at) > EstimateTerm {
		return 0
	}
	return h.estimate.Wait(r, h.submitted[r])
}

// Chance returns the probability of a refusal at the pressure, from 0 to 1.
func Chance(pressure float64) float64 {
	return min(max((pressure-easyPressure)/(fullPressure-easyPressure), 0), 1)
}

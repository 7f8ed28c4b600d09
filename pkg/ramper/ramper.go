// Package ramper finds the share of its usual work that a backend server gets after it has started,
// from how it answers.
//
// It answers this load: a service of 3 servers gets 100 requests a second from 60 hosts, and one server
// starts cold. If each host judges for itself, each needs the answers of half a minute to be sure. So one Ramper gets the
// measurements of many hosts, and each host draws at random, with the share as the probability,
// whether a piece may go to the server. The share starts low, doubles with a number of answers in
// time and falls with poor ones. No timer decides: a server that gets no work keeps its share.
//
// # Usage
//
//	r := ramper.New()
//	share := r.Start("s-1")
//	share, changed := r.Add("s-1", answers, poor)
package ramper

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// InitialShare is the share of a server that has just started: with 33 requests a second, its
	// hosts see four answers in the first second.
	InitialShare identifier.Ratio = 1.0 / 8
	// FullShare is the share of a server that has no ramp.
	FullShare identifier.Ratio = 1
	// growth multiplies the share of a server that has answered in time.
	growth = 2
	// risingCredit is the credit at which the share grows. Two let a server that fails half of
	// its attempts rise often; four take the share of a server with 33 requests a second 5 s to return.
	risingCredit = 3
	// poorCost is the credit that a poor answer costs, where one in time earns 1. The share of a server of
	// which a third of the answers are poor doesn't grow.
	poorCost = 2
)

// Ramper holds the ramps of servers. It is not safe for concurrent use.
type Ramper struct {
	ramps map[identifier.ServerID]*ramp
}

// ramp is the state of a server with less than the full share. The share falls when the credit is
// used up.
type ramp struct {
	share  identifier.Ratio
	credit int
}

// New returns a Ramper without ramps.
func New() *Ramper {
	return &Ramper{ramps: map[identifier.ServerID]*ramp{}}
}

// Start begins the ramp of a server that has started, and returns its share.
func (r *Ramper) Start(id identifier.ServerID) identifier.Ratio {
	r.ramps[id] = &ramp{share: InitialShare}
	return InitialShare
}

// Add records the answers of a server that one host has counted, of which some are poor: late, failed or
// refused. It returns the server's share, and whether that has changed. The ramp ends at FullShare.
func (r *Ramper) Add(id identifier.ServerID, answers, poor int) (share identifier.Ratio, changed bool) {
	x, ok := r.ramps[id]
	if !ok {
		return FullShare, false
	}
	before := x.share
	x.credit += answers - poor - poorCost*poor
	switch {
	case x.credit < 0:
		x.credit = 0
		x.share = max(InitialShare, x.share/growth)
	case x.credit >= risingCredit:
		x.credit = 0
		x.share *= growth
	}
	if x.share >= FullShare {
		delete(r.ramps, id)
		return FullShare, true
	}
	return x.share, x.share != before
}

// Remove removes the ramp of a server.
func (r *Ramper) Remove(id identifier.ServerID) {
	delete(r.ramps, id)
}

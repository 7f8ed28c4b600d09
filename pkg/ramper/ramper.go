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
//	share := r.Add(answers, poor)
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
	// its attempts rise often; four take the share of a server with 33 requests a second 4 s to return.
	risingCredit = 3
	// poorCost is the credit that a poor answer costs, where one in time earns 1. The share of a server of
	// which a third of the answers are poor doesn't grow.
	poorCost = 2
)

// Ramper is the ramp of one server. It is not safe for concurrent use.
type Ramper struct {
	share identifier.Ratio
	// credit is what the answers since the last change of the share have earned. The share falls when it
	// is used up.
	credit int
}

// New returns the ramp of a server that has just started.
func New() *Ramper {
	return &Ramper{share: InitialShare}
}

// Share returns the server's share.
func (r *Ramper) Share() identifier.Ratio { return r.share }

// Add records the answers that one host has counted, of which some are poor: late, failed or refused. It
// returns the server's share. The ramp has ended at FullShare.
func (r *Ramper) Add(answers, poor int) identifier.Ratio {
	if r.share >= FullShare {
		return FullShare
	}
	r.credit += answers - poor - poorCost*poor
	switch {
	case r.credit < 0:
		r.credit = 0
		r.share = max(InitialShare, r.share/growth)
	case r.credit >= risingCredit:
		r.credit = 0
		r.share = min(FullShare, r.share*growth)
	}
	return r.share
}

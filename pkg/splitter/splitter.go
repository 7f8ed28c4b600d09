// Package splitter divides the requests of a route among its targets in proportion to
// their weights, over any number of requests and not only in the long run.
//
// It implements smooth weighted round robin: for each request, every target's current
// weight increases by its weight. The target with the highest current weight is
// selected, and its current weight decreases by the total weight.
//
// # Usage
//
//	s := splitter.New(route.Targets)
//	service := s.Next()
package splitter

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Splitter selects targets by smooth weighted round robin. It is not safe for concurrent use.
type Splitter struct {
	targets        []declarer.Target
	currentWeights []declarer.Weight
	totalWeight    declarer.Weight
}

// New returns a Splitter for the targets, whose total weight must be above 0.
func New(targets []declarer.Target) *Splitter {
	s := &Splitter{targets: slices.Clone(targets), currentWeights: make([]declarer.Weight, len(targets))}
	for _, t := range targets {
		s.totalWeight += t.Weight
	}
	return s
}

// SameTargets reports whether the splitter was created for the same targets.
func (s *Splitter) SameTargets(targets []declarer.Target) bool {
	return slices.Equal(s.targets, targets)
}

// Clone returns a copy that selects the same targets from now on.
func (s *Splitter) Clone() *Splitter {
	return &Splitter{targets: s.targets, currentWeights: slices.Clone(s.currentWeights), totalWeight: s.totalWeight}
}

// Next returns the service for the next request.
func (s *Splitter) Next() identifier.ServiceID {
	best := -1
	for i, t := range s.targets {
		if t.Weight <= 0 {
			continue
		}
		s.currentWeights[i] += t.Weight
		if best < 0 || s.currentWeights[i] > s.currentWeights[best] {
			best = i
		}
	}
	s.currentWeights[best] -= s.totalWeight
	return s.targets[best].Service
}

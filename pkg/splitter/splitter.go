// Package splitter divides the requests of a route among its targets so that each
// gets its weight's share at any time, not only in the long run.
//
// It is smooth weighted round robin: each target earns its weight for every
// request, the one with the most earned is taken and pays the sum of all weights.
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

// Splitter divides requests among targets. It is not safe for concurrent use.
type Splitter struct {
	targets []declarer.Target
	earned  []declarer.Weight
	sum     declarer.Weight
}

// New returns a Splitter over the targets, whose weights must not add up to 0.
func New(targets []declarer.Target) *Splitter {
	s := &Splitter{targets: slices.Clone(targets), earned: make([]declarer.Weight, len(targets))}
	for _, t := range targets {
		s.sum += t.Weight
	}
	return s
}

// Divides reports whether the splitter was made for the same targets.
func (s *Splitter) Divides(targets []declarer.Target) bool {
	return slices.Equal(s.targets, targets)
}

// Next returns the service of the next request.
func (s *Splitter) Next() identifier.ServiceID {
	best := -1
	for i, t := range s.targets {
		if t.Weight <= 0 {
			continue
		}
		s.earned[i] += t.Weight
		if best < 0 || s.earned[i] > s.earned[best] {
			best = i
		}
	}
	s.earned[best] -= s.sum
	return s.targets[best].Service
}

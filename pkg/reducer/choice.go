package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// choose picks the server for an attempt. Two attempts in a row for a shard go to
// different servers, unless there is only one; a hedge never goes to the same.
func (s *State) choose(q *query, index int, p purpose) (identifier.ServerID, bool) {
	last := q.shards[index].last
	candidates := s.collect(q, index, last)
	if len(candidates) == 0 && p != hedged && last != "" {
		candidates = s.collect(q, index, "")
	}
	if p == hedged {
		candidates = s.unflooded(candidates)
	}
	return s.traffic.chooser.Choose(s.now, candidates, s.random.IntN)
}

// collect returns the servers other than the excluded one that may take an attempt for the shard.
func (s *State) collect(q *query, index int, excluded identifier.ServerID) []chooser.Candidate {
	candidates := s.traffic.candidates[:0]
	for _, id := range q.plan.Servers[index] {
		server, ok := s.traffic.view.Servers[id]
		if id == excluded || !ok || !server.takesWork() || !q.holds(id) {
			continue
		}
		candidates = append(candidates, chooser.Candidate{
			Server:      id,
			Incarnation: server.Incarnation,
			Starting:    server.State == leaser.Starting,
			Rank:        q.rank,
		})
	}
	s.traffic.candidates = candidates
	return candidates
}

// unflooded keeps of the candidates those whose queue has room for extra work.
func (s *State) unflooded(candidates []chooser.Candidate) []chooser.Candidate {
	return slices.DeleteFunc(candidates, func(c chooser.Candidate) bool {
		return s.traffic.admitter.Flooded(s.now, c.Server, c.Rank)
	})
}

// takesWork reports whether the server may be given new work.
func (s *Server) takesWork() bool {
	return s.State != leaser.Draining && s.Owner != ""
}

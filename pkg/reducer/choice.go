package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// chooseShardServer picks the server for an attempt. Consecutive attempts for a shard go to
// different servers unless there is only one. A hedge never goes to the server of the latest
// attempt.
func (s *State) chooseShardServer(q *query, index int, p purpose) (identifier.ServerID, bool) {
	last := q.shards[index].lastServer
	candidates := s.shardCandidates(q, index, last)
	if len(candidates) == 0 && p != purposeHedge && last != "" {
		candidates = s.shardCandidates(q, index, "")
	}
	if p == purposeHedge {
		candidates = s.withoutFlooded(candidates)
	}
	return s.traffic.chooser.Choose(s.now, candidates, s.random.IntN)
}

// shardCandidates returns the servers that may take an attempt for the shard, without the
// excluded one.
func (s *State) shardCandidates(q *query, index int, excluded identifier.ServerID) []chooser.Candidate {
	candidates := s.traffic.candidates[:0]
	for _, id := range q.plan.Servers[index] {
		server, ok := s.traffic.view.Servers[id]
		if id == excluded || !ok || !server.acceptsWork() || !q.holdsSnapshot(id) {
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

// withoutFlooded removes the candidates on which an extra attempt would delay waiting work.
func (s *State) withoutFlooded(candidates []chooser.Candidate) []chooser.Candidate {
	return slices.DeleteFunc(candidates, func(c chooser.Candidate) bool {
		return s.traffic.admitter.Flooded(s.now, c.Server, c.Rank)
	})
}

// acceptsWork reports whether the server may be sent new work.
func (s *Server) acceptsWork() bool {
	return s.State != leaser.Draining && s.Owner != ""
}

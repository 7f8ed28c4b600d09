package reducer

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/admitter"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// minRetryAfter is the minimum retry hint for a caller whose query was refused early.
	minRetryAfter = 100 * identifier.Millisecond
	// floodHedgeDivisor divides the share of hedges while servers are flooded.
	floodHedgeDivisor = 2
)

// arrivalFailure returns the failure of a repeatable query that is refused on arrival because
// of overload, or nil. A non-repeatable query is refused only after the ledger has granted its
// intent, since an earlier send may have run.
func (s *State) arrivalFailure(q *query) *Failed {
	if !q.Repeatable {
		return nil
	}
	return s.overloadFailure(q)
}

// overloadFailure returns the failure of a query that is refused because it is not expected to
// get enough parts in time, or nil. The refusal probability rises with the pressure. It must be
// called before the query sends any attempt.
func (s *State) overloadFailure(q *query) *Failed {
	pressure, wait := s.pressure(q)
	chance := admitter.RefusalProbability(pressure)
	if chance <= 0 || s.random.Float64() >= chance {
		return nil
	}
	s.count(EarlyRefusalsCounter, q.Customer, q.rank)
	return &Failed{
		Kind:       Overloaded,
		Ran:        RanNo,
		RetryAfter: max(wait, minRetryAfter),
		Message:    "the query would not be answered in time",
	}
}

// shardPressure is the admitter's measure of how overloaded the servers of one shard are.
type shardPressure struct {
	shard    int
	pressure float64
}

// pressure returns the pressure of the query's limiting shard, and the longest expected wait at
// the shard's servers, in microseconds. Both are 0 if no shard has enough pressure for a refusal.
func (s *State) pressure(q *query) (float64, identifier.Micros) {
	remaining := q.deadline.Since(s.now)
	shards := make([]shardPressure, 0, len(q.plan.Servers))
	highest := 0.0
	for i, servers := range q.plan.Servers {
		if len(servers) == 0 {
			continue
		}
		p := s.traffic.admitter.Pressure(s.now, servers, q.rank, remaining)
		shards = append(shards, shardPressure{i, p})
		highest = max(highest, p)
	}
	if admitter.RefusalProbability(highest) == 0 {
		return 0, 0
	}
	needed := s.limitingShard(q, shards)
	wait := identifier.Micros(0)
	for _, id := range q.plan.Servers[needed.shard] {
		wait = max(wait, s.traffic.admitter.Wait(s.now, id, q.rank))
	}
	return needed.pressure, wait
}

// limitingShard returns the shard with the highest pressure among the least loaded shards
// that together reach the query's minimum coverage.
func (s *State) limitingShard(q *query, shards []shardPressure) shardPressure {
	slices.SortFunc(shards, func(a, b shardPressure) int {
		if c := cmp.Compare(a.pressure, b.pressure); c != 0 {
			return c
		}
		return cmp.Compare(a.shard, b.shard)
	})
	needed := q.minCoverage * identifier.Ratio(identifier.HashSpace)
	var width identifier.HashPoint
	for _, p := range shards {
		width += q.plan.Ranges[p.shard].Width()
		if identifier.Ratio(width) >= needed {
			return p
		}
	}
	return shards[len(shards)-1]
}

// hedgeShare returns the query's target share of hedges: its customer's hedge budget, or a
// fraction of it while every other server of the shard is flooded with waiting attempts of any
// rank.
func (s *State) hedgeShare(q *query, index int) identifier.Ratio {
	if s.othersFlooded(q, index) {
		return q.policy.HedgeBudget / floodHedgeDivisor
	}
	return q.policy.HedgeBudget
}

// othersFlooded reports whether every other server of the shard has waiting work that an
// attempt of the last rank would delay.
func (s *State) othersFlooded(q *query, index int) bool {
	for _, id := range q.plan.Servers[index] {
		if id != q.shards[index].lastServer && !s.traffic.admitter.Flooded(s.now, id, identifier.Deferrable) {
			return false
		}
	}
	return true
}

// receiveEstimate records a server's queue estimate, which came with a result or was published
// by the owner.
func (s *State) receiveEstimate(id identifier.ServerID, e estimator.Estimate) {
	s.traffic.admitter.UpdateEstimate(s.now, id, e)
}

// receiveEstimates records the estimates published by an owner.
func (s *State) receiveEstimates(estimates []ServerEstimate) {
	for _, e := range estimates {
		s.receiveEstimate(e.Server, e.Estimate)
	}
}

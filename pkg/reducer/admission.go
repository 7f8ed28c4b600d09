package reducer

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/admitter"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// leastRetryAfter is the least hint for a caller whose query was refused early.
	leastRetryAfter = 100 * identifier.Millisecond
	// floodHedgeDivisor lowers the share of hedges in a flood.
	floodHedgeDivisor = 2
)

// refuseOnArrival returns the failure of a repeatable query that can't get enough of
// its parts in time, or nil. Others are refused only once the ledger has granted them:
// an earlier send may have run.
func (s *State) refuseOnArrival(q *query) *Failed {
	if !q.Repeatable {
		return nil
	}
	return s.overload(q)
}

// overload returns the failure of a query that can't get enough of its parts in
// time, before any part runs, or nil.
func (s *State) overload(q *query) *Failed {
	pressure, wait := s.pressure(q)
	chance := admitter.Chance(pressure)
	if chance <= 0 || s.random.Float64() >= chance {
		return nil
	}
	s.count(EarlyRefusalsCounter, q.Customer, q.rank)
	return &Failed{
		Kind:       Overloaded,
		Ran:        RanNo,
		RetryAfter: max(wait, leastRetryAfter),
		Message:    "the query would not be answered in time",
	}
}

// shardPressure is how hard it is to get one shard's part.
type shardPressure struct {
	shard    int
	pressure float64
}

// pressure returns how hard it is to get the least complete answer that the
// query accepts, and the wait for its hardest part, in microseconds.
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
	if admitter.Chance(highest) == 0 {
		return 0, 0
	}
	needed := s.hardestNeeded(q, shards)
	wait := identifier.Micros(0)
	for _, id := range q.plan.Servers[needed.shard] {
		wait = max(wait, s.traffic.admitter.Wait(s.now, id, q.rank))
	}
	return needed.pressure, wait
}

// hardestNeeded returns the hardest shard of the easiest ones that reach the
// query's least coverage.
func (s *State) hardestNeeded(q *query, shards []shardPressure) shardPressure {
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

// hedgeShare returns the share of hedges that the query aims at: its customer's budget, or
// part of it while needed work of any rank waits at every other server.
func (s *State) hedgeShare(q *query, index int) identifier.Ratio {
	if s.deferrableWaits(q, index) {
		return q.policy.HedgeBudget / floodHedgeDivisor
	}
	return q.policy.HedgeBudget
}

// deferrableWaits reports whether work waits at every other server of the shard
// that an attempt of the last rank would displace.
func (s *State) deferrableWaits(q *query, index int) bool {
	for _, id := range q.plan.Servers[index] {
		if id != q.shards[index].last && !s.traffic.admitter.Flooded(s.now, id, identifier.Deferrable) {
			return false
		}
	}
	return true
}

// hearEstimate takes in the estimate that came with a result.
func (s *State) hearEstimate(id identifier.ServerID, e estimator.Estimate) {
	s.traffic.admitter.Hear(s.now, id, e)
}

// hearEstimates takes in the estimates that an owner publishes.
func (s *State) hearEstimates(estimates []ServerEstimate) {
	for _, e := range estimates {
		s.hearEstimate(e.Server, e.Estimate)
	}
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// hedgeTime returns when to hedge a new attempt. It returns Never for work that must not run
// twice, for hedges and probes, without a hedge budget, and if the delay reaches the deadline.
func (s *State) hedgeTime(q *query, index int, p purpose) identifier.Instant {
	if !q.Repeatable || p == purposeHedge || p == purposeProbe {
		return identifier.Never
	}
	service := s.traffic.service(q.plan.Shards[index].Service)
	delay, ok := service.hedger.Delay(q.rank, s.hedgeShare(q, index))
	if !ok || s.now.Add(delay) >= q.deadline {
		return identifier.Never
	}
	return s.now.Add(delay)
}

// scheduleHedges schedules the earliest hedge of the query. One timer serves all its attempts.
func (s *State) scheduleHedges(q *query) {
	next := identifier.Never
	for i := range q.attempts {
		if q.attempts[i].open {
			next = min(next, q.attempts[i].hedgeAt)
		}
	}
	if next < q.hedgeTimer {
		q.hedgeTimer = next
		s.schedule(next, hedgeDue{request: q.Request, at: next})
	}
}

// handleHedgeTimer hedges the query's attempts that are due.
func (s *State) handleHedgeTimer(t hedgeDue) {
	q, ok := s.traffic.queries[t.request]
	if !ok || t.at != q.hedgeTimer {
		return
	}
	if s.endIfOverdue(q) {
		return
	}
	q.hedgeTimer = identifier.Never
	s.refreshPlan(q)
	for i := range q.attempts {
		if q.attempts[i].open && q.attempts[i].hedgeAt <= s.now {
			s.hedgeAttempt(q, i)
		}
	}
	s.scheduleHedges(q)
}

// hedgeAttempt sends a second attempt if a server is available and the budget allows it.
// Otherwise it tries again once the attempt has been in flight twice as long, unless the query's
// deadline comes first. In both cases the wait is recorded against the server, so that a server
// that stopped answering gets no more work.
func (s *State) hedgeAttempt(q *query, i int) {
	a := &q.attempts[i]
	elapsed := s.now.Since(a.sent)
	s.traffic.chooser.RecordWait(s.now, a.server, elapsed)
	a.hedgeAt = s.now.Add(elapsed)
	if a.hedgeAt >= q.deadline {
		a.hedgeAt = identifier.Never
	}
	if !s.canHedge(q, a.shard) {
		return
	}
	service := s.traffic.service(q.plan.Shards[a.shard].Service)
	if !service.hedger.Spend(q.rank) {
		s.count(HedgesWithheldCounter, q.Customer, q.rank)
		return
	}
	s.require(service.hedger.WithinBudget(), HedgeInvariant, string(q.plan.Shards[a.shard].Service))
	a.hedgeAt = identifier.Never
	s.submitAttempt(q, a.shard, purposeHedge)
}

// canHedge reports whether a server is available for a second attempt for the shard. A
// suspect request is not hedged: it runs on one server at a time.
func (s *State) canHedge(q *query, index int) bool {
	if q.shards[index].openAttempts > 1 || s.isSuspect(q.Fingerprint) {
		return false
	}
	return len(s.withoutFlooded(s.shardCandidates(q, index, q.shards[index].lastServer))) > 0
}

// recordCancelledWait records how long a cancelled attempt had been in flight. Without it, only
// fast attempts would be measured and the hedge delay would keep shrinking.
func (s *State) recordCancelledWait(q *query, a *queryAttempt) {
	elapsed := s.now.Since(a.sent)
	s.traffic.chooser.RecordWait(s.now, a.server, elapsed)
	if a.purpose != purposeHedge {
		s.traffic.service(q.plan.Shards[a.shard].Service).hedger.Observe(q.rank, elapsed)
	}
}

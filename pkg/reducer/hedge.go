package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// hedgeTime returns when to hedge a new attempt; Never for work that must not run
// twice, and for attempts that are extra already.
func (s *State) hedgeTime(q *query, index int, p purpose) identifier.Instant {
	if !q.Repeatable || p == hedged || p == probing {
		return identifier.Never
	}
	known := s.traffic.service(q.plan.Shards[index].Service)
	delay, ok := known.hedger.Delay(q.rank, s.hedgeShare(q, index))
	if !ok || s.now.Add(delay) >= q.deadline {
		return identifier.Never
	}
	return s.now.Add(delay)
}

// armHedges schedules the earliest hedge of the query; one timer serves all its attempts.
func (s *State) armHedges(q *query) {
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

// hedge sends second attempts for those that are due.
func (s *State) hedge(t hedgeDue) {
	q, ok := s.traffic.queries[t.request]
	if !ok || t.at != q.hedgeTimer {
		return
	}
	if s.endIfOverdue(q) {
		return
	}
	q.hedgeTimer = identifier.Never
	s.refresh(q)
	for i := range q.attempts {
		if q.attempts[i].open && q.attempts[i].hedgeAt <= s.now {
			s.hedgeAttempt(q, i)
		}
	}
	s.armHedges(q)
}

// hedgeAttempt sends a second attempt if the budget allows it; if not, it looks
// again after as long as the first attempt has taken. Either way the wait counts
// against the server, so that one that has gone silent gets no more work.
func (s *State) hedgeAttempt(q *query, i int) {
	a := &q.attempts[i]
	elapsed := s.now.Since(a.sent)
	s.traffic.chooser.Wait(s.now, a.server, elapsed)
	a.hedgeAt = s.now.Add(elapsed)
	if a.hedgeAt >= q.deadline {
		a.hedgeAt = identifier.Never
	}
	if !s.mayHedge(q, a.shard) {
		return
	}
	known := s.traffic.service(q.plan.Shards[a.shard].Service)
	if !known.hedger.Spend(q.rank) {
		s.count(HedgesWithheldCounter, q.Customer, q.rank)
		return
	}
	s.require(known.hedger.Kept(), HedgeInvariant, string(q.plan.Shards[a.shard].Service))
	a.hedgeAt = identifier.Never
	s.submit(q, a.shard, hedged)
}

// mayHedge reports whether a second attempt for the shard has a server to go to.
// A suspect request runs on one server at a time.
func (s *State) mayHedge(q *query, index int) bool {
	if q.shards[index].open > 1 || s.suspected(q.Fingerprint) {
		return false
	}
	return len(s.unflooded(s.collect(q, index, q.shards[index].last))) > 0
}

// observeWait takes in the time that a cancelled attempt had waited in vain. Without it only
// the fast attempts would be measured, and hedges would come ever sooner.
func (s *State) observeWait(q *query, a *attempt) {
	elapsed := s.now.Since(a.sent)
	s.traffic.chooser.Wait(s.now, a.server, elapsed)
	if a.purpose != hedged {
		s.traffic.service(q.plan.Shards[a.shard].Service).hedger.Observe(q.rank, elapsed)
	}
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Bounds of retries.
const (
	// MaxShardAttempts bounds the attempts for one shard of one query.
	MaxShardAttempts = 8
	// FirstBackoff is the longest delay before the first retry on the same server.
	FirstBackoff = 4 * identifier.Millisecond
	// MaxBackoff bounds the delay before a retry.
	MaxBackoff = 200 * identifier.Millisecond
)

// ending is how an attempt ended without a part.
type ending uint8

// The endings of attempts without a part.
const (
	// notRun attempts reached the server, which did not run them.
	notRun ending = iota
	// notRunFree attempts did not run and cost the server nothing.
	notRunFree
	// mayHaveRun attempts were lost.
	mayHaveRun
	// ownerGone attempts were lost with the owner of their server. Their retries are
	// bounded by what was in flight there, so they are not budgeted.
	ownerGone
	// unusable attempts gave a part of another snapshot, once for each server at most.
	unusable
)

// retry arranges another attempt for the shard of an ended one, as far as
// repeatability, time, attempts and budget allow; otherwise the range is missing.
// Without a server at the pinned snapshot the query starts over at a newer one.
func (s *State) retry(q *query, a *attempt, end ending) {
	if q.shards[a.shard].open == 0 && !q.coverage.Covered(a.shard) {
		s.arrangeRetry(q, a.shard, end)
	}
	s.finishIfSettled(q)
}

func (s *State) arrangeRetry(q *query, index int, end ending) {
	sh := &q.shards[index]
	safe := q.Repeatable || end == notRun || end == notRunFree
	if !safe || sh.waiting || sh.parked || sh.tries >= MaxShardAttempts {
		return
	}
	s.refresh(q)
	if len(s.collect(q, index, "")) == 0 && s.replan(q) {
		return
	}
	delay := s.retryDelay(q, index)
	if s.now.Add(delay) >= q.deadline || !s.affordRetry(q, index, end) {
		return
	}
	if delay == 0 {
		s.restart(q, index)
		return
	}
	sh.waiting = true
	q.waiting++
	s.schedule(s.now.Add(delay), retryDue{request: q.Request, shard: index, replan: q.replans})
}

// affordRetry takes a retry from the service's budget, unless it is free.
func (s *State) affordRetry(q *query, index int, end ending) bool {
	if end != notRun && end != mayHaveRun {
		return true
	}
	if q.policy.RetryBudget <= 0 {
		return false
	}
	id := q.plan.Shards[index].Service
	known := s.traffic.service(id)
	if !known.retries.Spend() {
		return false
	}
	s.require(known.retries.Kept(), RetryInvariant, string(id))
	return true
}

// retryDelay is 0 for the first retry when another server can take it, else an
// exponential backoff with full jitter, in microseconds.
func (s *State) retryDelay(q *query, index int) identifier.Micros {
	sh := &q.shards[index]
	if sh.tries <= 1 && len(s.collect(q, index, sh.last)) > 0 {
		return 0
	}
	longest := min(MaxBackoff, FirstBackoff<<min(sh.tries, 10))
	return longest/2 + identifier.Micros(s.random.Int64N(int64(longest/2)))
}

// retryWaiting sends the attempt that a shard waited for.
func (s *State) retryWaiting(t retryDue) {
	q, ok := s.traffic.queries[t.request]
	if !ok || t.replan != q.replans || !q.shards[t.shard].waiting {
		return
	}
	if s.endIfOverdue(q) {
		return
	}
	s.refresh(q)
	q.shards[t.shard].waiting = false
	q.waiting--
	s.restart(q, t.shard)
	s.finishIfSettled(q)
}

// restart sends another attempt for a shard, or waits once more for news of servers.
func (s *State) restart(q *query, index int) {
	if len(s.collect(q, index, "")) > 0 {
		s.start(q, index)
		s.armHedges(q)
		return
	}
	q.shards[index].tries++
	s.arrangeRetry(q, index, notRunFree)
}

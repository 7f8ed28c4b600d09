package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Limits of retries.
const (
	// MaxShardAttempts limits the attempts for one shard of one query. A retry that finds no
	// available server counts as an attempt.
	MaxShardAttempts = 8
	// FirstBackoff is the minimum delay before the first retry on the same server. It doubles
	// with each further attempt.
	FirstBackoff = 4 * identifier.Millisecond
	// MaxBackoff limits the delay before a retry.
	MaxBackoff = 200 * identifier.Millisecond
)

// attemptFailure is the reason why an attempt returned no usable part.
type attemptFailure uint8

// The reasons why attempts return no usable part.
const (
	// notRun attempts did not run because of overload: the server shed the attempt, the owner's
	// queue was full, or the attempt expired in it.
	notRun attemptFailure = iota
	// notRunFree attempts did not run for another reason, or found no available server. They caused
	// the server no work, so their retries are not budgeted.
	notRunFree
	// mayHaveRun attempts were lost and may have run.
	mayHaveRun
	// ownerLost attempts were lost with the owner of their server. Their retries are
	// limited by the number of attempts in flight there, so they are not budgeted.
	ownerLost
	// unusablePart attempts returned a part of another snapshot, at most once for each server.
	unusablePart
)

// retry schedules another attempt for the shard of a failed attempt if repeatability, deadline,
// attempt limit and budget allow it; otherwise the shard's range stays missing. If no server
// holds the pinned snapshot, the query restarts at a newer one.
func (s *State) retry(q *query, a *queryAttempt, failure attemptFailure) {
	if q.shards[a.shard].openAttempts == 0 && !q.coverage.Covered(a.shard) {
		s.scheduleRetry(q, a.shard, failure)
	}
	s.finishIfDone(q)
}

func (s *State) scheduleRetry(q *query, index int, failure attemptFailure) {
	sh := &q.shards[index]
	safe := q.Repeatable || failure == notRun || failure == notRunFree
	if !safe || sh.waitingForRetry || sh.parked || sh.attemptCount >= MaxShardAttempts {
		return
	}
	s.refreshPlan(q)
	if len(s.shardCandidates(q, index, "")) == 0 && s.replan(q) {
		return
	}
	delay := s.retryDelay(q, index)
	if s.now.Add(delay) >= q.deadline || !s.spendRetry(q, index, failure) {
		return
	}
	if delay == 0 {
		s.retryShard(q, index)
		return
	}
	sh.waitingForRetry = true
	q.waitingShards++
	s.schedule(s.now.Add(delay), retryDue{request: q.Request, shard: index, replan: q.replans})
}

// spendRetry takes a retry from the service's budget unless the retry is free. It returns
// false if the budget is exhausted.
func (s *State) spendRetry(q *query, index int, failure attemptFailure) bool {
	if failure != notRun && failure != mayHaveRun {
		return true
	}
	if q.policy.RetryBudget <= 0 {
		return false
	}
	id := q.plan.Shards[index].Service
	service := s.traffic.service(id)
	if !service.retries.Spend() {
		return false
	}
	s.require(service.retries.WithinBudget(), RetryInvariant, string(id))
	return true
}

// retryDelay returns the delay before a retry, in microseconds: 0 for the first retry if another
// server is available, else an exponential backoff with jitter over its upper half.
func (s *State) retryDelay(q *query, index int) identifier.Micros {
	sh := &q.shards[index]
	if sh.attemptCount <= 1 && len(s.shardCandidates(q, index, sh.lastServer)) > 0 {
		return 0
	}
	longest := min(MaxBackoff, FirstBackoff<<min(sh.attemptCount, 10))
	return longest/2 + identifier.Micros(s.random.Int64N(int64(longest/2)))
}

// retryAfterBackoff sends the attempt of a shard whose backoff has ended.
func (s *State) retryAfterBackoff(t retryDue) {
	q, ok := s.traffic.queries[t.request]
	if !ok || t.replan != q.replans || !q.shards[t.shard].waitingForRetry {
		return
	}
	if s.endIfOverdue(q) {
		return
	}
	s.refreshPlan(q)
	q.shards[t.shard].waitingForRetry = false
	q.waitingShards--
	s.retryShard(q, t.shard)
	s.finishIfDone(q)
}

// retryShard sends another attempt for a shard. If no server is available, it waits for another
// backoff, during which the view may gain servers.
func (s *State) retryShard(q *query, index int) {
	if len(s.shardCandidates(q, index, "")) > 0 {
		s.startShard(q, index)
		s.scheduleHedges(q)
		return
	}
	q.shards[index].attemptCount++
	s.scheduleRetry(q, index, notRunFree)
}

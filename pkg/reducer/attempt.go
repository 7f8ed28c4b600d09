package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// queryAttempt is one attempt to fetch the part of one shard.
type queryAttempt struct {
	shard  int
	server identifier.ServerID
	owner  identifier.HostID
	sent   identifier.Instant
	// hedgeAt is when to hedge the attempt; Never if it isn't hedged.
	hedgeAt identifier.Instant
	open    bool
	purpose purpose
}

// purpose is the reason for sending an attempt.
type purpose uint8

// The purposes of attempts.
const (
	// purposeInitial marks the first attempt for a shard.
	purposeInitial purpose = iota
	// purposeRetry marks an attempt after one that returned no part.
	purposeRetry
	// purposeHedge marks an attempt in parallel with a slow one.
	purposeHedge
	// purposeProbe marks an attempt that tests whether a suspect request crashes its server.
	purposeProbe
)

// startShard sends an attempt for a shard, or parks the shard while the query is suspect.
func (s *State) startShard(q *query, index int) {
	switch s.fingerprintStatus(q.Fingerprint) {
	case quarantiner.Quarantined:
		return
	case quarantiner.Suspected:
		if !q.permitGranted || q.probeInFlight {
			s.parkShard(q, index)
			return
		}
		s.submitAttempt(q, index, purposeProbe)
	case quarantiner.Clear:
		p := purposeInitial
		if q.shards[index].attemptCount > 0 {
			p = purposeRetry
		}
		s.submitAttempt(q, index, p)
	}
}

// submitAttempt sends an attempt for a shard to the owner of one of its servers. It
// returns false if no server is available or the deadline has passed.
func (s *State) submitAttempt(q *query, index int, p purpose) bool {
	id, ok := s.chooseShardServer(q, index, p)
	if !ok || s.now >= q.deadline {
		return false
	}
	sh := &q.shards[index]
	s.require(q.Repeatable || (!sh.ran && sh.openAttempts == 0), QueryOnceInvariant, string(q.Request))
	server := s.traffic.view.Servers[id]
	sh.attemptCount++
	sh.openAttempts++
	sh.lastServer = id
	q.openAttempts++
	q.probeInFlight = q.probeInFlight || p == purposeProbe
	q.attempts = append(q.attempts, queryAttempt{
		shard:   index,
		server:  id,
		owner:   server.Owner,
		sent:    s.now,
		hedgeAt: s.hedgeTime(q, index, p),
		open:    true,
		purpose: p,
	})
	s.traffic.chooser.RecordStart(id, q.rank)
	s.traffic.admitter.RecordSubmission(id, q.rank)
	s.countQueryAttempt(q, index, p)
	s.emit(Send{To: server.Owner, Event: AttemptSubmitted{
		From:        s.parameters.Host,
		Attempt:     identifier.AttemptID{Request: q.Request, Sequence: uint32(len(q.attempts))},
		Server:      id,
		Customer:    q.Customer,
		Work:        q.Work,
		Rank:        q.rank,
		Remaining:   q.deadline.Since(s.now),
		Snapshot:    q.plan.Snapshot,
		Range:       q.plan.Ranges[index],
		Repeatable:  q.Repeatable,
		Fingerprint: q.Fingerprint,
		Probe:       p == purposeProbe,
		Body:        q.Body,
	}})
	return true
}

// countQueryAttempt counts an attempt. An initial one adds to the hedge and retry budgets of
// its service.
func (s *State) countQueryAttempt(q *query, index int, p purpose) {
	s.count(AttemptsCounter, q.Customer, q.rank)
	switch p {
	case purposeInitial:
		service := s.traffic.service(q.plan.Shards[index].Service)
		service.hedger.Earn(q.policy.HedgeBudget)
		service.retries.Earn(q.policy.RetryBudget)
	case purposeRetry:
		s.count(RetriesCounter, q.Customer, q.rank)
	case purposeHedge:
		s.count(HedgesCounter, q.Customer, q.rank)
	case purposeProbe:
		s.count(ProbesCounter, q.Customer, q.rank)
	}
}

// handleAttemptServed adds a part to the answer if it belongs to an open attempt and to the
// pinned snapshot.
func (s *State) handleAttemptServed(e AttemptServed) {
	q, a := s.endQueryAttempt(e.Attempt)
	if a == nil {
		return
	}
	q.markMayHaveRun(a)
	latency := s.now.Since(a.sent)
	s.traffic.chooser.RecordLatency(s.now, a.server, latency)
	s.traffic.service(q.plan.Shards[a.shard].Service).hedger.Observe(q.rank, latency)
	if e.Snapshot != q.plan.Snapshot || e.Range != q.plan.Ranges[a.shard] {
		s.count(MismatchedPartCounter, q.Customer, q.rank)
		q.staleServers = append(q.staleServers, a.server)
		s.retry(q, a, unusablePart)
		return
	}
	if q.coverage.Cover(a.shard) {
		q.parts = append(q.parts, Part{
			Service: q.plan.Shards[a.shard].Service,
			Server:  e.Server,
			Range:   e.Range,
			Body:    e.Body,
		})
	}
	s.cancelOtherAttempts(q, a.shard)
	if a.purpose == purposeProbe {
		s.clearSuspect(q)
	}
	s.finishIfDone(q)
}

// handleAttemptRefused handles an attempt that did not run.
func (s *State) handleAttemptRefused(e AttemptRefused) {
	q, a := s.endQueryAttempt(e.Attempt)
	if a == nil {
		return
	}
	service := s.traffic.service(q.plan.Shards[a.shard].Service)
	switch e.Reason {
	case RefusedSnapshot:
		q.staleServers = append(q.staleServers, a.server)
		s.retry(q, a, notRunFree)
	case RefusedNotOwner:
		s.retry(q, a, notRunFree)
	case RefusedUnreachable:
		s.traffic.chooser.RecordFailure(s.now, a.server)
		s.retry(q, a, notRunFree)
	case RefusedSuspect:
		s.retrySuspect(q, a)
	case RefusedExpired, RefusedOverloaded:
		service.hedger.RecordRefusal()
		s.retry(q, a, notRun)
	case RefusedByServer:
		service.hedger.RecordRefusal()
		s.traffic.chooser.RecordFailure(s.now, a.server)
		s.retry(q, a, notRun)
	}
}

// markMayHaveRun records that an attempt may have run.
func (q *query) markMayHaveRun(a *queryAttempt) {
	q.ran = true
	q.shards[a.shard].ran = true
}

// handleAttemptLost handles an attempt whose call ended without an answer. The attempt may have
// run and may have crashed its server.
func (s *State) handleAttemptLost(e AttemptLost) {
	q, a := s.endQueryAttempt(e.Attempt)
	if a == nil {
		return
	}
	q.markMayHaveRun(a)
	s.traffic.chooser.RecordFailure(s.now, a.server)
	s.reportSuspect(q, a)
	s.retry(q, a, mayHaveRun)
}

// failAttemptsAt ends the open attempts at owners that are gone. The attempts may have run.
func (s *State) failAttemptsAt(gone func(owner identifier.HostID) bool) {
	for _, request := range sortedKeys(s.traffic.queries) {
		q := s.traffic.queries[request]
		for i := 0; i < len(q.attempts) && s.traffic.queries[request] == q; i++ {
			if q.attempts[i].open && gone(q.attempts[i].owner) {
				s.closeAttempt(q, &q.attempts[i])
				q.markMayHaveRun(&q.attempts[i])
				s.traffic.chooser.RecordFailure(s.now, q.attempts[i].server)
				s.retry(q, &q.attempts[i], ownerLost)
			}
		}
	}
}

// endQueryAttempt closes an open attempt and returns it, or nil if it is not open. The result must
// not be modified, since submitAttempt may reallocate the query's attempts and a write to the old
// copy would be lost.
func (s *State) endQueryAttempt(id identifier.AttemptID) (*query, *queryAttempt) {
	q, ok := s.traffic.queries[id.Request]
	if !ok || id.Sequence == 0 || int(id.Sequence) > len(q.attempts) {
		return nil, nil
	}
	a := &q.attempts[id.Sequence-1]
	if !a.open {
		return q, nil
	}
	s.closeAttempt(q, a)
	return q, a
}

func (s *State) closeAttempt(q *query, a *queryAttempt) {
	a.open = false
	q.openAttempts--
	q.shards[a.shard].openAttempts--
	if a.purpose == purposeProbe {
		q.probeInFlight = false
	}
	s.traffic.chooser.RecordEnd(a.server, q.rank)
}

// cancelOtherAttempts cancels the open attempts for a shard whose part has arrived.
func (s *State) cancelOtherAttempts(q *query, index int) {
	for i := range q.attempts {
		if q.shards[index].openAttempts == 0 {
			return
		}
		if q.attempts[i].open && q.attempts[i].shard == index {
			s.recordCancelledWait(q, &q.attempts[i])
			s.cancelAttempt(q, i)
		}
	}
}

// cancelOpenAttempts cancels every open attempt of a query.
func (s *State) cancelOpenAttempts(q *query) {
	for i := range q.attempts {
		if q.attempts[i].open {
			s.cancelAttempt(q, i)
		}
	}
}

func (s *State) cancelAttempt(q *query, i int) {
	a := &q.attempts[i]
	s.closeAttempt(q, a)
	s.emit(Send{To: a.owner, Event: AttemptCancelled{
		Attempt: identifier.AttemptID{Request: q.Request, Sequence: uint32(i + 1)},
		Server:  a.server,
	}})
}

// holdsSnapshot reports whether the server may hold the query's snapshot: it has not shown that it
// lacks it.
func (q *query) holdsSnapshot(id identifier.ServerID) bool {
	return !slices.Contains(q.staleServers, id)
}

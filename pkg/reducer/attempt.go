package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// attempt is one attempt to fetch the part of one shard.
type attempt struct {
	shard  int
	server identifier.ServerID
	owner  identifier.HostID
	sent   identifier.Instant
	// hedgeAt is when to hedge the attempt; Never for attempts that aren't hedged.
	hedgeAt identifier.Instant
	open    bool
	purpose purpose
}

// purpose is why an attempt is made.
type purpose uint8

// The purposes of attempts.
const (
	// needed attempts are the first for their shard.
	needed purpose = iota
	// retried attempts follow one that gave no part.
	retried
	// hedged attempts run beside a slow one.
	hedged
	// probing attempts test a suspect request.
	probing
)

// start sends an attempt for a shard, or parks the shard while the query is suspect.
func (s *State) start(q *query, index int) {
	switch s.standing(q.Fingerprint) {
	case quarantiner.Quarantined:
		return
	case quarantiner.Suspected:
		if !q.granted || q.probing {
			s.park(q, index)
			return
		}
		s.submit(q, index, probing)
	case quarantiner.Clear:
		p := needed
		if q.shards[index].tries > 0 {
			p = retried
		}
		s.submit(q, index, p)
	}
}

// submit sends an attempt for a shard to the owner of one of its servers. It
// reports false when no server may take it or the deadline has come.
func (s *State) submit(q *query, index int, p purpose) bool {
	id, ok := s.choose(q, index, p)
	if !ok || s.now >= q.deadline {
		return false
	}
	sh := &q.shards[index]
	s.require(q.Repeatable || (!sh.ran && sh.open == 0), OnceInvariant, string(q.Request))
	server := s.traffic.view.Servers[id]
	sh.tries++
	sh.open++
	sh.last = id
	q.open++
	q.probing = q.probing || p == probing
	q.attempts = append(q.attempts, attempt{
		shard:   index,
		server:  id,
		owner:   server.Owner,
		sent:    s.now,
		hedgeAt: s.hedgeTime(q, index, p),
		open:    true,
		purpose: p,
	})
	s.traffic.chooser.Begin(id, q.rank)
	s.traffic.admitter.Submitted(id, q.rank)
	s.charge(q, index, p)
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
		Probe:       p == probing,
		Body:        q.Body,
	}})
	return true
}

// charge counts an attempt; a needed one earns its share of the service's budgets.
func (s *State) charge(q *query, index int, p purpose) {
	s.count(AttemptsCounter, q.Customer, q.rank)
	switch p {
	case needed:
		known := s.traffic.service(q.plan.Shards[index].Service)
		known.hedger.Need(q.policy.HedgeBudget)
		known.retries.Earn(q.policy.RetryBudget)
	case retried:
		s.count(RetriesCounter, q.Customer, q.rank)
	case hedged:
		s.count(HedgesCounter, q.Customer, q.rank)
	case probing:
		s.count(ProbesCounter, q.Customer, q.rank)
	}
}

// mergePart adds a part to the answer if it belongs to the pinned snapshot and to an open attempt.
func (s *State) mergePart(e AttemptServed) {
	q, a := s.takeAttempt(e.Attempt)
	if a == nil {
		return
	}
	q.markRan(a)
	latency := s.now.Since(a.sent)
	s.traffic.chooser.Serve(s.now, a.server, latency)
	s.traffic.service(q.plan.Shards[a.shard].Service).hedger.Observe(q.rank, latency)
	if e.Snapshot != q.plan.Snapshot || e.Range != q.plan.Ranges[a.shard] {
		s.count(MismatchedPartCounter, q.Customer, q.rank)
		q.dropped = append(q.dropped, a.server)
		s.retry(q, a, unusable)
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
	s.cancelRivals(q, a.shard)
	if a.purpose == probing {
		s.clearSuspect(q)
	}
	s.finishIfSettled(q)
}

// handleRefused handles an attempt that did not run.
func (s *State) handleRefused(e AttemptRefused) {
	q, a := s.takeAttempt(e.Attempt)
	if a == nil {
		return
	}
	known := s.traffic.service(q.plan.Shards[a.shard].Service)
	switch e.Reason {
	case RefusedSnapshot:
		q.dropped = append(q.dropped, a.server)
		s.retry(q, a, notRunFree)
	case RefusedNotOwner:
		s.retry(q, a, notRunFree)
	case RefusedUnreachable:
		s.traffic.chooser.Fail(s.now, a.server)
		s.retry(q, a, notRunFree)
	case RefusedSuspect:
		s.retrySuspect(q, a)
	case RefusedExpired, RefusedOverloaded:
		known.hedger.Refuse()
		s.retry(q, a, notRun)
	case RefusedByServer:
		known.hedger.Refuse()
		s.traffic.chooser.Fail(s.now, a.server)
		s.retry(q, a, notRun)
	}
}

// markRan notes that an attempt may have run.
func (q *query) markRan(a *attempt) {
	q.ran = true
	q.shards[a.shard].ran = true
}

// handleLost handles an attempt whose call ended without an answer; it may have run
// and may have crashed its server.
func (s *State) handleLost(e AttemptLost) {
	q, a := s.takeAttempt(e.Attempt)
	if a == nil {
		return
	}
	q.markRan(a)
	s.traffic.chooser.Fail(s.now, a.server)
	s.suspect(q, a)
	s.retry(q, a, mayHaveRun)
}

// loseAttempts ends the open attempts at the owners that have gone; they may have run.
func (s *State) loseAttempts(gone func(owner identifier.HostID) bool) {
	for _, request := range sortedKeys(s.traffic.queries) {
		q := s.traffic.queries[request]
		for i := 0; i < len(q.attempts) && s.traffic.queries[request] == q; i++ {
			if q.attempts[i].open && gone(q.attempts[i].owner) {
				s.closeAttempt(q, &q.attempts[i])
				q.markRan(&q.attempts[i])
				s.traffic.chooser.Fail(s.now, q.attempts[i].server)
				s.retry(q, &q.attempts[i], ownerGone)
			}
		}
	}
}

// takeAttempt closes an open attempt and returns it, or nil when it is not open.
// A later submit may move the query's attempts: what it returns is only read.
func (s *State) takeAttempt(id identifier.AttemptID) (*query, *attempt) {
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

func (s *State) closeAttempt(q *query, a *attempt) {
	a.open = false
	q.open--
	q.shards[a.shard].open--
	if a.purpose == probing {
		q.probing = false
	}
	s.traffic.chooser.End(a.server, q.rank)
}

// cancelRivals cancels the other attempts for a shard that has its part.
func (s *State) cancelRivals(q *query, index int) {
	for i := range q.attempts {
		if q.shards[index].open == 0 {
			return
		}
		if q.attempts[i].open && q.attempts[i].shard == index {
			s.observeWait(q, &q.attempts[i])
			s.cancelAttempt(q, i)
		}
	}
}

// cancelOpen cancels every open attempt of a query.
func (s *State) cancelOpen(q *query) {
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

// holds reports whether the server still holds the query's snapshot as far as the query knows.
func (q *query) holds(id identifier.ServerID) bool {
	return !slices.Contains(q.dropped, id)
}

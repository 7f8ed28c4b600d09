package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// ProbeGranted lets a query of a suspect fingerprint send a single probe.
type ProbeGranted struct {
	queryEvent
	Request     identifier.RequestID   `msgpack:"r"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// Arbiter is the host that gave the permit.
	Arbiter identifier.HostID `msgpack:"a"`
}

// Key returns the request that asked.
func (e ProbeGranted) Key() identifier.RequestID { return e.Request }

// standing returns what is thought of a fingerprint; requests without one are clear.
func (s *State) standing(f identifier.Fingerprint) quarantiner.Standing {
	if f == 0 {
		return quarantiner.Clear
	}
	return s.suspects.Standing(s.now, f)
}

func (s *State) suspected(f identifier.Fingerprint) bool {
	return s.standing(f) != quarantiner.Clear
}

// quarantined is the failure of a quarantined request that was not run.
func (s *State) quarantined(f identifier.Fingerprint) *Failed {
	return &Failed{
		Kind:       Quarantined,
		Ran:        RanNo,
		RetryAfter: s.suspects.Until(f).Since(s.now),
		Message:    Quarantined.message(),
	}
}

// suspect tells all hosts that the call of an attempt was lost, before its server is
// known to have crashed: nobody may run the request meanwhile but as a probe.
func (s *State) suspect(q *query, a *attempt) {
	if q.Fingerprint == 0 {
		return
	}
	id := q.plan.Shards[a.shard].Service
	s.suspects.Suspect(s.now, q.Fingerprint, id)
	s.tellStates(FingerprintSuspected{Fingerprint: q.Fingerprint, Service: id, Probe: a.purpose == probing})
	if a.purpose == probing {
		q.granted = false
		s.ask(q)
	}
}

// tellStates sends a process event to the states of every host.
func (s *State) tellStates(e ProcessEvent) {
	s.emit(Send{To: s.parameters.Host, Event: e})
	s.tellHosts(e)
}

// park holds a shard back until the request is cleared or may be probed.
func (s *State) park(q *query, index int) {
	q.shards[index].parked = true
	q.parked++
	if !q.asked {
		s.ask(q)
	}
}

// ask asks the arbiter of the fingerprint for a permit to probe.
func (s *State) ask(q *query) {
	q.asked = true
	q.arbiter = s.arbiterOf(q.Fingerprint)
	if !slices.Contains(s.traffic.held[q.Fingerprint], q.Request) {
		s.traffic.held[q.Fingerprint] = append(s.traffic.held[q.Fingerprint], q.Request)
	}
	s.emit(Send{To: q.arbiter, Event: ProbeAsked{
		From:        s.parameters.Host,
		Request:     q.Request,
		Fingerprint: q.Fingerprint,
		Remaining:   q.deadline.Since(s.now),
	}})
}

// askAgain repeats the requests for permits whose arbiter has gone.
func (s *State) askAgain(gone func(arbiter identifier.HostID) bool) {
	for _, f := range sortedKeys(s.traffic.held) {
		for _, id := range s.traffic.held[f] {
			if q := s.traffic.queries[id]; !q.granted && gone(q.arbiter) {
				s.ask(q)
			}
		}
	}
}

// returnPermit gives up the query's permit, or its wait for one.
func (s *State) returnPermit(q *query) {
	if !q.asked {
		return
	}
	q.asked = false
	q.granted = false
	s.unhold(q)
	s.emit(Send{To: q.arbiter, Event: ProbeReturned{
		From:        s.parameters.Host,
		Request:     q.Request,
		Fingerprint: q.Fingerprint,
	}})
}

func (s *State) unhold(q *query) {
	held := s.traffic.held[q.Fingerprint]
	held = slices.DeleteFunc(held, func(id identifier.RequestID) bool { return id == q.Request })
	if len(held) == 0 {
		delete(s.traffic.held, q.Fingerprint)
		return
	}
	s.traffic.held[q.Fingerprint] = held
}

// probe sends the single probe of a query that got the permit, preferably to a
// service that lost a call with the fingerprint.
func (s *State) probe(e ProbeGranted) {
	q, ok := s.traffic.queries[e.Request]
	if !ok || !q.asked {
		s.emit(Send{To: e.Arbiter, Event: ProbeReturned{
			From: s.parameters.Host, Request: e.Request, Fingerprint: e.Fingerprint,
		}})
		return
	}
	q.granted = true
	if !q.probing {
		s.unparkOne(q)
	}
	s.finishIfSettled(q)
}

// unparkOne starts parked shards, those of a touched service first, until one is in flight.
func (s *State) unparkOne(q *query) {
	for _, touched := range []bool{true, false} {
		for i := range q.shards {
			if q.probing || !q.granted {
				return
			}
			id := q.plan.Shards[i].Service
			if q.shards[i].parked && s.suspects.Touched(q.Fingerprint, id) == touched {
				s.unpark(q, i)
			}
		}
	}
}

func (s *State) unpark(q *query, index int) {
	q.shards[index].parked = false
	q.parked--
	s.start(q, index)
}

// retrySuspect handles an attempt that its owner held back. A probe tries again
// later; anything else waits for the request to be cleared.
func (s *State) retrySuspect(q *query, a *attempt) {
	if a.purpose == probing {
		s.retry(q, a, notRunFree)
		return
	}
	sh := &q.shards[a.shard]
	if sh.open > 0 || sh.parked || sh.waiting || q.coverage.Covered(a.shard) {
		return
	}
	if s.standing(q.Fingerprint) == quarantiner.Clear {
		s.suspects.Suspect(s.now, q.Fingerprint, q.plan.Shards[a.shard].Service)
	}
	s.start(q, a.shard)
	s.finishIfQuarantined(q)
}

// finishIfQuarantined ends a query that can get no further because of its quarantine.
func (s *State) finishIfQuarantined(q *query) {
	if s.standing(q.Fingerprint) == quarantiner.Quarantined {
		s.finishIfSettled(q)
	}
}

// clearSuspect tells all hosts that a probe of the request was served.
func (s *State) clearSuspect(q *query) {
	s.tellStates(FingerprintCleared{Fingerprint: q.Fingerprint})
	s.releaseHeld(q.Fingerprint)
}

// releaseHeld clears a fingerprint and starts the shards that waited for it.
func (s *State) releaseHeld(f identifier.Fingerprint) {
	s.suspects.Clear(s.now, f)
	held := s.traffic.held[f]
	delete(s.traffic.held, f)
	for _, id := range held {
		q := s.traffic.queries[id]
		q.asked = false
		q.granted = false
		for i := range q.shards {
			if q.shards[i].parked {
				s.unpark(q, i)
			}
		}
		s.armHedges(q)
		s.finishIfSettled(q)
	}
}

// failHeld ends the queries that wait for a fingerprint that is now quarantined.
func (s *State) failHeld(f identifier.Fingerprint) {
	for _, id := range slices.Clone(s.traffic.held[f]) {
		q := s.traffic.queries[id]
		if q.open == 0 {
			s.finish(q, Quarantined)
			continue
		}
		q.parked = 0
		for i := range q.shards {
			q.shards[i].parked = false
		}
	}
}

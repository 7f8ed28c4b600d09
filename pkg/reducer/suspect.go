package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// ProbeGranted permits a query with a suspect fingerprint to send a single probe.
type ProbeGranted struct {
	queryEvent
	Request     identifier.RequestID   `msgpack:"r"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// Arbiter is the host that granted the permit.
	Arbiter identifier.HostID `msgpack:"a"`
}

// Key returns the request that asked for the permit.
func (e ProbeGranted) Key() identifier.RequestID { return e.Request }

// fingerprintStatus returns the quarantine status of a fingerprint. Requests without a
// fingerprint are clear.
func (s *State) fingerprintStatus(f identifier.Fingerprint) quarantiner.Status {
	if f == 0 {
		return quarantiner.Clear
	}
	return s.quarantiner.Status(s.now, f)
}

func (s *State) isSuspect(f identifier.Fingerprint) bool {
	return s.fingerprintStatus(f) != quarantiner.Clear
}

// quarantineFailure returns the failure of a quarantined request that did not run.
func (s *State) quarantineFailure(f identifier.Fingerprint) *Failed {
	return &Failed{
		Kind:       Quarantined,
		Ran:        RanNo,
		RetryAfter: s.quarantiner.QuarantineEnd(f).Since(s.now),
		Message:    Quarantined.message(),
	}
}

// reportSuspect notifies all hosts that the call of an attempt was lost, before its server is
// known to have crashed. Until the request is cleared it may run only as a probe.
func (s *State) reportSuspect(q *query, a *queryAttempt) {
	if q.Fingerprint == 0 {
		return
	}
	id := q.plan.Shards[a.shard].Service
	s.quarantiner.RecordLostCall(s.now, q.Fingerprint, id)
	s.notifyStates(FingerprintSuspected{Fingerprint: q.Fingerprint, Service: id, Probe: a.purpose == purposeProbe})
	if a.purpose == purposeProbe {
		q.permitGranted = false
		s.requestPermit(q)
	}
}

// notifyStates sends a process event to the states of every host. In a fleet, control hosts relay
// the event.
func (s *State) notifyStates(e ProcessEvent) {
	s.emit(Send{To: s.parameters.Host, Event: e})
	switch s.parameters.Duty.(type) {
	case EntryDuty:
		if id := s.controlHost(); id != "" {
			s.emit(Send{To: id, Event: e})
		}
	case ControlDuty:
	default:
		s.sendToPeers(e)
	}
}

// parkShard parks a shard until the request is cleared or may be probed.
func (s *State) parkShard(q *query, index int) {
	q.shards[index].parked = true
	q.parkedShards++
	if !q.permitRequested {
		s.requestPermit(q)
	}
}

// requestPermit asks the arbiter of the fingerprint for a permit to probe.
func (s *State) requestPermit(q *query) {
	q.permitRequested = true
	q.arbiter = s.arbiterOf(q.Fingerprint)
	if !slices.Contains(s.traffic.parkedQueries[q.Fingerprint], q.Request) {
		s.traffic.parkedQueries[q.Fingerprint] = append(s.traffic.parkedQueries[q.Fingerprint], q.Request)
	}
	s.emit(Send{To: q.arbiter, Event: ProbeAsked{
		From:        s.parameters.Host,
		Request:     q.Request,
		Fingerprint: q.Fingerprint,
		Remaining:   q.deadline.Since(s.now),
	}})
}

// repeatPermitRequests repeats the permit requests of queries whose arbiter is gone.
func (s *State) repeatPermitRequests(gone func(arbiter identifier.HostID) bool) {
	for _, f := range sortedKeys(s.traffic.parkedQueries) {
		for _, id := range s.traffic.parkedQueries[f] {
			if q := s.traffic.queries[id]; !q.permitGranted && gone(q.arbiter) {
				s.requestPermit(q)
			}
		}
	}
}

// returnPermit releases the query's permit or cancels its request for one.
func (s *State) returnPermit(q *query) {
	if !q.permitRequested {
		return
	}
	q.permitRequested = false
	q.permitGranted = false
	s.removeParked(q)
	s.emit(Send{To: q.arbiter, Event: ProbeReturned{
		From:        s.parameters.Host,
		Request:     q.Request,
		Fingerprint: q.Fingerprint,
	}})
}

func (s *State) removeParked(q *query) {
	parked := s.traffic.parkedQueries[q.Fingerprint]
	parked = slices.DeleteFunc(parked, func(id identifier.RequestID) bool { return id == q.Request })
	if len(parked) == 0 {
		delete(s.traffic.parkedQueries, q.Fingerprint)
		return
	}
	s.traffic.parkedQueries[q.Fingerprint] = parked
}

// sendProbe sends the single probe of a query that was granted the permit, preferably to
// a service to which a call with the fingerprint was lost.
func (s *State) sendProbe(e ProbeGranted) {
	q, ok := s.traffic.queries[e.Request]
	if !ok || !q.permitRequested {
		s.emit(Send{To: e.Arbiter, Event: ProbeReturned{
			From: s.parameters.Host, Request: e.Request, Fingerprint: e.Fingerprint,
		}})
		return
	}
	q.permitGranted = true
	if !q.probeInFlight {
		s.unparkForProbe(q)
	}
	s.finishIfDone(q)
}

// unparkForProbe starts parked shards until a probe is in flight, first those of services to which
// a call with the fingerprint was lost.
func (s *State) unparkForProbe(q *query) {
	for _, hadLoss := range []bool{true, false} {
		for i := range q.shards {
			if q.probeInFlight || !q.permitGranted {
				return
			}
			id := q.plan.Shards[i].Service
			if q.shards[i].parked && s.quarantiner.HasLostCall(q.Fingerprint, id) == hadLoss {
				s.unparkShard(q, i)
			}
		}
	}
}

func (s *State) unparkShard(q *query, index int) {
	q.shards[index].parked = false
	q.parkedShards--
	s.startShard(q, index)
}

// retrySuspect handles an attempt that its owner refused as suspect. A probe is retried later;
// the shard of any other attempt is parked unless the query may probe.
func (s *State) retrySuspect(q *query, a *queryAttempt) {
	if a.purpose == purposeProbe {
		s.retry(q, a, notRunFree)
		return
	}
	sh := &q.shards[a.shard]
	if sh.openAttempts > 0 || sh.parked || sh.waitingForRetry || q.coverage.Covered(a.shard) {
		return
	}
	if s.fingerprintStatus(q.Fingerprint) == quarantiner.Clear {
		s.quarantiner.RecordLostCall(s.now, q.Fingerprint, q.plan.Shards[a.shard].Service)
	}
	s.startShard(q, a.shard)
	s.finishIfQuarantined(q)
}

// finishIfQuarantined ends a quarantined query that has nothing left to wait for.
func (s *State) finishIfQuarantined(q *query) {
	if s.fingerprintStatus(q.Fingerprint) == quarantiner.Quarantined {
		s.finishIfDone(q)
	}
}

// clearSuspect notifies all hosts that a probe of the request was served.
func (s *State) clearSuspect(q *query) {
	s.notifyCleared(q.Fingerprint)
	s.releaseParked(q.Fingerprint)
}

// releaseParked clears a fingerprint and starts the shards parked for it.
func (s *State) releaseParked(f identifier.Fingerprint) {
	s.quarantiner.Clear(s.now, f)
	parked := s.traffic.parkedQueries[f]
	delete(s.traffic.parkedQueries, f)
	for _, id := range parked {
		q := s.traffic.queries[id]
		q.permitRequested = false
		q.permitGranted = false
		for i := range q.shards {
			if q.shards[i].parked {
				s.unparkShard(q, i)
			}
		}
		s.scheduleHedges(q)
		s.finishIfDone(q)
	}
}

// failParked ends the parked queries of a quarantined fingerprint. Those with an attempt in flight
// continue without their parked shards.
func (s *State) failParked(f identifier.Fingerprint) {
	for _, id := range slices.Clone(s.traffic.parkedQueries[f]) {
		q := s.traffic.queries[id]
		if q.openAttempts == 0 {
			s.finishQuery(q, Quarantined)
			continue
		}
		q.parkedShards = 0
		for i := range q.shards {
			q.shards[i].parked = false
		}
	}
}

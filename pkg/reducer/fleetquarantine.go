package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// suspectLosses is the number of attempts of one request whose servers closed the connection, while
// no server has answered, from which the request is taken to crash servers. One crash loses the
// attempts of all requests that run on the server, but at most one of each request to a service.
const suspectLosses = 2

// maxReportedLosses limits the lost calls that are reported of one request, which may have lost one to
// each of many shards. Two crashes, one of them of a probe, quarantine it.
const maxReportedLosses = 3

// maxKeptLosses limits the lost calls to one server that are kept in case it has crashed: more than the
// requests that a crash loses at one host, and little to check at each change of the server list.
const maxKeptLosses = 8

// inFleet reports whether this host belongs to a fleet.
func (s *State) inFleet() bool {
	switch s.parameters.Duty.(type) {
	case EntryDuty, ControlDuty:
		return true
	}
	return false
}

// controlHost returns the control host that this entry host subscribes to; empty if there is none.
func (s *State) controlHost() identifier.HostID {
	if s.isControl() {
		return s.control.serverList.subscribedTo
	}
	if fleet := s.traffic.view.Fleet; fleet != nil {
		return fleet.ControlHost
	}
	return ""
}

// RelayStage is how far a quarantine event has come in a fleet.
type RelayStage uint8

// The stages of a quarantine event.
const (
	// Reported events come from the host that has seen what they report.
	Reported RelayStage = iota
	// Forwarded events come from the control host that got the report, for the one that collects the
	// reports about the fingerprint.
	Forwarded
	// Announced events are for all hosts.
	Announced
)

// reportReceipt is what a state does with a quarantine event that it receives.
type reportReceipt uint8

const (
	// reportRecorded events are recorded only.
	reportRecorded reportReceipt = iota
	// reportForwarded events are sent to the control host that collects the reports.
	reportForwarded
	// reportCollected events are recorded, and announced to all hosts once they must know.
	reportCollected
	// reportPassedOn events are recorded and sent to the subscribers of this control host.
	reportPassedOn
)

// receiveReport returns what this state does with a quarantine event. Only the control states of
// control hosts relay such events.
func (s *State) receiveReport(f identifier.Fingerprint, stage RelayStage) reportReceipt {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok || !s.isControl() {
		return reportRecorded
	}
	switch {
	case stage == Announced:
		return reportPassedOn
	case stage == Reported && s.collectorOf(f) != s.parameters.Host:
		return reportForwarded
	}
	return reportCollected
}

// collectorOf returns the control host that collects the reports about a fingerprint, so that two
// reports of the same request meet.
func (s *State) collectorOf(f identifier.Fingerprint) identifier.HostID {
	key := identifier.ServerID(strconv.FormatUint(uint64(f), 16))
	if id, ok := router.Owner(key, "", s.control.liveHosts()); ok {
		return id
	}
	return s.parameters.Host
}

// relayEvent is a quarantine event that was recorded, with the event to relay for it.
type relayEvent struct {
	fingerprint identifier.Fingerprint
	stage       RelayStage
	receipt     reportReceipt
	announced   ProcessEvent
	// sharedBefore is set if all hosts had to know the records before, and known if the event adds
	// nothing to them.
	sharedBefore, known bool
}

// relay passes an event on to the hosts that must know of it.
func (s *State) relay(e relayEvent) {
	if e.stage == Announced {
		s.quarantiner.MarkShared(e.fingerprint)
	}
	switch e.receipt {
	case reportPassedOn:
		if !e.known {
			s.sendToSubscribers(e.announced)
		}
	case reportCollected:
		// What is known already may still be the second report.
		if !e.known || !e.sharedBefore {
			s.announce(e)
		}
	}
}

// announce sends an event to all hosts if they must know the records of its fingerprint, together with
// the earlier records if they didn't have to before.
func (s *State) announce(e relayEvent) {
	if !s.quarantiner.Shared(s.now, e.fingerprint) {
		return
	}
	s.quarantiner.MarkShared(e.fingerprint)
	if e.sharedBefore {
		s.sendToPeers(e.announced)
		s.sendToSubscribers(e.announced)
		return
	}
	s.visitRecords(func(f identifier.Fingerprint, record ProcessEvent) {
		if f == e.fingerprint {
			s.sendToPeers(record)
			s.sendToSubscribers(record)
		}
	})
	if suspected, ok := e.announced.(FingerprintSuspected); ok && suspected.Probe {
		// Records don't tell of lost probes.
		s.sendToPeers(suspected)
		s.sendToSubscribers(suspected)
	}
}

// sendToSubscribers sends an event to the entry hosts that subscribe to this control host.
func (s *State) sendToSubscribers(e Event) {
	for _, id := range sortedKeys(s.control.serverList.pollers) {
		if s.control.serverList.pollers[id].subscribed {
			s.emit(Send{To: id, Event: e})
		}
	}
}

// listCrashes returns the recorded crashes that all hosts must know.
func (s *State) listCrashes() []FingerprintCrashed {
	var crashes []FingerprintCrashed
	s.visitRecords(func(_ identifier.Fingerprint, e ProcessEvent) {
		if c, ok := e.(FingerprintCrashed); ok {
			crashes = append(crashes, c)
		}
	})
	return crashes
}

// refusedUntil returns the instant until which requests with the fingerprint are refused, and
// whether they are refused now.
func (s *State) refusedUntil(f identifier.Fingerprint) (identifier.Instant, bool) {
	if !s.isSuspect(f) {
		return 0, false
	}
	until := s.quarantiner.RefusedUntil(f)
	return until, until > s.now
}

// recordLostExchange records an attempt whose server closed the connection.
func (s *State) recordLostExchange(q *request, a *requestAttempt) {
	q.losses++
	q.lostCalls = append(q.lostCalls, s.newLostCall(q, a))
	if q.probing {
		s.abandonPieces(q)
	}
}

// abandonPieces gives up the pieces of a request whose probe was lost.
func (s *State) abandonPieces(q *request) {
	for i := range q.pieces {
		s.finishPiece(q, i)
	}
}

// recordServed records that a server has answered an attempt, which shows that the request does not
// crash servers.
func (s *State) recordServed(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	q.probing = false
	if q.Fingerprint != 0 && s.isSuspect(q.Fingerprint) {
		s.notifyCleared(q.Fingerprint)
	}
}

// reportLosses reports a request that ends without an answer after servers have closed the
// connections of its attempts, or whose probe had none by the deadline. The attempts still in flight become evidence if
// their server restarts: a host that crashes may leave its connections open.
func (s *State) reportLosses(q *request) {
	if q.Fingerprint == 0 || q.answered {
		return
	}
	// A probe is the last attempt of a request.
	lost := q.lostCalls[max(0, len(q.lostCalls)-maxReportedLosses):]
	if len(lost) > 0 {
		last := lost[len(lost)-1].crash
		s.notifyStates(FingerprintSuspected{Fingerprint: q.Fingerprint, Service: last.Service, Probe: last.Probe})
	}
	for _, a := range q.attempts {
		if a.open && q.probing && len(lost) == 0 && s.now >= q.deadline {
			s.notifyStates(FingerprintSuspected{Fingerprint: q.Fingerprint, Service: a.service, Probe: true})
		}
		if a.open && len(lost) < maxReportedLosses {
			lost = append(lost, s.newLostCall(q, a))
		}
	}
	for _, l := range lost {
		s.keepLostCall(l)
	}
}

// keepLostCall keeps a lost call until its server is known to have crashed, or reports the crash if it
// has. The oldest calls to the server give way.
func (s *State) keepLostCall(l lostCall) {
	if s.hasEnded(l) {
		s.notifyStates(FingerprintCrashed{Fingerprint: l.fingerprint, Crash: l.crash})
		return
	}
	kept := append(s.traffic.lostCalls[l.crash.Server], l)
	s.traffic.lostCalls[l.crash.Server] = kept[max(0, len(kept)-maxKeptLosses):]
}

// newLostCall returns the lost call of an attempt that ends now.
func (s *State) newLostCall(q *request, a *requestAttempt) lostCall {
	l := lostCall{fingerprint: q.Fingerprint, crash: quarantiner.Crash{
		Server: a.server, Service: a.service, Probe: q.probing, At: s.now,
	}}
	if b, ok := s.backend(a.service, a.server); ok {
		l.crash.Incarnation, l.silent = b.Incarnation, b.Silent
	}
	return l
}

// holdsBack reports whether a request must not send an attempt now: it may crash servers, and an
// earlier attempt may still show that it doesn't.
func (s *State) holdsBack(q *request) bool {
	if q.Fingerprint == 0 || q.answered || (!q.probing && q.losses < suspectLosses) {
		return false
	}
	return !q.probing || q.openAttempts() > 0
}

// mayCrashServers reports whether servers have closed the connections of a request's attempts and
// none has answered.
func (q *request) mayCrashServers() bool {
	return q.losses > 0 && !q.answered
}

// openAttempts returns the number of attempts in flight, including those of delegates.
func (q *request) openAttempts() int {
	open := 0
	for i := range q.pieces {
		open += q.pieces[i].openAttempts
	}
	return open
}

// resumePieces dispatches the pieces that were held back, or one of them as a probe when no attempt
// is in flight that may be answered.
func (s *State) resumePieces(q *request) {
	if s.holdsBack(q) {
		if q.openAttempts() > 0 {
			return
		}
		q.probing = true
	}
	for i := range q.pieces {
		p := &q.pieces[i]
		if !p.finished && p.openAttempts == 0 && p.retryAt == identifier.Never && !s.holdsBack(q) {
			s.dispatchPiece(q, i)
		}
	}
}

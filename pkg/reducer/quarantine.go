package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// CrashRepeatInterval is the interval at which crash reports are repeated, for hosts that
// have started or were partitioned.
const CrashRepeatInterval = 5 * identifier.Second

// Process events about requests that crash backend servers. They are sent to every state
// of every host.
type (
	// FingerprintSuspected reports a lost call with the fingerprint.
	FingerprintSuspected struct {
		processEvent
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		Service     identifier.ServiceID   `msgpack:"s"`
		// Probe is set when the call was a single probe.
		Probe bool `msgpack:"p"`
		// Stage is how far the event has come in a fleet.
		Stage RelayStage `msgpack:"y"`
	}
	// FingerprintCrashed reports that a server crashed after a call to it with the fingerprint was
	// lost.
	FingerprintCrashed struct {
		processEvent
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		Crash       quarantiner.Crash      `msgpack:"c"`
		// Age is the time since the call was lost, in microseconds. The receiver uses it instead
		// of the crash's instant, which was read from another host's clock.
		Age identifier.Micros `msgpack:"a"`
		// Stage is how far the event has come in a fleet.
		Stage RelayStage `msgpack:"y"`
	}
	// FingerprintCleared reports that a probe was served, or that an operator released the
	// fingerprint.
	FingerprintCleared struct {
		processEvent
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		// Stage is how far the event has come in a fleet.
		Stage RelayStage `msgpack:"y"`
		// Based is set if the event concerns only Crashes, which the sender knew. It is not set by hosts of older
		// versions, whose events concern all crashes.
		Based   bool                `msgpack:"b"`
		Crashes []quarantiner.Crash `msgpack:"c"`
	}
)

// Quarantine events.
type (
	// ProbeAsked asks the arbiter of a fingerprint for a permit to probe.
	ProbeAsked struct {
		quarantineEvent
		From        identifier.HostID      `msgpack:"o"`
		Request     identifier.RequestID   `msgpack:"r"`
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		// Remaining is the time left to the query's deadline, in microseconds.
		Remaining identifier.Micros `msgpack:"m"`
	}
	// ProbeReturned releases a permit or cancels the request for one.
	ProbeReturned struct {
		quarantineEvent
		From        identifier.HostID      `msgpack:"o"`
		Request     identifier.RequestID   `msgpack:"r"`
		Fingerprint identifier.Fingerprint `msgpack:"f"`
	}
)

// QuarantineReleased is an operator's command that a request may run again. ReplyOperator follows if Ticket is set; a
// release without one has no sender that could give up.
type QuarantineReleased struct {
	quarantineEvent
	Ticket      Ticket
	Fingerprint identifier.Fingerprint
	// Age is the most by which the command is older than this event, by the clock of the host.
	Age identifier.Micros
}

// QuarantineChanged answers a release that was overtaken by another crash.
type QuarantineChanged struct{}

func (QuarantineChanged) isAnswer() {}

// releaseOrder is a release with the end of the quarantine that it is about.
type releaseOrder struct {
	release QuarantineReleased
	end     identifier.Instant
}

func (releaseOrder) isOrder() {}

// releaseQuarantine ends the quarantine that was known when the release was received, if the sender still waits. Each crash
// moves the end of a quarantine, so a release doesn't concern a later one.
func (s *State) releaseQuarantine(o releaseOrder, waiting bool) {
	var answer Answer = Committed{}
	switch {
	case !waiting:
		answer = LeaderMissing{}
	case o.end != s.quarantiner.QuarantineEnd(o.release.Fingerprint):
		answer = QuarantineChanged{}
	default:
		s.notifyCleared(o.release.Fingerprint)
	}
	s.emit(ReplyOperator{Ticket: o.release.Ticket, Reply: answer, Control: s.controlStatus()})
}

func (s *State) reduceQuarantine(event QuarantineEvent) {
	switch e := event.(type) {
	case ProbeAsked:
		s.grantProbe(e)
	case QuarantineReleased:
		if e.Ticket == 0 {
			s.notifyCleared(e.Fingerprint)
			return
		}
		if from := s.sentFrom(e.Age); !s.isProven(from) {
			s.refuseUnproven(e.Ticket, "release of a request", from)
			return
		}
		s.confirmCaller(e.Ticket, releaseOrder{e, s.quarantiner.QuarantineEnd(e.Fingerprint)})
	case ProbeReturned:
		requester := quarantiner.Requester{Host: e.From, Request: e.Request}
		if next, ok := s.control.arbiter.Release(s.now, e.Fingerprint, requester); ok {
			s.sendPermit(e.Fingerprint, next)
		}
	}
}

// arbiterOf returns the live host that grants the permits for a fingerprint. During a
// network partition there is one arbiter on each side.
func (s *State) arbiterOf(f identifier.Fingerprint) identifier.HostID {
	key := identifier.ServerID(strconv.FormatUint(uint64(f), 16))
	arbiter, ok := router.Owner(key, "", s.traffic.view.Hosts)
	if !ok {
		return s.parameters.Host
	}
	return arbiter
}

// grantProbe grants the permit to the requester, or queues the requester while another one holds
// it. It ignores requests for a quarantined fingerprint.
func (s *State) grantProbe(e ProbeAsked) {
	requester := quarantiner.Requester{Host: e.From, Request: e.Request, Remaining: e.Remaining}
	if s.quarantiner.Status(s.now, e.Fingerprint) == quarantiner.Quarantined {
		return
	}
	if s.control.arbiter.Acquire(s.now, e.Fingerprint, requester) {
		s.sendPermit(e.Fingerprint, requester)
	}
}

func (s *State) sendPermit(f identifier.Fingerprint, requester quarantiner.Requester) {
	s.emit(Send{To: requester.Host, Event: ProbeGranted{
		Request: requester.Request, Fingerprint: f, Arbiter: s.parameters.Host,
	}})
	s.schedule(s.control.arbiter.PermitEnd(f), permitDue{f})
}

// grantNextPermit grants a permit that has expired to the next requester.
func (s *State) grantNextPermit(f identifier.Fingerprint) {
	if next, ok := s.control.arbiter.GrantNext(s.now, f); ok {
		s.sendPermit(f, next)
	}
}

// fingerprintField returns the log field of a fingerprint.
func fingerprintField(f identifier.Fingerprint) Field {
	return Field{"fingerprint", strconv.FormatUint(uint64(f), 16)}
}

// isControl reports whether this is the control state of its host.
func (s *State) isControl() bool {
	return s.control.self.ID != ""
}

// receiveSuspicion records a lost call. After a lost probe it blocks permits for as long as it
// may take to detect a crash.
func (s *State) receiveSuspicion(e FingerprintSuspected) {
	r := s.receiveReport(e.Fingerprint, e.Stage)
	if r == reportForwarded {
		e.Stage = Forwarded
		s.emit(Send{To: s.collectorOf(e.Fingerprint), Event: e})
		return
	}
	known := s.isSuspect(e.Fingerprint) && s.quarantiner.HasLostCall(e.Fingerprint, e.Service) && !e.Probe
	relayed := relayEvent{
		fingerprint: e.Fingerprint, stage: e.Stage, receipt: r,
		sharedBefore: s.quarantiner.Shared(s.now, e.Fingerprint), known: known,
	}
	e.Stage = Announced
	relayed.announced = e
	defer func() { s.relay(relayed) }()
	s.quarantiner.RecordLostCall(s.now, e.Fingerprint, e.Service)
	switch {
	case e.Probe && s.inFleet():
		s.quarantiner.BlockProbes(s.now, e.Fingerprint)
	case e.Probe && s.isControl():
		s.control.arbiter.Block(s.now, e.Fingerprint)
		s.schedule(s.control.arbiter.PermitEnd(e.Fingerprint), permitDue{e.Fingerprint})
	}
}

// receiveCrash records a crash. If the crash quarantines the fingerprint, the queries parked for
// it end unless they have an attempt in flight.
func (s *State) receiveCrash(e FingerprintCrashed) {
	c := e.Crash
	c.At = s.now.Add(-e.Age)
	r := s.receiveReport(e.Fingerprint, e.Stage)
	if r == reportForwarded {
		e.Stage = Forwarded
		s.emit(Send{To: s.collectorOf(e.Fingerprint), Event: e})
		return
	}
	known := s.quarantiner.HasCrash(e.Fingerprint, c)
	relayed := relayEvent{
		fingerprint: e.Fingerprint, stage: e.Stage, receipt: r,
		sharedBefore: s.quarantiner.Shared(s.now, e.Fingerprint), known: known,
	}
	e.Stage = Announced
	relayed.announced = e
	defer func() { s.relay(relayed) }()
	before := s.fingerprintStatus(e.Fingerprint)
	if !s.quarantiner.RecordCrash(s.now, e.Fingerprint, c) {
		return
	}
	s.control.arbiter.Remove(e.Fingerprint)
	s.failParked(e.Fingerprint)
	if before == quarantiner.Quarantined || !s.isControl() {
		return
	}
	s.log(QuarantineSubsystem, Warn, "request is quarantined",
		fingerprintField(e.Fingerprint),
		Field{"server", string(c.Server)})
}

func (s *State) receiveCleared(e FingerprintCleared) {
	r := s.receiveReport(e.Fingerprint, e.Stage)
	if r == reportForwarded {
		e.Stage = Forwarded
		s.emit(Send{To: s.collectorOf(e.Fingerprint), Event: e})
		return
	}
	relayed := relayEvent{fingerprint: e.Fingerprint, stage: e.Stage, receipt: r, sharedBefore: true}
	e.Stage = Announced
	relayed.announced = e
	s.relay(relayed)
	if e.Based && !s.quarantiner.ClearCrashes(s.now, e.Fingerprint, e.Crashes) {
		return
	}
	s.control.arbiter.Remove(e.Fingerprint)
	s.releaseParked(e.Fingerprint)
}

// notifyCleared notifies all hosts that the crashes that this state knows no longer count. A link may hold the event
// back, so it doesn't concern others.
func (s *State) notifyCleared(f identifier.Fingerprint) {
	s.notifyStates(FingerprintCleared{Fingerprint: f, Based: true, Crashes: s.quarantiner.Crashes(f)})
}

// syncCrashes sends the suspect fingerprints and their crashes to a host that may have just
// started, before callers send those requests there again.
func (s *State) syncCrashes(host identifier.HostID, known bool) {
	if known && !s.control.crashSyncPending[host] {
		return
	}
	delete(s.control.crashSyncPending, host)
	s.sendCrashes(host)
}

// sendCrashes sends a host the suspect fingerprints and their crashes.
func (s *State) sendCrashes(host identifier.HostID) {
	s.visitRecords(func(_ identifier.Fingerprint, e ProcessEvent) { s.emit(Send{To: host, Event: e}) })
}

// visitRecords calls visit with an event for each record that another host must know: in a fleet, those
// that all hosts must know.
func (s *State) visitRecords(visit func(identifier.Fingerprint, ProcessEvent)) {
	stage := Reported
	if s.inFleet() {
		stage = Announced
	}
	withheld := func(f identifier.Fingerprint) bool { return s.inFleet() && !s.quarantiner.Shared(s.now, f) }
	s.quarantiner.VisitServices(s.now, func(f identifier.Fingerprint, id identifier.ServiceID) {
		if !withheld(f) {
			visit(f, FingerprintSuspected{Fingerprint: f, Service: id, Stage: stage})
		}
	})
	s.quarantiner.VisitCrashes(s.now, func(f identifier.Fingerprint, c quarantiner.Crash) {
		if !withheld(f) {
			visit(f, FingerprintCrashed{Fingerprint: f, Crash: c, Age: s.now.Since(c.At), Stage: stage})
		}
	})
}

// repeatCrashes sends the other hosts the crashes of the fingerprints that this host arbitrates. A
// control host of a fleet sends all crashes to its subscribers.
func (s *State) repeatCrashes() {
	s.schedule(s.now.Add(CrashRepeatInterval), crashRepeatDue{})
	if s.inFleet() {
		for _, e := range s.listCrashes() {
			s.sendToSubscribers(e)
		}
		return
	}
	hosts := s.control.liveHosts()
	s.quarantiner.VisitCrashes(s.now, func(f identifier.Fingerprint, c quarantiner.Crash) {
		key := identifier.ServerID(strconv.FormatUint(uint64(f), 16))
		if arbiter, _ := router.Owner(key, "", hosts); arbiter == s.parameters.Host {
			s.sendToPeers(FingerprintCrashed{Fingerprint: f, Crash: c, Age: s.now.Since(c.At)})
		}
	})
}

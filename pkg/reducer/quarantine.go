package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// CrashNewsInterval separates the repeats of what crashed servers, for hosts that
// have started or were cut off.
const CrashNewsInterval = 5 * identifier.Second

// Process events about requests that crash backend servers; every state of every
// host receives them.
type (
	// FingerprintSuspected reports a call that was lost with the fingerprint.
	FingerprintSuspected struct {
		processEvent
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		Service     identifier.ServiceID   `msgpack:"s"`
		// Probe is set when the call was a single probe.
		Probe bool `msgpack:"p"`
	}
	// FingerprintCrashed reports a server that crashed after it lost a call with the fingerprint.
	FingerprintCrashed struct {
		processEvent
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		Crash       quarantiner.Crash      `msgpack:"c"`
		// Age is the time since the call was lost, in microseconds; it replaces the
		// instant of the crash, which is of another host's clock.
		Age identifier.Micros `msgpack:"a"`
	}
	// FingerprintCleared reports that a probe was served, or that an operator released the fingerprint.
	FingerprintCleared struct {
		processEvent
		Fingerprint identifier.Fingerprint `msgpack:"f"`
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
	// ProbeReturned gives up a permit, or the wait for one.
	ProbeReturned struct {
		quarantineEvent
		From        identifier.HostID      `msgpack:"o"`
		Request     identifier.RequestID   `msgpack:"r"`
		Fingerprint identifier.Fingerprint `msgpack:"f"`
	}
)

// QuarantineReleased is an operator's word that a request may run again.
type QuarantineReleased struct {
	quarantineEvent
	Fingerprint identifier.Fingerprint
}

func (s *State) reduceQuarantine(event QuarantineEvent) {
	switch e := event.(type) {
	case ProbeAsked:
		s.grantProbe(e)
	case QuarantineReleased:
		s.tellStates(FingerprintCleared{Fingerprint: e.Fingerprint})
	case ProbeReturned:
		asker := quarantiner.Asker{Host: e.From, Request: e.Request}
		if next, ok := s.control.arbiter.Return(s.now, e.Fingerprint, asker); ok {
			s.sendPermit(e.Fingerprint, next)
		}
	}
}

// arbiterOf returns the live host that hands out the permits for a fingerprint.
// Hosts that are cut off from each other have one arbiter on each side.
func (s *State) arbiterOf(f identifier.Fingerprint) identifier.HostID {
	key := identifier.ServerID(strconv.FormatUint(uint64(f), 16))
	arbiter, ok := router.Owner(key, "", s.traffic.view.Hosts)
	if !ok {
		return s.parameters.Host
	}
	return arbiter
}

// grantProbe gives the permit to the asker, or lets it wait for the one who has it.
func (s *State) grantProbe(e ProbeAsked) {
	asker := quarantiner.Asker{Host: e.From, Request: e.Request, Remaining: e.Remaining}
	if s.suspects.Standing(s.now, e.Fingerprint) == quarantiner.Quarantined {
		return
	}
	if s.control.arbiter.Ask(s.now, e.Fingerprint, asker) {
		s.sendPermit(e.Fingerprint, asker)
	}
}

func (s *State) sendPermit(f identifier.Fingerprint, asker quarantiner.Asker) {
	s.emit(Send{To: asker.Host, Event: ProbeGranted{
		Request: asker.Request, Fingerprint: f, Arbiter: s.parameters.Host,
	}})
	s.schedule(s.control.arbiter.Until(f), permitDue{f})
}

// passPermit hands on a permit that has ended.
func (s *State) passPermit(f identifier.Fingerprint) {
	if next, ok := s.control.arbiter.Next(s.now, f); ok {
		s.sendPermit(f, next)
	}
}

// isControl reports whether this is the control state of its host.
func (s *State) isControl() bool {
	return s.control.self.ID != ""
}

// hearSuspect takes in a lost call. After a lost probe nobody may probe until
// there was time to prove a crash.
func (s *State) hearSuspect(e FingerprintSuspected) {
	s.suspects.Suspect(s.now, e.Fingerprint, e.Service)
	if e.Probe && s.isControl() {
		s.control.arbiter.Block(s.now, e.Fingerprint)
		s.schedule(s.control.arbiter.Until(e.Fingerprint), permitDue{e.Fingerprint})
	}
}

// hearCrash takes in a crash; the one that quarantines the fingerprint ends the
// queries that wait for it.
func (s *State) hearCrash(e FingerprintCrashed) {
	c := e.Crash
	c.At = s.now.Add(-e.Age)
	if !s.suspects.Crash(s.now, e.Fingerprint, c) {
		return
	}
	s.control.arbiter.Forget(e.Fingerprint)
	s.failHeld(e.Fingerprint)
	s.log(QuarantineSubsystem, Warn, "request is quarantined",
		Field{"fingerprint", strconv.FormatUint(uint64(e.Fingerprint), 16)},
		Field{"server", string(c.Server)})
}

func (s *State) hearCleared(f identifier.Fingerprint) {
	s.control.arbiter.Forget(f)
	s.releaseHeld(f)
}

// syncCrashes tells a host that may have just started which requests are suspects, and
// of their crashes, before callers send them there again.
func (s *State) syncCrashes(host identifier.HostID, known bool) {
	if known && !s.control.unsynced[host] {
		return
	}
	delete(s.control.unsynced, host)
	s.suspects.Services(s.now, func(f identifier.Fingerprint, id identifier.ServiceID) {
		s.emit(Send{To: host, Event: FingerprintSuspected{Fingerprint: f, Service: id}})
	})
	s.suspects.Crashes(s.now, func(f identifier.Fingerprint, c quarantiner.Crash) {
		s.emit(Send{To: host, Event: FingerprintCrashed{Fingerprint: f, Crash: c, Age: s.now.Since(c.At)}})
	})
}

// repeatCrashes tells the other hosts of the crashes whose fingerprint this host is the arbiter of.
func (s *State) repeatCrashes() {
	hosts := s.control.liveHosts()
	s.suspects.Crashes(s.now, func(f identifier.Fingerprint, c quarantiner.Crash) {
		key := identifier.ServerID(strconv.FormatUint(uint64(f), 16))
		if arbiter, _ := router.Owner(key, "", hosts); arbiter == s.parameters.Host {
			s.tellHosts(FingerprintCrashed{Fingerprint: f, Crash: c, Age: s.now.Since(c.At)})
		}
	})
	s.schedule(s.now.Add(CrashNewsInterval), crashesDue{})
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// lostCall is a call that ended without an answer on a server that may have crashed.
type lostCall struct {
	fingerprint identifier.Fingerprint
	crash       quarantiner.Crash
	// silent is set when the server was silent already before the call was lost.
	silent bool
}

// mustHoldBack reports whether the owner of a server must not run a queued attempt. A suspect
// request runs only as a probe, and only one probe runs on a server at a time, so that a
// crash can be attributed to a request.
func (s *State) mustHoldBack(sv *ownedServer, j *job) bool {
	if !j.Payload.Probe {
		return s.isSuspect(j.Payload.Fingerprint)
	}
	if s.fingerprintStatus(j.Payload.Fingerprint) == quarantiner.Quarantined {
		return true
	}
	for _, c := range sv.inFlight {
		if c.job.Payload.Probe {
			return true
		}
	}
	return false
}

// recordLoss records, on the owner, a lost call that was neither cancelled nor past its deadline.
func (s *State) recordLoss(e CallLost) {
	sv, ok := s.traffic.owner.servers[e.Server]
	if !ok {
		return
	}
	c, ok := sv.inFlight[e.Attempt]
	if !ok || c.cancelled || c.job.Payload.Fingerprint == 0 || c.job.Deadline <= s.now {
		return
	}
	submitted := c.job.Payload
	server, known := s.traffic.view.Servers[e.Server]
	l := lostCall{
		fingerprint: submitted.Fingerprint,
		crash:       quarantiner.Crash{Server: e.Server, Probe: submitted.Probe, At: s.now},
	}
	if known {
		l.crash.Incarnation = server.Incarnation
		l.crash.Service = server.Service
	}
	s.traffic.lostCalls[e.Server] = append(s.traffic.lostCalls[e.Server], l)
	if !known {
		s.detectCrashes()
	}
}

// detectCrashes reports a crash for each lost call whose server has since restarted or lost its
// lease, and discards lost calls that are too old to serve as evidence.
func (s *State) detectCrashes() {
	limit := quarantiner.CrashConfirmationDuration
	if s.inFleet() {
		limit = quarantiner.ProbeBlockDuration
	}
	for _, id := range sortedKeys(s.traffic.lostCalls) {
		var unproven []lostCall
		for _, l := range s.traffic.lostCalls[id] {
			switch {
			case s.now.Since(l.crash.At) > limit:
			case s.hasEnded(l):
				s.notifyStates(FingerprintCrashed{Fingerprint: l.fingerprint, Crash: l.crash, Age: s.now.Since(l.crash.At)})
			default:
				unproven = append(unproven, l)
			}
		}
		if len(unproven) == 0 {
			delete(s.traffic.lostCalls, id)
			continue
		}
		s.traffic.lostCalls[id] = unproven
	}
}

// hasEnded reports whether the server of a lost call has restarted, lost its lease or left.
func (s *State) hasEnded(l lostCall) bool {
	if fleet := s.traffic.view.Fleet; fleet != nil {
		b, ok := s.backend(l.crash.Service, l.crash.Server)
		return !ok || b.Incarnation > l.crash.Incarnation || (b.Silent && !l.silent)
	}
	server, ok := s.traffic.view.Servers[l.crash.Server]
	return !ok || server.Incarnation > l.crash.Incarnation
}

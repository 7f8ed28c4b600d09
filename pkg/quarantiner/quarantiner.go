// Package quarantiner tracks requests that crash the backend servers that run them.
//
// A request is identified by its fingerprint. A lost call makes the fingerprint
// suspect: it may run only as a single probe, on one server at a time. A served
// probe clears it. Two crashes, at least one of them during a probe, quarantine it:
// every host refuses it until the quarantine ends, after which it is suspect again.
// Other requests that were in flight on a server that crashed become suspect too
// and are cleared by their own probes.
//
// The Quarantiner tracks the fingerprints that one state has records of. The Arbiter
// grants permits to probe, one at a time for each fingerprint. Hosts without an arbiter
// refuse the fingerprint for a while after a lost probe instead.
//
// # Usage
//
//	q := quarantiner.New()
//	q.RecordLostCall(now, fingerprint, "desk-1")
//	if q.Status(now, fingerprint) == quarantiner.Suspected {
//		acquirePermit()
//	}
package quarantiner

import (
	"maps"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Each duration starts at the latest event of its kind for the fingerprint.
const (
	// SuspicionDuration is how long a fingerprint stays suspect after a lost call without
	// a crash.
	SuspicionDuration = 30 * identifier.Second
	// CrashSuspicionDuration is how long a fingerprint stays suspect after a crash.
	CrashSuspicionDuration = 60 * identifier.Minute
	// QuarantineDuration is how long a quarantined fingerprint is refused after its latest
	// crash.
	QuarantineDuration = 10 * identifier.Minute
	// ProbeBlockDuration is how long after a lost probe BlockProbes refuses a fingerprint: a crashed
	// server restarts or loses its lease within this time, which confirms the crash.
	ProbeBlockDuration = 10 * identifier.Second
	// QuarantineThreshold is the number of crashes that quarantine a fingerprint.
	QuarantineThreshold = 2
	// sharingThreshold is the number of lost calls from which all hosts must know of them. Most
	// requests that lose calls don't come again.
	sharingThreshold = 2
	// sharingCrashes is the number of crashes from which all hosts must know of them without a lost call. A request is
	// hedged at two servers of a service, which may crash for another reason.
	sharingCrashes = 3
	// pruneSize is the number of entries at which expired ones are removed.
	pruneSize = 1024
)

// Status is the status of a fingerprint.
type Status uint8

// Status values of a fingerprint.
const (
	// Clear fingerprints run without restrictions.
	Clear Status = iota
	// Suspected fingerprints run only as single probes.
	Suspected
	// Quarantined fingerprints are refused.
	Quarantined
)

// Crash is a crash of a backend server while it ran a request.
type Crash struct {
	Server      identifier.ServerID
	Incarnation identifier.Incarnation
	Service     identifier.ServiceID
	// Probe is set when the request ran as a single probe.
	Probe bool
	At    identifier.Instant
}

// entry is the record of one fingerprint.
type entry struct {
	// services are those to which calls with the fingerprint were lost.
	services []identifier.ServiceID
	// lostCalls counts the lost calls.
	lostCalls        int
	crashes          []Crash
	suspectUntil     identifier.Instant
	quarantinedUntil identifier.Instant
	// probesBlockedUntil is when a probe may be sent again after one was lost.
	probesBlockedUntil identifier.Instant
	// shared is set once all hosts know the records.
	shared bool
	// clearedAt is when the fingerprint was last cleared. Earlier crashes are ignored.
	clearedAt identifier.Instant
}

// Quarantiner tracks the suspect fingerprints of one state. It is not safe for concurrent use.
type Quarantiner struct {
	entries map[identifier.Fingerprint]*entry
}

// New returns an empty Quarantiner.
func New() *Quarantiner {
	return &Quarantiner{entries: map[identifier.Fingerprint]*entry{}}
}

// Status returns the status of the fingerprint.
func (q *Quarantiner) Status(now identifier.Instant, f identifier.Fingerprint) Status {
	if len(q.entries) == 0 {
		return Clear
	}
	e, ok := q.entries[f]
	switch {
	case !ok || e.suspectUntil <= now:
		return Clear
	case e.quarantinedUntil > now:
		return Quarantined
	}
	return Suspected
}

// RecordLostCall records that a call to a server of the service was lost.
func (q *Quarantiner) RecordLostCall(now identifier.Instant, f identifier.Fingerprint, service identifier.ServiceID) {
	e := q.entry(now, f)
	e.suspectUntil = max(e.suspectUntil, now.Add(SuspicionDuration))
	e.lostCalls++
	e.addService(service)
}

// MarkShared records that all hosts know the records of the fingerprint.
func (q *Quarantiner) MarkShared(f identifier.Fingerprint) {
	if e, ok := q.entries[f]; ok {
		e.shared = true
	}
}

// Shared reports whether all hosts must know the records of the fingerprint: they do already, its calls were lost
// repeatedly, a probe was, or it ran on several servers that crashed.
func (q *Quarantiner) Shared(now identifier.Instant, f identifier.Fingerprint) bool {
	e, ok := q.entries[f]
	return ok && (e.shared || e.lostCalls >= sharingThreshold || e.probesBlockedUntil > now || e.crashesShared())
}

// crashesShared reports whether all hosts must know the crashes: one was during a probe, there are sharingCrashes, or
// they span several services.
func (e *entry) crashesShared() bool {
	return len(e.crashes) >= sharingCrashes || slices.ContainsFunc(e.crashes, func(c Crash) bool {
		return c.Probe || c.Service != e.crashes[0].Service
	})
}

// RecordCrash records that a server crashed while it ran a request. A crash that is already
// recorded, or that happened before the fingerprint was last cleared, is ignored. It reports
// whether the crash quarantined the fingerprint.
func (q *Quarantiner) RecordCrash(now identifier.Instant, f identifier.Fingerprint, c Crash) bool {
	if previous, ok := q.entries[f]; ok && c.At < previous.clearedAt {
		return false
	}
	e := q.entry(now, f)
	if slices.ContainsFunc(e.crashes, c.sameIncarnation) {
		return false
	}
	e.crashes = append(e.crashes, c)
	e.suspectUntil = max(e.suspectUntil, c.At.Add(CrashSuspicionDuration))
	e.addService(c.Service)
	if !e.crashesQuarantine() {
		return false
	}
	e.quarantinedUntil = max(e.quarantinedUntil, c.At.Add(QuarantineDuration))
	return e.quarantinedUntil > now
}

// crashesQuarantine reports whether the crashes are enough for a quarantine.
func (e *entry) crashesQuarantine() bool {
	return len(e.crashes) >= QuarantineThreshold && slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Probe })
}

// HasCrash reports whether the crash is recorded for the fingerprint.
func (q *Quarantiner) HasCrash(f identifier.Fingerprint, c Crash) bool {
	e, ok := q.entries[f]
	return ok && slices.ContainsFunc(e.crashes, c.sameIncarnation)
}

// BlockProbes refuses the fingerprint for ProbeBlockDuration after a lost probe.
func (q *Quarantiner) BlockProbes(now identifier.Instant, f identifier.Fingerprint) {
	e := q.entry(now, f)
	e.probesBlockedUntil = now.Add(ProbeBlockDuration)
	e.suspectUntil = max(e.suspectUntil, now.Add(SuspicionDuration))
}

// RefusedUntil returns the instant until which the fingerprint must not run at all: the end of
// its quarantine or of the block after a lost probe, whichever is later; 0 if it has neither.
func (q *Quarantiner) RefusedUntil(f identifier.Fingerprint) identifier.Instant {
	if e, ok := q.entries[f]; ok {
		return max(e.quarantinedUntil, e.probesBlockedUntil)
	}
	return 0
}

func (c Crash) sameIncarnation(other Crash) bool {
	return c.Server == other.Server && c.Incarnation == other.Incarnation
}

func (e *entry) addService(service identifier.ServiceID) {
	if !slices.Contains(e.services, service) {
		e.services = append(e.services, service)
	}
}

// Clear removes the suspicion, the crashes and the quarantine of the fingerprint, because
// a probe was served or an operator released it. The entry stays, so that reports of
// earlier crashes that arrive later are ignored.
func (q *Quarantiner) Clear(now identifier.Instant, f identifier.Fingerprint) {
	if _, ok := q.entries[f]; ok {
		q.entries[f] = &entry{clearedAt: now}
	}
}

// Crashes returns the recorded crashes of the fingerprint.
func (q *Quarantiner) Crashes(f identifier.Fingerprint) []Crash {
	if e, ok := q.entries[f]; ok {
		return slices.Clone(e.crashes)
	}
	return nil
}

// ClearCrashes removes crashes of the fingerprint. If it has no other ones, it does what Clear does; else the rest of its
// record stays, and its quarantine if they are enough for one. It reports whether it has cleared the fingerprint.
func (q *Quarantiner) ClearCrashes(now identifier.Instant, f identifier.Fingerprint, crashes []Crash) bool {
	e, ok := q.entries[f]
	if !ok {
		return true
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return slices.ContainsFunc(crashes, c.sameIncarnation) })
	if len(e.crashes) == 0 {
		q.Clear(now, f)
		return true
	}
	if !e.crashesQuarantine() {
		e.quarantinedUntil = 0
	}
	return false
}

// HasLostCall reports whether a call with the fingerprint to the service was lost.
func (q *Quarantiner) HasLostCall(f identifier.Fingerprint, service identifier.ServiceID) bool {
	e, ok := q.entries[f]
	return ok && slices.Contains(e.services, service)
}

// QuarantineEnd returns the instant at which the quarantine of the fingerprint ends, or 0 if it
// was not quarantined.
func (q *Quarantiner) QuarantineEnd(f identifier.Fingerprint) identifier.Instant {
	if e, ok := q.entries[f]; ok {
		return e.quarantinedUntil
	}
	return 0
}

// VisitCrashes calls visit for each recorded crash of the fingerprints that are still suspect,
// in order of fingerprint.
func (q *Quarantiner) VisitCrashes(now identifier.Instant, visit func(identifier.Fingerprint, Crash)) {
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[f]
		if e.suspectUntil <= now {
			continue
		}
		for _, c := range e.crashes {
			visit(f, c)
		}
	}
}

// VisitServices calls visit for each service to which calls with a fingerprint that is still
// suspect were lost, in order of fingerprint.
func (q *Quarantiner) VisitServices(now identifier.Instant, visit func(identifier.Fingerprint, identifier.ServiceID)) {
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		if q.entries[f].suspectUntil <= now {
			continue
		}
		for _, id := range q.entries[f].services {
			visit(f, id)
		}
	}
}

// entry returns the entry of the fingerprint. It creates one if there is none or the
// existing one has expired; the new one keeps clearedAt.
func (q *Quarantiner) entry(now identifier.Instant, f identifier.Fingerprint) *entry {
	e, ok := q.entries[f]
	if ok && e.suspectUntil > now {
		return e
	}
	if len(q.entries) >= pruneSize {
		maps.DeleteFunc(q.entries, func(_ identifier.Fingerprint, e *entry) bool { return e.suspectUntil <= now })
	}
	fresh := &entry{}
	if ok {
		fresh.clearedAt = e.clearedAt
	}
	q.entries[f] = fresh
	return fresh
}

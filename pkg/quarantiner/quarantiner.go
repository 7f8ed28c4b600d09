// Package quarantiner tracks requests that crash the backend servers that run them.
//
// A request is known by its fingerprint. A lost call makes the fingerprint a
// suspect: it may run only as a single probe, one server at a time. A probe that
// is served clears it. Two crashes, one of them by a probe, quarantine it: it is
// refused everywhere until the quarantine ends, and is a suspect again after
// that. Other requests that were in flight on a server that crashed become
// suspects too; their own probe clears them.
//
// The Quarantiner holds what a state knows of fingerprints. The Arbiter hands
// out the permits to probe, one at a time for each fingerprint.
//
// # Usage
//
//	q := quarantiner.New()
//	q.Suspect(now, fingerprint, "desk-1")
//	if q.Standing(now, fingerprint) == quarantiner.Suspected {
//		askForPermit()
//	}
package quarantiner

import (
	"maps"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Terms after the last event about a fingerprint.
const (
	// SuspicionTerm is how long a lost call without a crash keeps a fingerprint suspect.
	SuspicionTerm = 30 * identifier.Second
	// CrashTerm is how long a crash keeps a fingerprint suspect.
	CrashTerm = 60 * identifier.Minute
	// QuarantineTerm is how long a fingerprint is refused after it was quarantined.
	QuarantineTerm = 10 * identifier.Minute
	// QuarantineCrashes is how many crashed servers quarantine a fingerprint.
	QuarantineCrashes = 2
	// pruneSize is the number of entries from which expired ones are removed.
	pruneSize = 1024
)

// Standing is what is thought of a fingerprint.
type Standing uint8

// The standings of a fingerprint.
const (
	// Clear fingerprints run freely.
	Clear Standing = iota
	// Suspected fingerprints run as single probes.
	Suspected
	// Quarantined fingerprints don't run.
	Quarantined
)

// Crash is a backend server that crashed while it ran a request.
type Crash struct {
	Server      identifier.ServerID
	Incarnation identifier.Incarnation
	Service     identifier.ServiceID
	// Probe is set when the request ran as a single probe.
	Probe bool
	At    identifier.Instant
}

type entry struct {
	services         []identifier.ServiceID
	crashes          []Crash
	until            identifier.Instant
	quarantinedUntil identifier.Instant
	// cleared is when the fingerprint was cleared last; crashes before that don't count.
	cleared identifier.Instant
}

// Quarantiner holds the suspects that one state knows. It is not safe for concurrent use.
type Quarantiner struct {
	entries map[identifier.Fingerprint]*entry
}

// New returns a Quarantiner without suspects.
func New() *Quarantiner {
	return &Quarantiner{entries: map[identifier.Fingerprint]*entry{}}
}

// Standing returns what is thought of the fingerprint.
func (q *Quarantiner) Standing(now identifier.Instant, f identifier.Fingerprint) Standing {
	if len(q.entries) == 0 {
		return Clear
	}
	e, ok := q.entries[f]
	switch {
	case !ok || e.until <= now:
		return Clear
	case e.quarantinedUntil > now:
		return Quarantined
	}
	return Suspected
}

// Suspect takes in that a call to a server of the service was lost.
func (q *Quarantiner) Suspect(now identifier.Instant, f identifier.Fingerprint, service identifier.ServiceID) {
	e := q.entry(now, f)
	e.until = max(e.until, now.Add(SuspicionTerm))
	e.touch(service)
}

// Crash takes in that a server crashed after it lost a call; the same crash
// counts once. It reports whether the crash quarantined the fingerprint.
func (q *Quarantiner) Crash(now identifier.Instant, f identifier.Fingerprint, c Crash) bool {
	if known, ok := q.entries[f]; ok && c.At < known.cleared {
		return false
	}
	e := q.entry(now, f)
	if slices.ContainsFunc(e.crashes, c.same) {
		return false
	}
	e.crashes = append(e.crashes, c)
	e.until = max(e.until, c.At.Add(CrashTerm))
	e.touch(c.Service)
	if !c.Probe && !slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Probe }) {
		return false
	}
	if len(e.crashes) < QuarantineCrashes {
		return false
	}
	e.quarantinedUntil = max(e.quarantinedUntil, c.At.Add(QuarantineTerm))
	return e.quarantinedUntil > now
}

func (c Crash) same(other Crash) bool {
	return c.Server == other.Server && c.Incarnation == other.Incarnation
}

func (e *entry) touch(service identifier.ServiceID) {
	if !slices.Contains(e.services, service) {
		e.services = append(e.services, service)
	}
}

// Clear ends what was held against the fingerprint: a probe was served, or an
// operator released it. The proof of a crash before that may still arrive.
func (q *Quarantiner) Clear(now identifier.Instant, f identifier.Fingerprint) {
	if _, ok := q.entries[f]; ok {
		q.entries[f] = &entry{cleared: now}
	}
}

// Touched reports whether a call to the service was lost with the fingerprint.
func (q *Quarantiner) Touched(f identifier.Fingerprint, service identifier.ServiceID) bool {
	e, ok := q.entries[f]
	return ok && slices.Contains(e.services, service)
}

// Until returns the instant at which the quarantine of the fingerprint ends.
func (q *Quarantiner) Until(f identifier.Fingerprint) identifier.Instant {
	if e, ok := q.entries[f]; ok {
		return e.quarantinedUntil
	}
	return 0
}

// Crashes returns the known crashes of each fingerprint that still counts, in order of fingerprint.
func (q *Quarantiner) Crashes(now identifier.Instant, visit func(identifier.Fingerprint, Crash)) {
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[f]
		if e.until <= now {
			continue
		}
		for _, c := range e.crashes {
			visit(f, c)
		}
	}
}

// Services returns the services that lost calls with each fingerprint that still
// counts, in order of fingerprint.
func (q *Quarantiner) Services(now identifier.Instant, visit func(identifier.Fingerprint, identifier.ServiceID)) {
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		if q.entries[f].until <= now {
			continue
		}
		for _, id := range q.entries[f].services {
			visit(f, id)
		}
	}
}

func (q *Quarantiner) entry(now identifier.Instant, f identifier.Fingerprint) *entry {
	e, ok := q.entries[f]
	if ok && e.until > now {
		return e
	}
	if len(q.entries) >= pruneSize {
		maps.DeleteFunc(q.entries, func(_ identifier.Fingerprint, e *entry) bool { return e.until <= now })
	}
	fresh := &entry{}
	if ok {
		fresh.cleared = e.cleared
	}
	q.entries[f] = fresh
	return fresh
}

package quarantiner

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// EvidenceTerm is the time allowed to confirm a crash after a probe was lost: the
	// lease of a backend server plus the time until the message about its expiry arrives.
	EvidenceTerm = 3 * identifier.Second
	// MaxPermitDuration limits a permit whose holder never returns it.
	MaxPermitDuration = 30 * identifier.Second
)

// Asker identifies a query with a suspect fingerprint that requests a probe permit.
type Asker struct {
	Host    identifier.HostID
	Request identifier.RequestID
	// Remaining is the time left to the query's deadline, in microseconds.
	Remaining identifier.Micros
}

func (a Asker) sameRequest(other Asker) bool {
	return a.Host == other.Host && a.Request == other.Request
}

// permit is the permit to probe one fingerprint.
type permit struct {
	holder  Asker
	expires identifier.Instant
	// waiting are the requesters without a permit, in order of their requests.
	waiting []Asker
}

// Arbiter grants permits to probe, at most one at a time for each fingerprint. It is not
// safe for concurrent use.
type Arbiter struct {
	permits map[identifier.Fingerprint]*permit
}

// NewArbiter returns an Arbiter that has granted no permit.
func NewArbiter() *Arbiter {
	return &Arbiter{permits: map[identifier.Fingerprint]*permit{}}
}

// Ask reports whether the requester holds the permit to probe now. If it doesn't, it is
// queued in order of requests. It also returns true when the holder of the permit asks again.
func (a *Arbiter) Ask(now identifier.Instant, f identifier.Fingerprint, requester Asker) bool {
	p, ok := a.permits[f]
	if !ok {
		p = &permit{}
		a.permits[f] = p
	}
	if p.expires > now {
		if requester.sameRequest(p.holder) {
			return true
		}
		if !slices.ContainsFunc(p.waiting, requester.sameRequest) {
			p.waiting = append(p.waiting, requester)
		}
		return false
	}
	p.grant(now, requester)
	return true
}

func (p *permit) grant(now identifier.Instant, requester Asker) {
	p.holder = requester
	p.expires = now.Add(min(MaxPermitDuration, requester.Remaining+EvidenceTerm))
}

// Return ends the requester's permit or removes it from the queue. It returns the next
// holder if the permit is granted to another requester.
func (a *Arbiter) Return(now identifier.Instant, f identifier.Fingerprint, requester Asker) (Asker, bool) {
	p, ok := a.permits[f]
	if !ok {
		return Asker{}, false
	}
	p.waiting = slices.DeleteFunc(p.waiting, requester.sameRequest)
	if !requester.sameRequest(p.holder) {
		return Asker{}, false
	}
	p.expires = min(p.expires, now)
	return a.Next(now, f)
}

// Block ends the current permit after its probe was lost, and grants no other one for
// EvidenceTerm.
func (a *Arbiter) Block(now identifier.Instant, f identifier.Fingerprint) {
	p, ok := a.permits[f]
	if !ok {
		p = &permit{}
		a.permits[f] = p
	}
	p.holder = Asker{}
	p.expires = now.Add(EvidenceTerm)
}

// Next grants the permit to the first queued requester if the previous permit has
// expired. It returns the new holder, if there is one.
func (a *Arbiter) Next(now identifier.Instant, f identifier.Fingerprint) (Asker, bool) {
	p, ok := a.permits[f]
	if !ok || p.expires > now {
		return Asker{}, false
	}
	if len(p.waiting) == 0 {
		delete(a.permits, f)
		return Asker{}, false
	}
	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.grant(now, next)
	return next, true
}

// Until returns the instant at which the permit of the fingerprint, or the time set by
// Block, ends. It is 0 if there is neither.
func (a *Arbiter) Until(f identifier.Fingerprint) identifier.Instant {
	if p, ok := a.permits[f]; ok {
		return p.expires
	}
	return 0
}

// Forget removes the permit and the queue of the fingerprint.
func (a *Arbiter) Forget(f identifier.Fingerprint) {
	delete(a.permits, f)
}

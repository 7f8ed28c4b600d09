package quarantiner

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// CrashConfirmationDuration is the time allowed to confirm a crash after a probe was lost: the
	// lease of a backend server plus the time until the message about its expiry arrives.
	CrashConfirmationDuration = 3 * identifier.Second
	// MaxPermitDuration limits a permit whose holder never releases it.
	MaxPermitDuration = 30 * identifier.Second
)

// Requester identifies a query with a suspect fingerprint that requests a probe permit.
type Requester struct {
	Host    identifier.HostID
	Request identifier.RequestID
	// Remaining is the time left to the query's deadline, in microseconds.
	Remaining identifier.Micros
}

func (a Requester) sameRequest(other Requester) bool {
	return a.Host == other.Host && a.Request == other.Request
}

// permit is the current permit to probe one fingerprint and the queue of requesters for the
// next one.
type permit struct {
	holder  Requester
	expires identifier.Instant
	// waiting lists the requesters without a permit, in order of their requests.
	waiting []Requester
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

// Acquire reports whether the requester holds the permit to probe now. If it doesn't, it is
// queued in order of requests. It also returns true when the holder of the permit requests
// it again.
func (a *Arbiter) Acquire(now identifier.Instant, f identifier.Fingerprint, requester Requester) bool {
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

func (p *permit) grant(now identifier.Instant, requester Requester) {
	p.holder = requester
	p.expires = now.Add(min(MaxPermitDuration, requester.Remaining+CrashConfirmationDuration))
}

// Release ends the requester's permit or removes it from the queue. It returns the next
// holder if the permit is granted to another requester.
func (a *Arbiter) Release(now identifier.Instant, f identifier.Fingerprint, requester Requester) (Requester, bool) {
	p, ok := a.permits[f]
	if !ok {
		return Requester{}, false
	}
	p.waiting = slices.DeleteFunc(p.waiting, requester.sameRequest)
	if !requester.sameRequest(p.holder) {
		return Requester{}, false
	}
	p.expires = min(p.expires, now)
	return a.GrantNext(now, f)
}

// Block ends the current permit after its probe was lost, and grants no other one for
// CrashConfirmationDuration.
func (a *Arbiter) Block(now identifier.Instant, f identifier.Fingerprint) {
	p, ok := a.permits[f]
	if !ok {
		p = &permit{}
		a.permits[f] = p
	}
	p.holder = Requester{}
	p.expires = now.Add(CrashConfirmationDuration)
}

// GrantNext grants the permit to the first queued requester if the previous permit has
// expired. It returns the new holder, if there is one.
func (a *Arbiter) GrantNext(now identifier.Instant, f identifier.Fingerprint) (Requester, bool) {
	p, ok := a.permits[f]
	if !ok || p.expires > now {
		return Requester{}, false
	}
	if len(p.waiting) == 0 {
		delete(a.permits, f)
		return Requester{}, false
	}
	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.grant(now, next)
	return next, true
}

// PermitEnd returns the instant at which the permit of the fingerprint, or the time set by
// Block, ends. It is 0 if there is neither.
func (a *Arbiter) PermitEnd(f identifier.Fingerprint) identifier.Instant {
	if p, ok := a.permits[f]; ok {
		return p.expires
	}
	return 0
}

// Remove removes the permit and the queue of the fingerprint.
func (a *Arbiter) Remove(f identifier.Fingerprint) {
	delete(a.permits, f)
}

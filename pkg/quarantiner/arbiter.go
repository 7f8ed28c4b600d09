package quarantiner

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// EvidenceTerm is how long a lost probe may wait for the proof of a crash: the
	// lease of a backend server and the time for the news to travel.
	EvidenceTerm = 3 * identifier.Second
	// MaxPermitTerm bounds a permit whose holder never returns it.
	MaxPermitTerm = 30 * identifier.Second
)

// Asker is a query of a suspect fingerprint that asks to probe.
type Asker struct {
	Host    identifier.HostID
	Request identifier.RequestID
	// Remaining is the time left to the query's deadline, in microseconds.
	Remaining identifier.Micros
}

func (a Asker) same(other Asker) bool {
	return a.Host == other.Host && a.Request == other.Request
}

type permit struct {
	holder  Asker
	until   identifier.Instant
	waiting []Asker
}

// Arbiter hands out the permits to probe. It is not safe for concurrent use.
type Arbiter struct {
	permits map[identifier.Fingerprint]*permit
}

// NewArbiter returns an Arbiter that has handed out no permit.
func NewArbiter() *Arbiter {
	return &Arbiter{permits: map[identifier.Fingerprint]*permit{}}
}

// Ask reports whether the asker may probe now; if not, it waits in order of
// asking. The holder of the permit is told so again.
func (a *Arbiter) Ask(now identifier.Instant, f identifier.Fingerprint, asker Asker) bool {
	p, ok := a.permits[f]
	if !ok {
		p = &permit{}
		a.permits[f] = p
	}
	if p.until > now {
		if asker.same(p.holder) {
			return true
		}
		if !slices.ContainsFunc(p.waiting, asker.same) {
			p.waiting = append(p.waiting, asker)
		}
		return false
	}
	p.grant(now, asker)
	return true
}

func (p *permit) grant(now identifier.Instant, asker Asker) {
	p.holder = asker
	p.until = now.Add(min(MaxPermitTerm, asker.Remaining+EvidenceTerm))
}

// Return ends the asker's permit or its wait. It returns the next holder, if one follows.
func (a *Arbiter) Return(now identifier.Instant, f identifier.Fingerprint, asker Asker) (Asker, bool) {
	p, ok := a.permits[f]
	if !ok {
		return Asker{}, false
	}
	p.waiting = slices.DeleteFunc(p.waiting, asker.same)
	if !asker.same(p.holder) {
		return Asker{}, false
	}
	p.until = min(p.until, now)
	return a.Next(now, f)
}

// Block hands out no permit for EvidenceTerm after a probe was lost.
func (a *Arbiter) Block(now identifier.Instant, f identifier.Fingerprint) {
	p, ok := a.permits[f]
	if !ok {
		p = &permit{}
		a.permits[f] = p
	}
	p.holder = Asker{}
	p.until = now.Add(EvidenceTerm)
}

// Next hands the permit to the first asker that waits if the last permit has ended.
func (a *Arbiter) Next(now identifier.Instant, f identifier.Fingerprint) (Asker, bool) {
	p, ok := a.permits[f]
	if !ok || p.until > now {
		return Asker{}, false
	}
	if len(p.waiting) == 0 {
		delete(a.permits, f)
		return Asker{}, false
	}
	asker := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.grant(now, asker)
	return asker, true
}

// Until returns the instant at which the permit of the fingerprint ends.
func (a *Arbiter) Until(f identifier.Fingerprint) identifier.Instant {
	if p, ok := a.permits[f]; ok {
		return p.until
	}
	return 0
}

// Forget ends all permits and waits for the fingerprint.
func (a *Arbiter) Forget(f identifier.Fingerprint) {
	delete(a.permits, f)
}

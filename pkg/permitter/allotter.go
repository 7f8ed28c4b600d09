package permitter

import (
	"cmp"
	"math"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// waitingPortion is the fraction of the maximum level that is granted only for requests that wait. Without it,
// hosts that hold requests in advance leave nothing for one that needs it now.
const waitingPortion = 0.25

// roundingTolerance is the allowed rounding error of sums of fractions of a request.
const roundingTolerance = 1e-6

// SessionID identifies the exchange of reports and answers between one owner and one holder. Counters start anew
// with each session.
type SessionID struct {
	Owner identifier.HostID `msgpack:"o"`
	// Began is when the session began, by the clock of the owner.
	Began identifier.Instant `msgpack:"b"`
}

// AccountReport is what a holder reports of one account. The counters are totals of the session.
type AccountReport[A cmp.Ordered] struct {
	Account A `msgpack:"a"`
	// Spent counts the requests sent, Undone those of them that turned out not to run and may be sent again, and
	// Returned the requests that the holder no longer wants to send.
	Spent    Requests `msgpack:"s"`
	Undone   Requests `msgpack:"u"`
	Returned Requests `msgpack:"r"`
	// Target is how many requests the holder wants to hold, Waiting of them for requests that wait.
	Target  Requests `msgpack:"t"`
	Waiting Requests `msgpack:"w"`
	// Lent is how many of the requests that the holder holds it has lent, so that they are not for those that wait.
	Lent Requests `msgpack:"l"`
}

// Report is a holder's message to the owner.
type Report[A cmp.Ordered] struct {
	Session  SessionID          `msgpack:"s"`
	Asked    Reading            `msgpack:"a"`
	Accounts []AccountReport[A] `msgpack:"c"`
}

// Allotment is the owner's answer about one account.
type Allotment[A cmp.Ordered] struct {
	Account A `msgpack:"a"`
	// Granted is the total of the session.
	Granted Requests `msgpack:"g"`
	// Unknown is set if the owner knows no limit for the account.
	Unknown bool `msgpack:"u"`
	// RetryAfter is when there will be another request to grant, in microseconds, if the holder was left without.
	RetryAfter identifier.Micros `msgpack:"r"`
}

// Answer is the owner's answer to a Report.
type Answer[A cmp.Ordered] struct {
	Session  SessionID      `msgpack:"s"`
	Asked    Reading        `msgpack:"a"`
	Accounts []Allotment[A] `msgpack:"c"`
}

// Allotter divides limits among holders. It is not safe for concurrent use.
type Allotter[A cmp.Ordered] struct {
	owner     identifier.HostID
	began     identifier.Instant
	tolerance Tolerance
	terms     Terms
	accounts  map[A]*account
	sessions  map[identifier.HostID]*session[A]
	lastBegan identifier.Instant
	// violated is set once an account has granted more than it earned, or a holder has spent more than it was
	// granted.
	violated bool
}

// account is the state of one limit.
type account struct {
	limit Limit
	// withdrawn is set if the account has no limit anymore, but a session still counts what was allotted of it.
	withdrawn bool
	// level is how many requests may be sent now, of which reserved are allotted to holders.
	level    float64
	filledAt identifier.Instant
	// fullFrom is when all that was allotted by previous owners has ended.
	fullFrom identifier.Instant
	reserved Requests
	// earned is the sum of the refills, granted that of the allotments less what was returned. They check the
	// arithmetic of level and reserved.
	earned  float64
	granted Requests
}

type session[A cmp.Ordered] struct {
	id      SessionID
	process identifier.Instant
	// asked is the holder's latest reading, by its clock. until is when everything allotted has ended there.
	asked  identifier.Instant
	until  identifier.Instant
	shares map[A]*share
}

// share is what a holder was granted of an account, and what it has reported.
type share struct {
	granted, spent, undone, returned Requests
}

// unspent returns how many requests the holder may still send, as far as reported.
func (s *share) unspent() Requests {
	return s.granted - s.spent + s.undone - s.returned
}

// NewAllotter returns an Allotter of a host that has become the owner now.
func NewAllotter[A cmp.Ordered](now identifier.Instant, owner identifier.HostID, t Tolerance, terms Terms) *Allotter[A] {
	return &Allotter[A]{
		owner: owner, began: now, tolerance: t, terms: terms,
		accounts: map[A]*account{}, sessions: map[identifier.HostID]*session[A]{},
	}
}

// SetLimits replaces all limits. A limit that was lowered holds at once for what is not allotted yet; what is
// allotted is spent or ends within the term. An account that was not known before counts as one of a new owner, since
// it may have had a limit before and lost it for a while.
func (o *Allotter[A]) SetLimits(now identifier.Instant, limits map[A]Limit) {
	for id, a := range o.accounts {
		limit, kept := limits[id]
		if !kept {
			if a.withdrawn = o.hasShare(id); !a.withdrawn {
				delete(o.accounts, id)
			}
			continue
		}
		o.refill(now, a)
		a.limit, a.withdrawn = limit, false
		o.limitLevel(a)
	}
	for id, limit := range limits {
		if _, known := o.accounts[id]; known {
			continue
		}
		start := max(now, o.began.Add(Overlap))
		if o.terms.Waits {
			start = max(now, o.began.Add(Overlap+o.terms.Term))
		}
		o.accounts[id] = &account{limit: limit, filledAt: start, fullFrom: start.Add(o.terms.Term)}
	}
}

// limitLevel lowers the level to the maximum of a limit that was lowered, but not below what is allotted: that
// runs by the limit before. A level below 0 would leave the account without credit until the new rate has made up
// for it.
func (o *Allotter[A]) limitLevel(a *account) {
	a.level = min(a.level, max(o.terms.highestLevel(o.tolerance, a.limit), float64(a.reserved)))
}

// hasShare reports whether a session counts what was allotted of an account.
func (o *Allotter[A]) hasShare(id A) bool {
	for _, s := range o.sessions {
		if _, ok := s.shares[id]; ok {
			return true
		}
	}
	return false
}

// refill raises the level by what has accrued, up to the maximum.
func (o *Allotter[A]) refill(now identifier.Instant, a *account) {
	if now <= a.filledAt {
		return
	}
	accrued := a.limit.perSecond() * seconds(now.Since(a.filledAt))
	a.filledAt = now
	accrued = max(0, min(accrued, o.maximum(now, a)-a.level))
	a.level += accrued
	a.earned += accrued
}

// maximum returns the highest level of an account at an instant.
func (o *Allotter[A]) maximum(now identifier.Instant, a *account) float64 {
	if now < a.fullFrom && !o.terms.Waits {
		return o.tolerance.maximumAtFirst(a.limit)
	}
	return o.terms.highestLevel(o.tolerance, a.limit)
}

// Handle records a holder's report and returns what it is allotted.
func (o *Allotter[A]) Handle(now identifier.Instant, holder identifier.HostID, r Report[A]) Answer[A] {
	o.endLapsed(now)
	s, ok := o.sessions[holder]
	continued := ok && s.id == r.Session && s.process == r.Asked.Process
	if ok && !continued && s.isLate(r.Asked) {
		return Answer[A]{}
	}
	if !continued {
		if ok {
			o.endSession(holder, s)
		}
		s = o.beginSession(now, holder, r.Asked.Process)
	}
	s.asked = max(s.asked, r.Asked.At)
	s.until = now.Add(o.terms.Term)
	answer := Answer[A]{Session: s.id, Asked: r.Asked}
	for _, reported := range r.Accounts {
		answer.Accounts = append(answer.Accounts, o.allot(now, s, reported, continued))
	}
	return answer
}

// isLate reports whether a report was made before the latest one of the session, or by an earlier process of
// the holder.
func (s *session[A]) isLate(asked Reading) bool {
	return asked.Process < s.process || (asked.Process == s.process && asked.At <= s.asked)
}

func (o *Allotter[A]) beginSession(now identifier.Instant, holder identifier.HostID, process identifier.Instant) *session[A] {
	o.lastBegan = max(now, o.lastBegan+1)
	s := &session[A]{id: SessionID{Owner: o.owner, Began: o.lastBegan}, process: process, shares: map[A]*share{}}
	o.sessions[holder] = s
	return s
}

// endLapsed ends the sessions whose allotments have ended at their holders.
func (o *Allotter[A]) endLapsed(now identifier.Instant) {
	for holder, s := range o.sessions {
		if now > s.until {
			o.endSession(holder, s)
		}
	}
}

// endSession counts everything that was allotted and not reported as spent.
func (o *Allotter[A]) endSession(holder identifier.HostID, s *session[A]) {
	for id, x := range s.shares {
		// An account that was removed had nothing reserved.
		if a, ok := o.accounts[id]; ok {
			o.spend(a, x.unspent())
		}
	}
	delete(o.sessions, holder)
}

// spend moves requests from reserved to spent.
func (o *Allotter[A]) spend(a *account, count Requests) {
	a.level -= float64(count)
	a.reserved -= count
}

// allot records what a holder reports of an account and grants what is available.
func (o *Allotter[A]) allot(now identifier.Instant, s *session[A], r AccountReport[A], continued bool) Allotment[A] {
	a, ok := o.accounts[r.Account]
	if !ok {
		return Allotment[A]{Account: r.Account, Unknown: true}
	}
	x, ok := s.shares[r.Account]
	if a.withdrawn {
		if ok && continued {
			o.record(a, x, r)
		}
		return Allotment[A]{Account: r.Account, Unknown: true}
	}
	o.refill(now, a)
	if !ok {
		x = &share{}
		s.shares[r.Account] = x
	}
	if continued {
		o.record(a, x, r)
	}
	available := max(0, math.Floor(a.level-float64(a.reserved)+roundingTolerance))
	wanted := max(0, r.Target-x.unspent())
	grant := min(wanted, r.Waiting, Requests(available))
	spare := available - float64(grant) - waitingPortion*o.terms.highestLevel(o.tolerance, a.limit)
	grant += min(wanted-grant, Requests(max(0, spare)))
	x.granted += grant
	a.reserved += grant
	a.granted += grant
	o.violated = o.violated || !a.withinEarnings() || x.unspent() < 0
	answer := Allotment[A]{Account: r.Account, Granted: x.granted}
	if x.unspent()-r.Lent < max(1, r.Waiting) {
		answer.RetryAfter = a.retryAfter(now, o.terms.Term)
	}
	return answer
}

// record applies the counters of a report. They only grow, so a late report changes nothing.
func (o *Allotter[A]) record(a *account, x *share, r AccountReport[A]) {
	if r.Undone > x.undone && r.Undone <= r.Spent {
		back := r.Undone - x.undone
		x.undone = r.Undone
		a.reserved += back
		a.level = min(max(a.level, o.terms.highestLevel(o.tolerance, a.limit)), a.level+float64(back))
	}
	if spent := min(r.Spent, x.granted+x.undone-x.returned); spent > x.spent {
		o.spend(a, spent-x.spent)
		x.spent = spent
	}
	if returned := min(r.Returned, x.granted-x.spent+x.undone); returned > x.returned {
		a.reserved -= returned - x.returned
		a.granted -= returned - x.returned
		x.returned = returned
		o.limitLevel(a)
	}
}

// retryAfter returns how long it takes until a request can be granted: the term if none accrue.
func (a *account) retryAfter(now identifier.Instant, term identifier.Micros) identifier.Micros {
	missing := 1 - (a.level - float64(a.reserved))
	if missing <= 0 {
		return 0
	}
	if a.limit.Rate <= 0 {
		return term
	}
	// Rounded down to 0, a wait would count as no denial, and the holder would report again at once.
	wait := identifier.Micros(math.Ceil(missing / a.limit.perSecond() * float64(identifier.Second)))
	return wait + max(0, a.filledAt.Since(now))
}

// Violated reports whether the arithmetic of an account has ever failed. It must never be true.
func (o *Allotter[A]) Violated() bool { return o.violated }

// Balanced reports whether no more requests are allotted than were earned, and none is reserved twice. It must
// always hold.
func (o *Allotter[A]) Balanced() bool {
	reserved := map[A]Requests{}
	for _, s := range o.sessions {
		for id, x := range s.shares {
			if x.unspent() < 0 {
				return false
			}
			reserved[id] += x.unspent()
		}
	}
	for id, a := range o.accounts {
		if a.reserved != reserved[id] || !a.withinEarnings() {
			return false
		}
	}
	return true
}

// withinEarnings reports whether an account has granted no more than it earned.
func (a *account) withinEarnings() bool {
	return float64(a.granted) <= a.earned+roundingTolerance*float64(a.granted+1)
}

// Held returns how many requests of an account holders may still send, as far as reported.
func (o *Allotter[A]) Held(id A) Requests {
	if a, ok := o.accounts[id]; ok {
		return a.reserved
	}
	return 0
}

// Accounts returns the accounts with a limit, in order.
func (o *Allotter[A]) Accounts() []A {
	ids := make([]A, 0, len(o.accounts))
	for id := range o.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

package permitter

import (
	"cmp"
	"math"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// reportDelay is how long a holder collects what it has spent before it reports it.
	reportDelay = 100 * identifier.Millisecond
	// renewalsPerTerm is how many reports in a term renew what is held.
	renewalsPerTerm = 6
	// surplusFactor is how many times its target a holder keeps. What is held is renewed, so without a return the
	// allotments of a burst, or of a limit that was lowered since, would stay with the holder until it is idle.
	surplusFactor = 2
	// answerTimeout is how long a holder waits for an answer before it reports again.
	answerTimeout = 100 * identifier.Millisecond
)

// Holder keeps the allotments of one host. It is not safe for concurrent use.
type Holder[A cmp.Ordered] struct {
	terms   Terms
	session SessionID
	valid   Permission
	// earlier is the permission of what was held when the session last changed.
	earlier Permission
	shares  map[A]*held
	// reportedAt is when the last report was made, reported the session that it belonged to, answered whether its
	// answer has arrived, and changedAt when the oldest change that no report contains was made.
	reportedAt identifier.Instant
	reported   SessionID
	answered   bool
	changedAt  identifier.Instant
	changed    bool
	// draining is set once the host stops.
	draining bool
}

// held is what the host holds of one account, and what it was asked for.
type held struct {
	granted, spent, undone, returned Requests
	// lent counts those of the requests held that other hosts may send (Lend).
	lent Requests
	// earlier is what is left of the allotments of previous sessions. Their owner counts them as spent.
	earlier Requests
	// confirmed holds the counters that the owner knows, and sent those of the report made at sentAt.
	confirmed, sent counters
	sentAt          identifier.Instant
	// waiting counts the requests that wait for an allotment.
	waiting Requests
	// demand is a count of requests that decays with the term, updated at usedAt.
	demand float64
	usedAt identifier.Instant
	// deniedUntil is when the owner has more to grant, and unknown is set while it knows no limit.
	deniedUntil identifier.Instant
	unknown     bool
}

type counters struct{ spent, undone, returned Requests }

// NewHolder returns a Holder that holds nothing.
func NewHolder[A cmp.Ordered](t Terms) *Holder[A] {
	return &Holder[A]{terms: t, shares: map[A]*held{}, answered: true}
}

func (x *held) unspent() Requests {
	return x.granted - x.spent + x.undone - x.returned
}

// target returns how many requests the host wants to hold: its recent demand within a term, so that requests need
// not wait for the owner, and most go on while another one is elected.
func (h *Holder[A]) target(now identifier.Instant, x *held) Requests {
	if h.draining || now.Since(x.usedAt) >= h.terms.Idle {
		return x.waiting + x.lent
	}
	return x.waiting + x.lent + max(1, Requests(math.Ceil(h.decayed(now, x)-0.5)))
}

// decayed returns the demand at an instant.
func (h *Holder[A]) decayed(now identifier.Instant, x *held) float64 {
	return x.demand * math.Exp(-float64(now.Since(x.usedAt))/float64(h.terms.Term))
}

// Drain makes the host hold only what is waited for: the next report, which must be made now, returns the rest. Without
// it, what a host held when it stopped would count as spent until its term has ended.
func (h *Holder[A]) Drain() { h.draining = true }

// Use records the demand of one request. It must be called once for each, before Take.
func (h *Holder[A]) Use(now identifier.Instant, id A) {
	x, ok := h.shares[id]
	if !ok {
		x = &held{}
		h.shares[id] = x
	}
	x.demand = h.decayed(now, x) + 1
	x.usedAt = now
}

// Take takes a request from the allotment of an account. It returns false if nothing is held.
func (h *Holder[A]) Take(now identifier.Instant, id A) bool {
	x, ok := h.shares[id]
	if !ok {
		return false
	}
	h.endLapsed(now)
	if x.earlier > 0 {
		x.earlier--
		return true
	}
	if x.unspent() <= x.lent {
		return false
	}
	x.spent++
	h.noteChange(now)
	return true
}

// Loan is a request that a host lends to another one, which may send it until Until, by the clock of the lender.
type Loan struct {
	Until   identifier.Instant
	session SessionID
}

// Lend sets a request of an account aside for another host. It counts as held until Settle is called, so that the
// level of the account doesn't rise meanwhile and it may be used again if it was not sent. It returns false if nothing
// is held.
func (h *Holder[A]) Lend(now identifier.Instant, id A) (Loan, bool) {
	h.endLapsed(now)
	x, ok := h.shares[id]
	if !ok || x.unspent() <= x.lent {
		return Loan{}, false
	}
	x.lent++
	return Loan{Until: h.valid.Until(), session: h.session}, true
}

// Settle ends a loan, once, and records whether the request was sent. One that may have been sent counts as sent.
// The owner has counted the loans of earlier sessions as spent.
func (h *Holder[A]) Settle(now identifier.Instant, id A, l Loan, sent bool) {
	h.endLapsed(now)
	x, ok := h.shares[id]
	if !ok || l.session != h.session || x.lent == 0 {
		return
	}
	x.lent--
	if sent {
		x.spent++
	}
	h.noteChange(now)
}

// Undo gives back a request that was taken and did not run. It may have been taken in an earlier session and
// count in the current one, which lowers what the current one has spent by no more than was spent before.
func (h *Holder[A]) Undo(now identifier.Instant, id A) {
	h.endLapsed(now)
	if x, ok := h.shares[id]; ok && x.undone < x.spent {
		x.undone++
		h.noteChange(now)
	}
}

// Wait changes the number of requests of an account that wait for an allotment.
func (h *Holder[A]) Wait(id A, change Requests) {
	if x, ok := h.shares[id]; ok {
		x.waiting = max(0, x.waiting+change)
	}
}

// DeniedUntil returns when the owner has more to grant, if it has denied an allotment before; else an instant
// that has passed.
func (h *Holder[A]) DeniedUntil(id A) identifier.Instant {
	if x, ok := h.shares[id]; ok {
		return x.deniedUntil
	}
	return 0
}

// ForgetDenials makes the holder ask again for accounts that were denied or unknown. It must be called when limits
// change.
func (h *Holder[A]) ForgetDenials() {
	for _, x := range h.shares {
		x.deniedUntil, x.unknown = 0, false
	}
}

// Unknown reports whether the owner has answered that it knows no limit for the account.
func (h *Holder[A]) Unknown(id A) bool {
	x, ok := h.shares[id]
	return ok && x.unknown
}

// Held returns how many requests of an account the host may send.
func (h *Holder[A]) Held(now identifier.Instant, id A) Requests {
	h.endLapsed(now)
	if x, ok := h.shares[id]; ok {
		return x.unspent() + x.earlier
	}
	return 0
}

func (h *Holder[A]) noteChange(now identifier.Instant) {
	if !h.changed {
		h.changed, h.changedAt = true, now
	}
}

// endLapsed drops the allotments that have ended.
func (h *Holder[A]) endLapsed(now identifier.Instant) {
	if !h.earlier.Holds(now) && h.earlier != (Permission{}) {
		h.earlier = Permission{}
		for _, x := range h.shares {
			x.earlier = 0
		}
	}
	if !h.valid.Holds(now) && h.session != (SessionID{}) {
		h.beginSession(SessionID{})
	}
}

// changeSession begins another session and keeps what is left of the current one until its permission ends.
func (h *Holder[A]) changeSession(now identifier.Instant, id SessionID) {
	h.endLapsed(now)
	if h.session != (SessionID{}) {
		for _, x := range h.shares {
			x.earlier += max(0, x.unspent()-x.lent)
		}
		if h.earlier == (Permission{}) || h.valid.Until() < h.earlier.Until() {
			h.earlier = h.valid
		}
	}
	h.beginSession(id)
}

func (h *Holder[A]) beginSession(id SessionID) {
	h.session, h.valid = id, Permission{}
	for _, x := range h.shares {
		x.granted, x.spent, x.undone, x.returned, x.lent = 0, 0, 0, 0, 0
		x.confirmed, x.sent = counters{}, counters{}
	}
}

// NextReport returns when the host must report, or identifier.Never if it has nothing to report.
func (h *Holder[A]) NextReport(now identifier.Instant) identifier.Instant {
	next := identifier.Never
	if h.changed {
		next = h.changedAt.Add(reportDelay)
	}
	for _, x := range h.shares {
		switch {
		case x.waiting > 0 && x.deniedUntil <= now:
			next = min(next, now)
		case x.waiting > 0:
			next = min(next, x.deniedUntil)
		case x.unspent() < h.target(now, x):
			next = min(next, max(x.deniedUntil, h.reportedAt.Add(reportDelay)))
		}
		if x.unspent() > 0 {
			next = min(next, h.reportedAt.Add(h.terms.Term/renewalsPerTerm))
		}
	}
	if !h.answered {
		next = max(next, h.reportedAt.Add(answerTimeout))
	}
	return next
}

// Report returns a report to the owner. The reading is the current one of the clock.
func (h *Holder[A]) Report(asked Reading) Report[A] {
	now := asked.At
	h.endLapsed(now)
	h.reportedAt, h.reported, h.answered, h.changed = now, h.session, false, false
	r := Report[A]{Session: h.session, Asked: asked}
	for id, x := range h.shares {
		target := h.target(now, x)
		x.returned += max(0, x.unspent()-surplusFactor*target)
		known := counters{x.spent, x.undone, x.returned}
		if target == 0 && known == x.confirmed {
			// The owner keeps the counters of the session, so they must not begin anew within it.
			if known == (counters{}) && x.granted == 0 {
				delete(h.shares, id)
			}
			continue
		}
		if known == x.confirmed && (x.unspent() >= target || (x.waiting == 0 && x.deniedUntil > now)) {
			continue
		}
		x.sent, x.sentAt = known, now
		r.Accounts = append(r.Accounts, AccountReport[A]{
			Account: id, Spent: x.spent, Undone: x.undone, Returned: x.returned, Target: target, Waiting: x.waiting, Lent: x.lent,
		})
	}
	slices.SortFunc(r.Accounts, func(a, b AccountReport[A]) int { return cmp.Compare(a.Account, b.Account) })
	return r
}

// Receive records the owner's answer to a report of this process.
func (h *Holder[A]) Receive(now identifier.Instant, a Answer[A]) {
	if a.Session == (SessionID{}) || a.Asked.At > now || a.Asked.At.Add(h.terms.Term) <= now {
		return
	}
	if a.Session != h.session {
		if a.Asked.At < h.reportedAt || a.Session == h.reported {
			// The session has ended here since the report. What it granted in total includes what has been spent.
			return
		}
		h.changeSession(now, a.Session)
	}
	h.valid.Renew(a.Asked.At, h.terms.Term)
	h.answered = h.answered || a.Asked.At == h.reportedAt
	for _, x := range a.Accounts {
		known, ok := h.shares[x.Account]
		if !ok {
			continue
		}
		known.granted = max(known.granted, x.Granted)
		known.unknown = x.Unknown
		if known.sentAt == a.Asked.At {
			known.confirmed = known.sent
		}
		known.deniedUntil = 0
		if x.RetryAfter > 0 {
			known.deniedUntil = now.Add(x.RetryAfter)
		}
	}
}

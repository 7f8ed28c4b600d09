// Package deduplicator implements the ledger of requests that must run at most once,
// as a replicated state machine.
//
// A request first records its Intent and runs only if the decision is Granted. It then either
// stores its outcome with Settle or, if it certainly did not run, releases its key with
// Abandon. A resend gets the decision Settled if an outcome is stored, and Unsettled if the
// request may have run. Another send is granted only if the key was released.
//
// Entries expire a fixed time after the instant at which the caller issued the request. The
// ledger's clock is the highest Intent.At passed to any call, so it never steps back, and a
// resend of a request whose entry was removed is always Expired. A resend must have the same
// issued-at as the first send; otherwise it is Mismatched.
//
// # Usage
//
//	l := deduplicator.New[Outcome](deduplicator.Limits{Window: window, Tolerance: tolerance, Capacity: 1000})
//	switch d := l.Record(intent).(type) {
//	case deduplicator.Granted:
//		...
//		l.Settle(intent, outcome)
//	case deduplicator.Settled:
//		...
//	}
package deduplicator

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Key identifies a request of a customer.
type Key struct {
	Customer identifier.CustomerID     `msgpack:"c"`
	Key      identifier.IdempotencyKey `msgpack:"k"`
}

// Intent is the record of a request that is about to run.
type Intent struct {
	Key Key `msgpack:"k"`
	// Request identifies this send among those with the same key.
	Request identifier.RequestID `msgpack:"r"`
	// IssuedAt is the instant at which the caller issued the request. It is the same in
	// all sends.
	IssuedAt    identifier.Instant     `msgpack:"i"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// At is the instant at which the leader proposed the record.
	At identifier.Instant `msgpack:"a"`
}

// Decision is the ledger's decision on an intent. It is sealed: only the types of
// this package implement it.
type Decision interface{ isDecision() }

// The decisions on an intent. A request may run only if it is Granted.
type (
	// Granted means that this send of the request, and no other one with its key, may run.
	Granted struct{}
	// Settled means that the request has already run. Ledger.Outcome returns its outcome.
	Settled struct{}
	// Unsettled means that another send of the request may have run.
	Unsettled struct{}
	// Withdrawn means that this send of the request abandoned its intent.
	Withdrawn struct{}
	// Expired means that the request was issued more than Limits.Window ago.
	Expired struct{}
	// Early means that the request was issued more than Limits.Tolerance in the future.
	Early struct{}
	// Mismatched means that a request with another fingerprint or issued-at has the same key.
	Mismatched struct{}
	// Full means that the ledger has reached its capacity.
	Full struct{}
)

func (Granted) isDecision()    {}
func (Settled) isDecision()    {}
func (Unsettled) isDecision()  {}
func (Withdrawn) isDecision()  {}
func (Expired) isDecision()    {}
func (Early) isDecision()      {}
func (Mismatched) isDecision() {}
func (Full) isDecision()       {}

// Limits sets how long a ledger keeps entries, how far issued-at may be ahead of its clock, and
// how many entries it holds.
type Limits struct {
	// Window is how long the ledger keeps an entry after its issued-at, in microseconds.
	Window identifier.Micros
	// Tolerance is how far an issued-at may be ahead of the ledger's clock, in microseconds.
	Tolerance identifier.Micros
	// Capacity is the maximum number of entries.
	Capacity int
}

// Stage is the state of a request in the ledger.
type Stage uint8

// The stages of a request.
const (
	// Pending means that the request may be running, or may have run.
	Pending Stage = iota
	// Abandoned means that the request did not run and will not run.
	Abandoned
	// Done means that the outcome is stored.
	Done
)

// Entry is the ledger's entry for a key.
type Entry[O any] struct {
	Intent  Intent `msgpack:"i"`
	Stage   Stage  `msgpack:"s"`
	Outcome O      `msgpack:"o"`
}

// Ledger holds the entries of one deployment. It is not safe for concurrent use.
type Ledger[O any] struct {
	limits     Limits
	now        identifier.Instant
	entries    map[Key]*Entry[O]
	expiryHeap expiries
}

// New returns an empty Ledger.
func New[O any](l Limits) *Ledger[O] {
	return &Ledger[O]{limits: l, entries: map[Key]*Entry[O]{}}
}

// Len returns the number of entries.
func (l *Ledger[O]) Len() int {
	return len(l.entries)
}

// Record decides on an intent, and stores it if it is granted.
func (l *Ledger[O]) Record(i Intent) Decision {
	l.advance(i.At)
	switch {
	case l.expired(i.IssuedAt):
		return Expired{}
	case i.IssuedAt > l.now.Add(l.limits.Tolerance):
		return Early{}
	}
	e, ok := l.entries[i.Key]
	if !ok && len(l.entries) >= l.limits.Capacity {
		return Full{}
	}
	if !ok {
		l.put(Entry[O]{Intent: i})
		return Granted{}
	}
	return l.decide(e, i)
}

// decide returns the decision on an intent whose key has an entry.
func (l *Ledger[O]) decide(e *Entry[O], i Intent) Decision {
	switch {
	case e.Stage == Abandoned && e.Intent.Request == i.Request:
		return Withdrawn{}
	case e.Stage == Abandoned:
		l.put(Entry[O]{Intent: i})
		return Granted{}
	case e.Intent.Fingerprint != i.Fingerprint || e.Intent.IssuedAt != i.IssuedAt:
		return Mismatched{}
	case e.Stage == Done:
		return Settled{}
	case e.Intent.Request == i.Request:
		return Granted{}
	}
	return Unsettled{}
}

// Outcome returns the stored outcome of a key, and whether there is one.
func (l *Ledger[O]) Outcome(k Key) (O, bool) {
	e, ok := l.entries[k]
	if !ok || e.Stage != Done {
		var none O
		return none, false
	}
	return e.Outcome, true
}

// Settle stores the outcome of a request that was granted. It stores nothing unless the entry
// is Pending for this send of the request.
func (l *Ledger[O]) Settle(i Intent, outcome O) {
	l.advance(i.At)
	e, ok := l.entries[i.Key]
	if ok && e.Stage == Pending && e.Intent.Request == i.Request {
		e.Stage, e.Outcome = Done, outcome
	}
}

// Abandon releases the key of a request that did not run and will not run. It also
// withdraws an intent whose record has not arrived yet.
func (l *Ledger[O]) Abandon(i Intent) {
	l.advance(i.At)
	e, ok := l.entries[i.Key]
	switch {
	case ok && e.Stage == Pending && e.Intent.Request == i.Request:
		e.Stage = Abandoned
	case !ok && !l.expired(i.IssuedAt) && len(l.entries) < l.limits.Capacity:
		l.put(Entry[O]{Intent: i, Stage: Abandoned})
	}
}

func (l *Ledger[O]) expired(issued identifier.Instant) bool {
	return issued.Add(l.limits.Window) < l.now
}

func (l *Ledger[O]) put(e Entry[O]) {
	l.entries[e.Intent.Key] = &e
	heap.Push(&l.expiryHeap, expiry{e.Intent.IssuedAt, e.Intent.Key})
}

// advance moves the clock forward and removes expired entries.
func (l *Ledger[O]) advance(at identifier.Instant) {
	l.now = max(l.now, at)
	for len(l.expiryHeap) > 0 && l.expired(l.expiryHeap[0].issued) {
		due := heap.Pop(&l.expiryHeap).(expiry)
		if e, ok := l.entries[due.key]; ok && e.Intent.IssuedAt == due.issued {
			delete(l.entries, due.key)
		}
	}
}

// Snapshot is the whole state of a Ledger.
type Snapshot[O any] struct {
	Now identifier.Instant `msgpack:"n"`
	// Entries are sorted by customer, then by key.
	Entries []Entry[O] `msgpack:"e"`
}

// Snapshot returns the state of the ledger. Equal ledgers have equal snapshots.
func (l *Ledger[O]) Snapshot() Snapshot[O] {
	s := Snapshot[O]{Now: l.now}
	for _, e := range l.entries {
		s.Entries = append(s.Entries, *e)
	}
	slices.SortFunc(s.Entries, func(a, b Entry[O]) int {
		x, y := a.Intent.Key, b.Intent.Key
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Key, y.Key))
	})
	return s
}

// Restore returns a ledger with the state of a snapshot.
func Restore[O any](limits Limits, s Snapshot[O]) *Ledger[O] {
	l := New[O](limits)
	l.now = s.Now
	for _, e := range s.Entries {
		l.put(e)
	}
	return l
}

// expiry is an entry of the expiry heap: a key and when its request was issued.
type expiry struct {
	issued identifier.Instant
	key    Key
}

// expiries is a heap, the earliest issued first.
type expiries []expiry

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].issued < h[j].issued }
func (h expiries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiries) Push(x any)        { *h = append(*h, x.(expiry)) }

func (h *expiries) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Package deduplicator keeps the ledger of requests that must run at most once,
// as a replicated state machine.
//
// A request first records its Intent and runs only when the ledger answers
// Granted. Then it either stores its outcome with Settle, or, if it certainly did
// not run, gives the key back with Abandon. A resend gets the stored outcome
// (Settled) or Unsettled, which means that it may have run; it is never granted.
//
// Entries expire by the instant at which the caller issued the request. The
// ledger's clock is the highest instant that any record carried, so it never
// steps back, and a resend of a forgotten request is always Expired. A resend
// must repeat the issued-at of the first send: with another one it is Mismatched.
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

// Key names a request of a customer.
type Key struct {
	Customer identifier.CustomerID     `msgpack:"c"`
	Key      identifier.IdempotencyKey `msgpack:"k"`
}

// Intent says that a request is about to run.
type Intent struct {
	Key Key `msgpack:"k"`
	// Request tells sends of the same key apart.
	Request identifier.RequestID `msgpack:"r"`
	// IssuedAt is the caller's instant, equal in all sends.
	IssuedAt    identifier.Instant     `msgpack:"i"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// At is when the leader proposed the record.
	At identifier.Instant `msgpack:"a"`
}

// Decision is the ledger's answer to an intent. It is sealed: the types of this
// package are all there are.
type Decision interface{ isDecision() }

// Decisions about an intent. Only a granted one may run.
type (
	// Granted says that this request, and no other of its key, may run.
	Granted struct{}
	// Settled says that the request ran before; Ledger.Outcome returns how it ended.
	Settled struct{}
	// Unsettled says that another send of the request may have run.
	Unsettled struct{}
	// Withdrawn says that this very request abandoned its intent.
	Withdrawn struct{}
	// Expired says that the request was issued too long ago.
	Expired struct{}
	// Early says that the request was issued in the future.
	Early struct{}
	// Mismatched says that another request has the same key.
	Mismatched struct{}
	// Full says that the ledger holds as many entries as it may.
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

// Limits bound a ledger.
type Limits struct {
	// Window is how long after its issued-at a request is remembered, in microseconds.
	Window identifier.Micros
	// Tolerance is how far ahead of the ledger's clock an issued-at may lie, in microseconds.
	Tolerance identifier.Micros
	// Capacity is how many entries the ledger may hold.
	Capacity int
}

// Stage is how far a request has come.
type Stage uint8

// The stages of a request.
const (
	// Pending means that the request may be running, or may have run.
	Pending Stage = iota
	// Abandoned means that the request did not run and never will.
	Abandoned
	// Done means that the outcome is stored.
	Done
)

// Entry is what the ledger knows of one key.
type Entry[O any] struct {
	Intent  Intent `msgpack:"i"`
	Stage   Stage  `msgpack:"s"`
	Outcome O      `msgpack:"o"`
}

// Ledger holds the entries of one deployment. It is not safe for concurrent use.
type Ledger[O any] struct {
	limits  Limits
	now     identifier.Instant
	entries map[Key]*Entry[O]
	expiry  expiries
}

// New returns an empty Ledger.
func New[O any](l Limits) *Ledger[O] {
	return &Ledger[O]{limits: l, entries: map[Key]*Entry[O]{}}
}

// Len returns how many entries the ledger holds.
func (l *Ledger[O]) Len() int {
	return len(l.entries)
}

// Record decides about an intent and remembers it when it is granted.
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

// decide answers an intent whose key the ledger knows.
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

// Outcome returns the stored outcome of a key, if there is one.
func (l *Ledger[O]) Outcome(k Key) (O, bool) {
	e, ok := l.entries[k]
	if !ok || e.Stage != Done {
		var none O
		return none, false
	}
	return e.Outcome, true
}

// Settle stores the outcome of a request that was granted.
func (l *Ledger[O]) Settle(i Intent, outcome O) {
	l.advance(i.At)
	e, ok := l.entries[i.Key]
	if ok && e.Stage == Pending && e.Intent.Request == i.Request {
		e.Stage, e.Outcome = Done, outcome
	}
}

// Abandon gives back the key of a request that did not run and never will. It
// also withdraws an intent that has yet to be recorded.
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
	heap.Push(&l.expiry, expiry{e.Intent.IssuedAt, e.Intent.Key})
}

// advance moves the clock forward and forgets expired entries.
func (l *Ledger[O]) advance(at identifier.Instant) {
	l.now = max(l.now, at)
	for len(l.expiry) > 0 && l.expired(l.expiry[0].issued) {
		due := heap.Pop(&l.expiry).(expiry)
		if e, ok := l.entries[due.key]; ok && e.Intent.IssuedAt == due.issued {
			delete(l.entries, due.key)
		}
	}
}

// Snapshot is the whole state of a Ledger.
type Snapshot[O any] struct {
	Now identifier.Instant `msgpack:"n"`
	// Entries are in order of customer, then of key.
	Entries []Entry[O] `msgpack:"e"`
}

// Snapshot returns the state of the ledger; equal ledgers give equal snapshots.
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

// Restore returns the ledger of a snapshot.
func Restore[O any](limits Limits, s Snapshot[O]) *Ledger[O] {
	l := New[O](limits)
	l.now = s.Now
	for _, e := range s.Entries {
		l.put(e)
	}
	return l
}

// expiry is when the entry of a key was issued.
type expiry struct {
	issued identifier.Instant
	key    Key
}

// expiries is a heap with the first issued on top.
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

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// LedgerWindow is how long after its issued-at a request that is not repeatable is remembered.
	LedgerWindow = 60 * identifier.Minute
	// LedgerTolerance is how far ahead of the leader's clock an issued-at may lie.
	LedgerTolerance = 1 * identifier.Minute
	// IntentTimeout bounds the wait until an intent is committed; a query spends at
	// most half of its time on it.
	IntentTimeout = 3 * identifier.Second
	// LedgerCapacity is how many requests the ledger remembers at most.
	LedgerCapacity = 200000
	// MaxStoredOutcome bounds the bytes of an answer that the ledger stores whole.
	MaxStoredOutcome identifier.Bytes = 64 << 10
)

var ledgerLimits = deduplicator.Limits{Window: LedgerWindow, Tolerance: LedgerTolerance, Capacity: LedgerCapacity}

// SingleDispatchInvariant says that a host dispatches a request that is not
// repeatable at most once, and only while no other send of it is in flight.
const SingleDispatchInvariant Invariant = "single-dispatch"

// The kinds of failure of requests that are not repeatable.
const (
	RequestExpired    FailureKind = "request-expired"
	RequestEarly      FailureKind = "request-early"
	KeyMismatched     FailureKind = "key-mismatch"
	OutcomeUnknown    FailureKind = "outcome-unknown"
	OutcomeNotStored  FailureKind = "outcome-not-stored"
	RequestWithdrawn  FailureKind = "request-withdrawn"
	ledgerUnavailable             = "no leader committed the intent in time"
)

// Events between the traffic states and control about requests that are not repeatable.
type (
	// IntentRequested asks control to commit an intent by the deadline.
	IntentRequested struct {
		operationEvent
		Intent   deduplicator.Intent
		Deadline identifier.Instant
	}
	// IntentReturned says that a request did not run and never will.
	IntentReturned struct {
		operationEvent
		Intent deduplicator.Intent
	}
	// OutcomeReported says how a request ended that may have run.
	OutcomeReported struct {
		operationEvent
		Intent  deduplicator.Intent
		Outcome Outcome
	}
	// IntentAnswered tells the query what came of its intent. Answer is nil when no
	// leader answered.
	IntentAnswered struct {
		queryEvent
		Request identifier.RequestID
		Answer  Answer
	}
)

// Key returns the request of the query.
func (e IntentAnswered) Key() identifier.RequestID { return e.Request }

// recording is how far a query that is not repeatable has come with the ledger.
type recording uint8

const (
	// unrecorded means that the intent is not known to be committed; nothing may run.
	unrecorded recording = iota
	// recorded means that this query alone may run.
	recorded
	// decided means that the ledger refused the query; there is nothing to store.
	decided
)

// intentOf returns the ledger's record of a query.
func intentOf(e QueryArrived) deduplicator.Intent {
	return deduplicator.Intent{
		Key:         deduplicator.Key{Customer: e.Customer, Key: e.IdempotencyKey},
		Request:     e.Request,
		IssuedAt:    e.IssuedAt,
		Fingerprint: e.Fingerprint,
	}
}

// recordIntent asks control to commit the intent of a query before it runs.
func (s *State) recordIntent(q *query) {
	wait := min(IntentTimeout, q.deadline.Since(s.now)/2)
	s.emit(Send{To: s.parameters.Host, Event: IntentRequested{Intent: intentOf(q.QueryArrived), Deadline: s.now.Add(wait)}})
}

// receiveDecision dispatches a query whose intent is committed, or ends it.
func (s *State) receiveDecision(e IntentAnswered) {
	q, ok := s.traffic.queries[e.Request]
	if !ok || q.recording != unrecorded {
		return
	}
	if s.endIfOverdue(q) {
		return
	}
	answer, ok := e.Answer.(IntentDecided)
	if !ok {
		s.conclude(q, Failed{Kind: LedgerMissing, Ran: RanNo, Message: ledgerUnavailable})
		return
	}
	if _, granted := answer.Decision.(deduplicator.Granted); !granted {
		q.recording = decided
		s.conclude(q, refusalOf(answer))
		return
	}
	key := intentOf(q.QueryArrived).Key
	_, running := s.traffic.running[key]
	s.require(!running, SingleDispatchInvariant, string(key.Customer)+"/"+string(key.Key))
	s.traffic.running[key] = q.Request
	q.recording = recorded
	q.begin(s.pin(s.currentPolicy(q)))
	if failure := s.overload(q); failure != nil {
		s.conclude(q, *failure)
		return
	}
	s.scatter(q)
}

// refusalOf returns the reply to a query whose intent was not granted.
func refusalOf(a IntentDecided) Outcome {
	switch a.Decision.(type) {
	case deduplicator.Settled:
		return a.Outcome
	case deduplicator.Unsettled:
		return Failed{Kind: OutcomeUnknown, Ran: RanMaybe, Message: "an earlier send of the request may have run"}
	case deduplicator.Expired:
		return Failed{Kind: RequestExpired, Ran: RanNo, Message: "the request was issued too long ago; this send did not run"}
	case deduplicator.Early:
		return Failed{Kind: RequestEarly, Ran: RanNo, Message: "issued-at lies in the future"}
	case deduplicator.Mismatched:
		return Failed{Kind: KeyMismatched, Ran: RanNo, Message: "another request has the same idempotency key"}
	case deduplicator.Withdrawn:
		return Failed{Kind: RequestWithdrawn, Ran: RanNo, Message: "the request was withdrawn before it ran"}
	}
	return Failed{Kind: LedgerMissing, Ran: RanNo, Message: "the ledger is full"}
}

// settle tells the ledger how a query ended that is not repeatable: its outcome
// if it may have run, else that its key is free again.
func (s *State) settle(q *query, o Outcome) {
	if q.Repeatable || q.recording == decided {
		return
	}
	intent := intentOf(q.QueryArrived)
	if s.traffic.running[intent.Key] == q.Request {
		delete(s.traffic.running, intent.Key)
	}
	if f, failed := o.(Failed); failed && f.Ran == RanNo {
		s.emit(Send{To: s.parameters.Host, Event: IntentReturned{Intent: intent}})
		return
	}
	s.emit(Send{To: s.parameters.Host, Event: OutcomeReported{Intent: intent, Outcome: storable(o)}})
}

// storable returns the outcome as the ledger stores it.
func storable(o Outcome) Outcome {
	a, ok := o.(Answered)
	if !ok {
		return o
	}
	var size identifier.Bytes
	for _, p := range a.Parts {
		size += identifier.Bytes(len(p.Body))
	}
	if size <= MaxStoredOutcome {
		return o
	}
	return Failed{Kind: OutcomeNotStored, Ran: RanYes, Coverage: a.Coverage, Message: "the request ran; its answer is too large to be stored"}
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// LedgerWindow is how long after its issued-at a non-repeatable request is kept in the ledger.
	LedgerWindow = 60 * identifier.Minute
	// LedgerTolerance is how far an issued-at may be ahead of the leader's clock.
	LedgerTolerance = 1 * identifier.Minute
	// IntentTimeout limits the wait for an intent to be committed. A query spends at most
	// half of its remaining time on that wait.
	IntentTimeout = 3 * identifier.Second
	// LedgerCapacity is the maximum number of requests in the ledger.
	LedgerCapacity = 200000
	// MaxStoredOutcome is the maximum size of an answer that the ledger stores. Of a larger one
	// it stores only that the request ran.
	MaxStoredOutcome identifier.Bytes = 64 << 10
)

var ledgerLimits = deduplicator.Limits{Window: LedgerWindow, Tolerance: LedgerTolerance, Capacity: LedgerCapacity}

// SingleDispatchInvariant requires that a host dispatches a non-repeatable request at most
// once, and only while no other send of it is in flight.
const SingleDispatchInvariant Invariant = "single-dispatch"

// The kinds of failure of non-repeatable requests.
const (
	RequestExpired           FailureKind = "request-expired"
	RequestEarly             FailureKind = "request-early"
	KeyMismatched            FailureKind = "key-mismatch"
	OutcomeUnknown           FailureKind = "outcome-unknown"
	OutcomeNotStored         FailureKind = "outcome-not-stored"
	RequestWithdrawn         FailureKind = "request-withdrawn"
	uncommittedIntentMessage             = "no leader committed the intent in time"
)

// Events between the traffic states and the control state about non-repeatable requests.
type (
	// IntentRequested asks the control state to commit an intent by the deadline.
	IntentRequested struct {
		operationEvent
		Intent   deduplicator.Intent
		Deadline identifier.Instant
	}
	// IntentReturned reports that a request did not run and never will.
	IntentReturned struct {
		operationEvent
		Intent deduplicator.Intent
	}
	// OutcomeReported reports the outcome of a request that may have run.
	OutcomeReported struct {
		operationEvent
		Intent  deduplicator.Intent
		Outcome Outcome
	}
	// IntentAnswered sends the query the decision on its intent. Answer is nil if no leader
	// answered.
	IntentAnswered struct {
		queryEvent
		Request identifier.RequestID
		Answer  Answer
	}
)

// Key returns the request of the query.
func (e IntentAnswered) Key() identifier.RequestID { return e.Request }

// ledgerState is the ledger's progress on a non-repeatable query.
type ledgerState uint8

const (
	// intentPending means that the intent is not known to be committed, so nothing may run.
	intentPending ledgerState = iota
	// intentCommitted means that this query, and no other send of the request, may run.
	intentCommitted
	// intentRefused means that the ledger refused the query, so there is no outcome to store.
	intentRefused
)

// intentOf returns the intent of a query for the ledger.
func intentOf(e QueryArrived) deduplicator.Intent {
	return deduplicator.Intent{
		Key:         deduplicator.Key{Customer: e.Customer, Key: e.IdempotencyKey},
		Request:     e.Request,
		IssuedAt:    e.IssuedAt,
		Fingerprint: e.Fingerprint,
	}
}

// recordIntent asks the control state to commit the intent of a query before the query runs.
func (s *State) recordIntent(q *query) {
	wait := min(IntentTimeout, q.deadline.Since(s.now)/2)
	s.emit(Send{To: s.parameters.Host, Event: IntentRequested{Intent: intentOf(q.QueryArrived), Deadline: s.now.Add(wait)}})
}

// receiveDecision dispatches a query whose intent is committed; otherwise it ends the query.
func (s *State) receiveDecision(e IntentAnswered) {
	q, ok := s.traffic.queries[e.Request]
	if !ok || q.ledgerState != intentPending {
		return
	}
	if s.endIfOverdue(q) {
		return
	}
	answer, ok := e.Answer.(IntentDecided)
	if !ok {
		s.endQueryWithOutcome(q, Failed{Kind: LedgerUnavailable, Ran: RanNo, Message: uncommittedIntentMessage})
		return
	}
	if _, granted := answer.Decision.(deduplicator.Granted); !granted {
		q.ledgerState = intentRefused
		s.endQueryWithOutcome(q, refusalOf(answer))
		return
	}
	key := intentOf(q.QueryArrived).Key
	_, running := s.traffic.running[key]
	s.require(!running, SingleDispatchInvariant, string(key.Customer)+"/"+string(key.Key))
	s.traffic.running[key] = q.Request
	q.ledgerState = intentCommitted
	q.usePlan(s.pinnedPlan(s.currentPolicy(q)))
	if failure := s.overloadFailure(q); failure != nil {
		s.endQueryWithOutcome(q, *failure)
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
	return Failed{Kind: LedgerUnavailable, Ran: RanNo, Message: "the ledger is full"}
}

// reportOutcome notifies the ledger of the end of a non-repeatable query: with its outcome if
// it may have run, else with the return of its intent, which frees the key.
func (s *State) reportOutcome(q *query, o Outcome) {
	if q.Repeatable || q.ledgerState == intentRefused {
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
	s.emit(Send{To: s.parameters.Host, Event: OutcomeReported{Intent: intent, Outcome: storedOutcome(o)}})
}

// storedOutcome returns the outcome as stored in the ledger, without an answer that is too large.
func storedOutcome(o Outcome) Outcome {
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

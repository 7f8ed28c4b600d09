package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/coverer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// Spans of a query.
const (
	// MaxReplyMargin bounds the time kept back from a query's timeout for its reply to travel.
	MaxReplyMargin = 5 * identifier.Millisecond
	// replyMarginDivisor is the part of a query's timeout that is kept back.
	replyMarginDivisor = 20
)

// Invariants of queries.
const (
	// CoverageInvariant says that the coverage of an answer is the sum of its parts' ranges.
	CoverageInvariant Invariant = "coverage-is-the-parts"
	// RanInvariant says that a query reported as not run has no attempt that may have run.
	RanInvariant Invariant = "not-run-is-true"
	// HedgeInvariant says that hedges stay within their budget.
	HedgeInvariant Invariant = "hedges-within-budget"
	// RetryInvariant says that budgeted retries stay within their budget.
	RetryInvariant Invariant = "retries-within-budget"
	// OnceInvariant says that no part of a query that is not repeatable runs twice.
	OnceInvariant Invariant = "not-repeated"
)

// query is one caller's query in progress.
type query struct {
	QueryArrived
	policy        *configurer.Policy
	configuration identifier.Version
	rank          identifier.Rank
	arrival       identifier.Instant
	deadline      identifier.Instant
	minCoverage   identifier.Ratio
	plan          *planner.Plan
	coverage      *coverer.Coverer
	parts         []Part
	// attempts holds every attempt of the query; the index is the sequence less 1.
	attempts []attempt
	shards   []shard
	// open, waiting and parked count attempts in flight, shards that wait for a
	// retry, and shards held back because the query is suspect.
	open, waiting, parked int
	replans               int
	// dropped are the servers that no longer hold the pinned snapshot.
	dropped []identifier.ServerID
	// hedgeTimer is the instant of the query's next hedgeDue.
	hedgeTimer identifier.Instant
	// ran is set once an attempt may have run.
	ran bool
	// asked is set while the query waits for a permit to probe or holds one.
	asked   bool
	arbiter identifier.HostID
	// granted is set while the query may send a probe; probing, while one is in flight.
	granted, probing bool
	// recording is how far the ledger has come with a query that is not repeatable.
	recording recording
}

// shard is the progress of one shard of a query's plan.
type shard struct {
	tries   int
	open    int
	waiting bool
	parked  bool
	// ran is set once an attempt may have run.
	ran bool
	// last is the server of the latest attempt.
	last identifier.ServerID
}

func (s *State) reduceQuery(event QueryEvent) {
	switch e := event.(type) {
	case QueryArrived:
		s.admit(e)
	case IntentAnswered:
		s.receiveDecision(e)
	case QueryAbandoned:
		s.abandon(e.Request)
	case AttemptServed:
		s.hearEstimate(e.Server, e.Estimate)
		s.mergePart(e)
	case AttemptRefused:
		s.hearEstimate(e.Server, e.Estimate)
		s.handleRefused(e)
	case AttemptLost:
		s.handleLost(e)
	case ProbeGranted:
		s.probe(e)
	}
}

// admit checks a query against its customer's policy, plans it and sends its attempts.
func (s *State) admit(e QueryArrived) {
	s.count(QueriesCounter, e.Customer, 0)
	policy, rank, failure := s.classify(e)
	if failure != nil {
		s.reject(e, policy, rank, *failure)
		return
	}
	limits := policy.Limits[rank]
	timeout := min(e.Timeout, limits.Timeout)
	q := &query{
		QueryArrived:  e,
		policy:        policy,
		configuration: s.traffic.view.Configuration,
		rank:          rank,
		arrival:       s.now,
		deadline:      s.now.Add(timeout - replyMargin(timeout)),
		minCoverage:   max(e.MinCoverage, limits.MinCoverage),
		plan:          s.pin(policy),
		hedgeTimer:    identifier.Never,
	}
	if failure := s.refuseOnArrival(q); failure != nil {
		s.reject(e, policy, rank, *failure)
		return
	}
	s.traffic.queries[e.Request] = q
	s.schedule(q.deadline, queryDue{e.Request})
	q.begin(q.plan)
	if !e.Repeatable {
		s.recordIntent(q)
		return
	}
	s.scatter(q)
}

// reject ends a query of which nothing has run. The policy is nil when the query
// names no customer or kind of work, so that no objective applies.
func (s *State) reject(e QueryArrived, policy *configurer.Policy, rank identifier.Rank, failure Failed) {
	s.count(FailuresCounter, e.Customer, rank)
	if policy != nil {
		s.observe(e.Customer, rank, policy.Limits[rank], 0, failure)
	}
	s.emit(Reply{Request: e.Request, Outcome: failure})
}

// replyMargin returns the time kept back from a timeout for the reply to travel, in microseconds.
func replyMargin(timeout identifier.Micros) identifier.Micros {
	return min(MaxReplyMargin, timeout/replyMarginDivisor)
}

// classify finds the policy and rank of a query, or why it can't run.
func (s *State) classify(e QueryArrived) (*configurer.Policy, identifier.Rank, *Failed) {
	if s.traffic.view.Configuration == 0 {
		return nil, 0, &Failed{Kind: NotReady, Ran: RanNo, Message: "no configuration is in force yet"}
	}
	policy, ok := s.traffic.view.Policies[e.Customer]
	if !ok {
		return nil, 0, &Failed{Kind: UnknownCustomer, Ran: RanNo, Message: "the customer does not exist"}
	}
	rank, ok := policy.Works[e.Work]
	if !ok {
		return nil, 0, &Failed{Kind: UnknownWork, Ran: RanNo, Message: "the customer has no such kind of work"}
	}
	if !e.Repeatable && len(s.parameters.ControlHosts) == 0 {
		return policy, rank, &Failed{Kind: LedgerMissing, Ran: RanNo, Message: "requests that are not repeatable need control hosts"}
	}
	// Without the ledger's word an earlier send of a request that is not repeatable may have run.
	if e.Repeatable && s.standing(e.Fingerprint) == quarantiner.Quarantined {
		return policy, rank, s.quarantined(e.Fingerprint)
	}
	return policy, rank, nil
}

// begin makes a plan the query's own; nothing of an earlier plan is kept.
func (q *query) begin(p *planner.Plan) {
	q.plan = p
	q.coverage = coverer.New(p.Ranges)
	q.shards = make([]shard, len(p.Shards))
	q.dropped = nil
	q.parts = nil
	if q.attempts == nil {
		q.attempts = make([]attempt, 0, len(p.Shards)+1)
		q.parts = make([]Part, 0, len(p.Shards))
	}
}

// scatter sends an attempt for each shard of the plan that has a server.
func (s *State) scatter(q *query) {
	for i := range q.shards {
		s.start(q, i)
	}
	s.armHedges(q)
	s.finishIfSettled(q)
}

// finishIfSettled ends a query that is complete or has nothing left to wait for.
func (s *State) finishIfSettled(q *query) {
	if s.traffic.queries[q.Request] != q {
		return
	}
	if q.coverage.Complete() || q.open+q.waiting+q.parked == 0 {
		s.finish(q, s.settledKind(q))
	}
}

// settledKind returns how a query fails that has nothing left to wait for.
func (s *State) settledKind(q *query) FailureKind {
	if s.standing(q.Fingerprint) == quarantiner.Quarantined {
		return Quarantined
	}
	return CoverageTooLow
}

// endQueryAtDeadline ends a query with what it has. Until then it waits for every
// shard, even when its least coverage is met: a more complete answer in time is
// worth more than an early one.
// endIfOverdue ends a query whose deadline has passed before its timer was
// handled, as on a host that was frozen, and reports whether it did. Nothing may
// start for such a query: it would turn "not run" into "maybe".
func (s *State) endIfOverdue(q *query) bool {
	if s.now < q.deadline {
		return false
	}
	s.endQueryAtDeadline(q.Request)
	return true
}

func (s *State) endQueryAtDeadline(request identifier.RequestID) {
	if q, ok := s.traffic.queries[request]; ok {
		q.ran = q.ran || q.open > 0
		s.finish(q, TimedOut)
	}
}

// finish ends a query: an answer when its coverage suffices, else a failure of the given kind.
func (s *State) finish(q *query, kind FailureKind) {
	s.require(q.ran || q.open == 0, RanInvariant, string(q.Request))
	s.require(q.partsWidth() == q.coverage.Width(), CoverageInvariant, string(q.Request))
	s.conclude(q, q.outcome(kind))
}

// conclude ends a query with an outcome.
func (s *State) conclude(q *query, outcome Outcome) {
	s.drop(q)
	counter := AnswersCounter
	if _, failed := outcome.(Failed); failed {
		counter = FailuresCounter
	}
	s.count(counter, q.Customer, q.rank)
	s.observe(q.Customer, q.rank, q.policy.Limits[q.rank], s.now.Since(q.arrival), outcome)
	s.emit(Reply{Request: q.Request, Outcome: outcome})
	s.settle(q, outcome)
}

// partsWidth sums the hash ranges of the parts.
func (q *query) partsWidth() identifier.HashPoint {
	var width identifier.HashPoint
	for i := range q.parts {
		width += q.parts[i].Range.Width()
	}
	return width
}

// outcome returns the answer when its coverage suffices, else a failure of the given kind.
func (q *query) outcome(kind FailureKind) Outcome {
	coverage := q.coverage.Ratio()
	if coverage > 0 && coverage >= q.minCoverage {
		return Answered{
			Configuration: q.configuration,
			Snapshot:      q.plan.Snapshot,
			Coverage:      coverage,
			Parts:         q.parts,
		}
	}
	ran := RanNo
	if q.ran {
		ran = RanMaybe
	}
	return Failed{
		Kind:     kind,
		Ran:      ran,
		Coverage: coverage,
		Message:  kind.message(),
	}
}

// abandon drops a query whose caller has gone. What is not repeatable goes on, so
// that its outcome is stored.
func (s *State) abandon(request identifier.RequestID) {
	if q, ok := s.traffic.queries[request]; ok && q.Repeatable {
		s.drop(q)
	}
}

// drop forgets a query and cancels its open attempts.
func (s *State) drop(q *query) {
	delete(s.traffic.queries, q.Request)
	s.returnPermit(q)
	s.cancelOpen(q)
}

func (s *State) count(c Counter, customer identifier.CustomerID, rank identifier.Rank) {
	s.emit(Count{Counter: c, Customer: customer, Rank: rank})
}

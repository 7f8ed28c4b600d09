package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/coverer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

// Time reserved for the reply to a query.
const (
	// MaxReplyMargin limits the time reserved from a query's timeout for the reply's network latency.
	MaxReplyMargin = 5 * identifier.Millisecond
	// replyMarginDivisor divides a query's timeout to give the reserved time.
	replyMarginDivisor = 20
)

// Invariants of queries.
const (
	// CoverageInvariant requires the coverage of an answer to equal the sum of its parts' ranges.
	CoverageInvariant Invariant = "coverage-is-the-parts"
	// RanInvariant requires that a query is reported as not run only if none of its attempts can
	// have run.
	RanInvariant Invariant = "not-run-is-true"
	// HedgeInvariant requires hedges to stay within their budget.
	HedgeInvariant Invariant = "hedges-within-budget"
	// RetryInvariant requires budgeted retries to stay within their budget.
	RetryInvariant Invariant = "retries-within-budget"
	// QueryOnceInvariant requires that no part of a non-repeatable query runs twice.
	QueryOnceInvariant Invariant = "not-repeated"
)

// query is the state of one caller's query in progress.
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
	// attempts holds every attempt of the query, at index Sequence-1.
	attempts []queryAttempt
	shards   []shard
	// openAttempts is the number of attempts in flight, waitingShards the number of shards that
	// wait for a retry, and parkedShards the number of shards parked because the query is suspect.
	openAttempts, waitingShards, parkedShards int
	replans                                   int
	// staleServers are the servers that no longer hold the pinned snapshot.
	staleServers []identifier.ServerID
	// hedgeTimer is the instant of the query's next hedgeDue timer.
	hedgeTimer identifier.Instant
	// ran is set once an attempt may have run.
	ran bool
	// permitRequested is set while the query waits for a permit to probe or holds one.
	permitRequested bool
	arbiter         identifier.HostID
	// permitGranted is set while the query holds a permit to probe, and probeInFlight while a
	// probe is in flight.
	permitGranted, probeInFlight bool
	// ledgerState is the ledger's progress on a non-repeatable query.
	ledgerState ledgerState
}

// shard is the state of one shard of a query's plan.
type shard struct {
	attemptCount    int
	openAttempts    int
	waitingForRetry bool
	parked          bool
	// ran is set once an attempt may have run.
	ran bool
	// lastServer is the server of the latest attempt.
	lastServer identifier.ServerID
}

func (s *State) reduceQuery(event QueryEvent) {
	switch e := event.(type) {
	case QueryArrived:
		s.admit(e)
	case IntentAnswered:
		s.receiveDecision(e)
	case QueryAbandoned:
		s.abandonQuery(e.Request)
	case AttemptServed:
		s.receiveEstimate(e.Server, e.Estimate)
		s.handleAttemptServed(e)
	case AttemptRefused:
		s.receiveEstimate(e.Server, e.Estimate)
		s.handleAttemptRefused(e)
	case AttemptLost:
		s.handleAttemptLost(e)
	case ProbeGranted:
		s.sendProbe(e)
	}
}

// admit checks a query against its customer's policy, plans it and sends its attempts. A
// non-repeatable query first has its intent recorded in the ledger.
func (s *State) admit(e QueryArrived) {
	s.count(QueriesCounter, e.Customer, 0)
	policy, rank, failure := s.classify(e)
	if failure != nil {
		s.reject(e, policy, rank, *failure)
		return
	}
	limits := policy.Ranks[rank]
	timeout := min(e.Timeout, limits.Timeout)
	q := &query{
		QueryArrived:  e,
		policy:        policy,
		configuration: s.traffic.view.Configuration,
		rank:          rank,
		arrival:       s.now,
		deadline:      s.now.Add(timeout - replyMargin(timeout)),
		minCoverage:   max(e.MinCoverage, limits.MinCoverage),
		plan:          s.pinnedPlan(policy),
		hedgeTimer:    identifier.Never,
	}
	if failure := s.arrivalFailure(q); failure != nil {
		s.reject(e, policy, rank, *failure)
		return
	}
	s.traffic.queries[e.Request] = q
	s.schedule(q.deadline, queryDue{e.Request})
	q.usePlan(q.plan)
	if !e.Repeatable {
		s.recordIntent(q)
		return
	}
	s.scatter(q)
}

// reject ends a query of which nothing has run. The policy is nil if classify found none; the
// query is then not counted for a service level objective.
func (s *State) reject(e QueryArrived, policy *configurer.Policy, rank identifier.Rank, failure Failed) {
	s.count(FailuresCounter, e.Customer, rank)
	if policy != nil {
		s.observe(e.Customer, rank, policy.Ranks[rank], 0, failure)
	}
	s.emit(Reply{Request: e.Request, Outcome: failure})
}

// replyMargin returns the time reserved from a timeout for the reply's network latency, in
// microseconds.
func replyMargin(timeout identifier.Micros) identifier.Micros {
	return min(MaxReplyMargin, timeout/replyMarginDivisor)
}

// classify returns the policy and rank of a query, or the failure if it can't run.
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
		return policy, rank, &Failed{Kind: LedgerUnavailable, Ran: RanNo, Message: "requests that are not repeatable need control hosts"}
	}
	// Until the ledger has decided, an earlier send of a non-repeatable request may have run.
	if e.Repeatable && s.fingerprintStatus(e.Fingerprint) == quarantiner.Quarantined {
		return policy, rank, s.quarantineFailure(e.Fingerprint)
	}
	return policy, rank, nil
}

// usePlan starts the query on a plan and discards all progress on an earlier plan.
func (q *query) usePlan(p *planner.Plan) {
	q.plan = p
	q.coverage = coverer.New(p.Ranges)
	q.shards = make([]shard, len(p.Shards))
	q.staleServers = nil
	q.parts = nil
	if q.attempts == nil {
		q.attempts = make([]queryAttempt, 0, len(p.Shards)+1)
		q.parts = make([]Part, 0, len(p.Shards))
	}
}

// scatter sends an attempt for each shard of the query's plan that has a server. The shards of a
// suspect query are parked instead.
func (s *State) scatter(q *query) {
	for i := range q.shards {
		s.startShard(q, i)
	}
	s.scheduleHedges(q)
	s.finishIfDone(q)
}

// finishIfDone ends a query that is complete or has nothing left to wait for.
func (s *State) finishIfDone(q *query) {
	if s.traffic.queries[q.Request] != q {
		return
	}
	if q.coverage.Complete() || q.openAttempts+q.waitingShards+q.parkedShards == 0 {
		s.finishQuery(q, s.failureKind(q))
	}
}

// failureKind returns the kind of failure of a query that has nothing left to wait for.
func (s *State) failureKind(q *query) FailureKind {
	if s.fingerprintStatus(q.Fingerprint) == quarantiner.Quarantined {
		return Quarantined
	}
	return CoverageTooLow
}

// endIfOverdue ends a query whose deadline passed before its timer was handled, as on a
// host that was frozen, and reports whether it did. No attempt may start for such a query,
// since that would change its reported state from "not run" to "maybe".
func (s *State) endIfOverdue(q *query) bool {
	if s.now < q.deadline {
		return false
	}
	s.endQueryAtDeadline(q.Request)
	return true
}

// endQueryAtDeadline ends a query with the parts it has. Until the deadline a query waits for
// every shard even if its minimum coverage is met: a more complete answer in time is worth
// more than an early one.
func (s *State) endQueryAtDeadline(request identifier.RequestID) {
	if q, ok := s.traffic.queries[request]; ok {
		q.ran = q.ran || q.openAttempts > 0
		s.finishQuery(q, TimedOut)
	}
}

// finishQuery ends a query with an answer if its coverage suffices, else with a failure of the
// given kind.
func (s *State) finishQuery(q *query, kind FailureKind) {
	s.require(q.ran || q.openAttempts == 0, RanInvariant, string(q.Request))
	s.require(q.partsWidth() == q.coverage.CoveredWidth(), CoverageInvariant, string(q.Request))
	s.endQueryWithOutcome(q, q.outcome(kind))
}

// endQueryWithOutcome removes a query, replies with the outcome and reports it to the ledger.
func (s *State) endQueryWithOutcome(q *query, outcome Outcome) {
	s.removeQuery(q)
	counter := AnswersCounter
	if _, failed := outcome.(Failed); failed {
		counter = FailuresCounter
	}
	s.count(counter, q.Customer, q.rank)
	s.observe(q.Customer, q.rank, q.policy.Ranks[q.rank], s.now.Since(q.arrival), outcome)
	s.emit(Reply{Request: q.Request, Outcome: outcome})
	s.reportOutcome(q, outcome)
}

// partsWidth returns the total width of the parts' hash ranges.
func (q *query) partsWidth() identifier.HashPoint {
	var width identifier.HashPoint
	for i := range q.parts {
		width += q.parts[i].Range.Width()
	}
	return width
}

// outcome returns the answer if its coverage suffices, else a failure of the given kind.
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

// abandonQuery removes a query whose caller has disconnected. A non-repeatable query continues
// so that its outcome is stored.
func (s *State) abandonQuery(request identifier.RequestID) {
	if q, ok := s.traffic.queries[request]; ok && q.Repeatable {
		s.removeQuery(q)
	}
}

// removeQuery removes a query and cancels its open attempts.
func (s *State) removeQuery(q *query) {
	delete(s.traffic.queries, q.Request)
	s.returnPermit(q)
	s.cancelOpenAttempts(q)
}

func (s *State) count(c Counter, customer identifier.CustomerID, rank identifier.Rank) {
	s.emit(Count{Counter: c, Customer: customer, Rank: rank})
}

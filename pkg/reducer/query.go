package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/admitter"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/coverer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
)

// MaxShardAttempts bounds the attempts for one shard of one query.
const MaxShardAttempts = 3

// traffic is the part of a state that the traffic goroutines use.
type traffic struct {
	view    *View
	queries map[identifier.RequestID]*query
	owner   owner
	// admitter knows the queues of the owners that this host submits to.
	admitter *admitter.Admitter
	// outstanding counts this state's own attempts in flight on each server.
	outstanding map[identifier.ServerID]int
}

func newTraffic() traffic {
	return traffic{
		view:        &View{},
		queries:     map[identifier.RequestID]*query{},
		owner:       newOwner(),
		admitter:    admitter.New(QueueLimit),
		outstanding: map[identifier.ServerID]int{},
	}
}

// query is one caller's query in progress.
type query struct {
	QueryArrived
	policy        *configurer.Policy
	configuration identifier.Version
	rank          identifier.Rank
	arrival       identifier.Instant
	deadline      identifier.Instant
	minCoverage   identifier.Ratio
	plan          planner.Plan
	coverage      *coverer.Coverer
	parts         []Part
	attempts      map[uint32]*attempt
	sequence      uint32
	// tries counts the attempts for each shard.
	tries []int
	// ran is set once an attempt may have run.
	ran bool
}

// attempt is one attempt to fetch the part of one shard.
type attempt struct {
	shard  int
	server identifier.ServerID
	owner  identifier.HostID
}

func (s *State) reduceQuery(event QueryEvent) {
	switch e := event.(type) {
	case QueryArrived:
		s.admit(e)
	case QueryAbandoned:
		s.abandon(e.Request)
	case AttemptServed:
		s.hearEstimate(e.Server, e.Estimate)
		s.mergePart(e)
	case AttemptRefused:
		s.hearEstimate(e.Server, e.Estimate)
		s.endAttempt(e.Attempt, false)
	case AttemptLost:
		s.endAttempt(e.Attempt, true)
	}
}

// admit checks a query against its customer's policy, plans it and sends its attempts.
func (s *State) admit(e QueryArrived) {
	s.count(QueriesCounter, e.Customer, 0)
	policy, rank, failure := s.classify(e)
	if failure != nil {
		s.count(FailuresCounter, e.Customer, rank)
		if policy != nil {
			s.observe(e.Customer, rank, policy.Limits[rank], 0, *failure)
		}
		s.emit(Reply{Request: e.Request, Outcome: *failure})
		return
	}
	limits := policy.Limits[rank]
	q := &query{
		QueryArrived:  e,
		policy:        policy,
		configuration: s.traffic.view.Configuration,
		rank:          rank,
		arrival:       s.now,
		deadline:      s.now.Add(min(e.Timeout, limits.Timeout)),
		minCoverage:   max(e.MinCoverage, limits.MinCoverage),
		plan:          planner.Pin(policy.Partition, s.announcements),
		coverage:      coverer.New(policy.Ranges),
		attempts:      map[uint32]*attempt{},
		tries:         make([]int, len(policy.Ranges)),
	}
	if s.refuseEarly(q) {
		return
	}
	s.traffic.queries[e.Request] = q
	s.schedule(q.deadline, queryDue{e.Request})
	for shard := range policy.Partition.Shards {
		s.submit(q, shard, "")
	}
	s.finishIfSettled(q)
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
	if !e.Repeatable {
		return policy, rank, &Failed{Kind: LedgerMissing, Ran: RanNo, Message: "requests that are not repeatable need the ledger"}
	}
	return policy, rank, nil
}

func (s *State) announcements(id identifier.ServiceID) []leaser.Announcement {
	return s.traffic.view.ByService[id]
}

// submit sends an attempt for a shard to the owner of one of its servers, other
// than the excluded one. It reports false when no server or no try is left.
func (s *State) submit(q *query, shard int, excluded identifier.ServerID) bool {
	id, ok := s.choose(q.plan.Servers[shard], excluded)
	if !ok || q.tries[shard] == MaxShardAttempts {
		return false
	}
	q.tries[shard]++
	server := s.traffic.view.Servers[id]
	q.sequence++
	q.attempts[q.sequence] = &attempt{shard: shard, server: id, owner: server.Owner}
	s.traffic.outstanding[id]++
	s.traffic.admitter.Submitted(id, q.rank)
	s.count(AttemptsCounter, q.Customer, q.rank)
	s.emit(Send{To: server.Owner, Event: AttemptSubmitted{
		From:        s.parameters.Host,
		Attempt:     identifier.AttemptID{Request: q.Request, Sequence: q.sequence},
		Server:      id,
		Customer:    q.Customer,
		Work:        q.Work,
		Rank:        q.rank,
		Remaining:   q.deadline.Since(s.now),
		Snapshot:    q.plan.Snapshot,
		Range:       q.policy.Ranges[shard],
		Repeatable:  q.Repeatable,
		Fingerprint: q.Fingerprint,
		Body:        q.Body,
	}})
	return true
}

// choose takes the server with the least own work in flight; ties are broken at random.
func (s *State) choose(candidates []identifier.ServerID, excluded identifier.ServerID) (identifier.ServerID, bool) {
	var best identifier.ServerID
	found := false
	ties := 0
	for _, id := range candidates {
		server, ok := s.traffic.view.Servers[id]
		if id == excluded || !ok || server.State == leaser.Draining || server.Owner == "" {
			continue
		}
		load := s.traffic.outstanding[id]
		switch {
		case !found || load < s.traffic.outstanding[best]:
			best, found, ties = id, true, 1
		case load == s.traffic.outstanding[best]:
			ties++
			if s.random.IntN(ties) == 0 {
				best = id
			}
		}
	}
	return best, found
}

// mergePart adds a part to the answer if it belongs to the pinned snapshot and to an open attempt.
func (s *State) mergePart(e AttemptServed) {
	q, a := s.takeAttempt(e.Attempt)
	if a == nil {
		return
	}
	q.ran = true
	if e.Snapshot != q.plan.Snapshot || e.Range != q.policy.Ranges[a.shard] {
		s.count(MismatchedPartCounter, q.Customer, q.rank)
		s.retry(q, a)
		return
	}
	if q.coverage.Cover(a.shard) {
		q.parts = append(q.parts, Part{
			Service: q.policy.Partition.Shards[a.shard].Service,
			Server:  e.Server,
			Range:   e.Range,
			Body:    e.Body,
		})
	}
	s.finishIfSettled(q)
}

// endAttempt handles an attempt that gave no part.
func (s *State) endAttempt(id identifier.AttemptID, ran bool) {
	q, a := s.takeAttempt(id)
	if a == nil {
		return
	}
	q.ran = q.ran || ran
	s.retry(q, a)
}

// loseAttempts ends the open attempts at the owners that have gone; they may have run.
func (s *State) loseAttempts(gone func(owner identifier.HostID) bool) {
	for _, request := range sortedKeys(s.traffic.queries) {
		q := s.traffic.queries[request]
		for n := uint32(1); n <= q.sequence; n++ {
			if a, ok := q.attempts[n]; ok && gone(a.owner) {
				s.endAttempt(identifier.AttemptID{Request: request, Sequence: n}, true)
			}
		}
	}
}

// retry sends another attempt for the shard to another server.
func (s *State) retry(q *query, a *attempt) {
	if s.submit(q, a.shard, a.server) {
		s.count(RetriesCounter, q.Customer, q.rank)
	}
	s.finishIfSettled(q)
}

// takeAttempt closes an open attempt and returns it, or nil when it is not open.
func (s *State) takeAttempt(id identifier.AttemptID) (*query, *attempt) {
	q, ok := s.traffic.queries[id.Request]
	if !ok {
		return nil, nil
	}
	a, ok := q.attempts[id.Sequence]
	if !ok {
		return q, nil
	}
	delete(q.attempts, id.Sequence)
	s.release(a.server)
	return q, a
}

func (s *State) release(server identifier.ServerID) {
	s.traffic.outstanding[server]--
	if s.traffic.outstanding[server] <= 0 {
		delete(s.traffic.outstanding, server)
	}
}

// finishIfSettled ends a query that is complete or has no open attempt.
func (s *State) finishIfSettled(q *query) {
	if q.coverage.Complete() || len(q.attempts) == 0 {
		s.finish(q, CoverageTooLow)
	}
}

func (s *State) endQueryAtDeadline(request identifier.RequestID) {
	if q, ok := s.traffic.queries[request]; ok {
		q.ran = q.ran || len(q.attempts) > 0
		s.finish(q, TimedOut)
	}
}

// finish ends a query: an answer when its coverage suffices, else a failure of the given kind.
func (s *State) finish(q *query, kind FailureKind) {
	s.drop(q)
	outcome := q.outcome(kind)
	counter := AnswersCounter
	if _, failed := outcome.(Failed); failed {
		counter = FailuresCounter
	}
	s.count(counter, q.Customer, q.rank)
	s.observe(q.Customer, q.rank, q.policy.Limits[q.rank], s.now.Since(q.arrival), outcome)
	s.emit(Reply{Request: q.Request, Outcome: outcome})
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
		Message:  "the answer is less complete than the customer requires",
	}
}

func (s *State) abandon(request identifier.RequestID) {
	if q, ok := s.traffic.queries[request]; ok {
		s.drop(q)
	}
}

// drop forgets a query and cancels its open attempts.
func (s *State) drop(q *query) {
	delete(s.traffic.queries, q.Request)
	for n := uint32(1); n <= q.sequence; n++ {
		a, ok := q.attempts[n]
		if !ok {
			continue
		}
		s.release(a.server)
		s.emit(Send{To: a.owner, Event: AttemptCancelled{
			Attempt: identifier.AttemptID{Request: q.Request, Sequence: n},
			Server:  a.server,
		}})
	}
}

func (s *State) count(c Counter, customer identifier.CustomerID, rank identifier.Rank) {
	s.emit(Count{Counter: c, Customer: customer, Rank: rank})
}

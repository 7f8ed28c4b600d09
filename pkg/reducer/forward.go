package reducer

import (
	"slices"
	"strings"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/merger"
	"github.com/lagooncleat/lagooncleat/pkg/splitter"
)

// Spans of a request.
const (
	// DeadlineMargin is how long before a request's end its last answer leaves, for the way
	// to the client and a busy processor.
	DeadlineMargin = 20 * identifier.Millisecond
	// deadlineDivisor is the part of a short timeout that the margin may take at most.
	deadlineDivisor = 10
	// ObjectiveMargin is the least time before the objective at which an answer leaves:
	// a round trip to a client of the region.
	ObjectiveMargin = 8 * identifier.Millisecond
	// objectiveDivisor is the part of the objective that is kept back besides, for a busy processor.
	objectiveDivisor = 25
	// CancelGrace is how long the answer of a cancelled attempt may still come before its
	// connection is closed: longer than a pause of a server, shorter than the half second
	// in which work for a client that has left must end.
	CancelGrace = 250 * identifier.Millisecond
	// UnreadyRetryAfter is when a client may come back to a host that has no declaration: the
	// time that control hosts need to elect a leader after all of them have restarted.
	UnreadyRetryAfter = 1500 * identifier.Millisecond
	// RefusedRetryAfter is when a client may come back after all servers refused its request.
	RefusedRetryAfter = 100 * identifier.Millisecond
	// ServerWait separates the looks for a server when none can be used.
	ServerWait = 50 * identifier.Millisecond
)

// Histograms of clients' requests.
const (
	// RequestHistogram is of the time from the arrival of a request to its answer.
	RequestHistogram Histogram = "request-seconds"
	// ExchangeHistogram is of the latency of served attempts.
	ExchangeHistogram Histogram = "exchange-seconds"
)

// Counters of clients' requests.
const (
	RequestsCounter        Counter = "requests"
	RequestAnswersCounter  Counter = "request-answers"
	PartialAnswersCounter  Counter = "partial-answers"
	LateAnswersCounter     Counter = "late-answers"
	RequestDeclinesCounter Counter = "request-declines"
	ExchangesCounter       Counter = "exchanges"
	DetoursCounter         Counter = "exchanges-to-other-domains"
)

func (s *State) reduceRequest(event RequestEvent) {
	switch e := event.(type) {
	case RequestArrived:
		s.acceptRequest(e)
	case RequestAbandoned:
		s.abandonRequest(e.Request)
	case ExchangeAnswered:
		s.takeAnswer(e)
	case ExchangeRefused:
		s.takeRefusal(e)
	case ExchangeLost:
		s.takeLoss(e)
	case PartsWanted:
		s.acceptDelegated(e)
	case PartsCame:
		s.takeParts(e)
	case PartsDropped:
		s.dropDelegated(e)
	}
}

// acceptRequest finds the route of a request and sends an attempt for each of its pieces.
func (s *State) acceptRequest(e RequestArrived) {
	fleet := s.traffic.view.Fleet
	if fleet == nil {
		s.declineAtOnce(e, Declined{Reason: NoDeclaration, Ran: RanNo, RetryAfter: UnreadyRetryAfter})
		return
	}
	route, ok := fleet.Routes.Match(e.Hostname, e.Path)
	if !ok {
		s.declineAtOnce(e, Declined{Reason: NoRoute, Ran: RanNo})
		return
	}
	timeout := route.Timeout
	if e.Remaining > 0 {
		timeout = min(timeout, e.Remaining)
	}
	q := &request{
		RequestArrived: e,
		asker:          clientAsker{},
		route:          route,
		version:        fleet.Declaration.Version,
		rank:           identifier.Rank(min(max(route.Priority, 0), identifier.RankCount-1)),
		arrival:        s.now,
		objective:      s.now.Add(route.Objective - ObjectiveMargin - route.Objective/objectiveDivisor),
		deadline:       s.now.Add(timeout - min(DeadlineMargin, timeout/deadlineDivisor)),
		timer:          identifier.Never,
	}
	q.late = min(q.deadline, s.now.Add(2*route.Objective))
	for _, id := range s.divide(route) {
		q.pieces = append(q.pieces, s.newPiece(id))
	}
	s.count(RequestsCounter, "", q.rank)
	s.traffic.requests[e.Request] = q
	s.delegate(q)
	s.seekAll(q)
	s.settleRequest(q)
}

// seekAll sends the first attempt for each piece that no other host gathers.
func (s *State) seekAll(q *request) {
	for i := range q.pieces {
		if q.pieces[i].open == 0 {
			s.seek(q, i)
		}
	}
}

// divide returns the services that a request of the route is sent to.
func (s *State) divide(r *declarer.Route) []identifier.ServiceID {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	if len(r.Targets) == 1 {
		return []identifier.ServiceID{r.Targets[0].Service}
	}
	known, ok := s.traffic.splitters[r.ID]
	if !ok || !known.Divides(r.Targets) {
		known = splitter.New(r.Targets)
		s.traffic.splitters[r.ID] = known
	}
	return []identifier.ServiceID{known.Next()}
}

// declineAtOnce ends a request that no route can take.
func (s *State) declineAtOnce(e RequestArrived, outcome Declined) {
	s.count(RequestDeclinesCounter, "", 0)
	s.log(RequestSubsystem, Info, "request declined", Field{"client-request", e.Parcel.Client},
		Field{"reason", string(outcome.Reason)}, versionField(s.traffic.view.Configuration))
	s.emit(ReplyRequest{Request: e.Request, Outcome: outcome})
}

// reviewRequest does what has fallen due for a request.
func (s *State) reviewRequest(t requestDue) {
	q, ok := s.traffic.requests[t.request]
	if !ok || t.at != q.timer {
		return
	}
	q.timer = identifier.Never
	if s.now < q.deadline {
		s.hedgeOverdue(q)
		for i := range q.pieces {
			if q.pieces[i].again <= s.now {
				s.seek(q, i)
			}
		}
	}
	s.settleRequest(q)
}

// settleRequest ends a request that is answered, or that time or servers have run out for,
// and else makes sure that it is looked at again in time.
func (s *State) settleRequest(q *request) {
	if s.traffic.requests[q.Request] != q {
		return
	}
	if a, ok := q.asker.(*hostAsker); ok {
		s.settleDelegated(q, a)
		return
	}
	complete := q.settled == len(q.pieces)
	switch {
	case complete, s.now >= q.deadline, s.now >= q.late && q.sufficient():
		s.concludeRequest(q, q.result(s.now >= q.deadline))
	case s.now >= q.objective && s.now < q.late && q.sufficient() && !q.missedObjective(s.now):
		s.concludeRequest(q, q.result(false))
	default:
		s.armRequest(q)
	}
}

// missedObjective reports whether the objective has passed, so that an answer is late anyway.
func (q *request) missedObjective(now identifier.Instant) bool {
	return now >= q.arrival.Add(q.route.Objective)
}

// sufficient reports whether the pieces that are in make an answer that the route accepts.
func (q *request) sufficient() bool {
	if len(q.route.Shards) == 0 {
		return q.served == 1
	}
	// The ratio is written in decimals, so that a share which equals it may come out below it.
	const rounding = 1e-9
	return q.served > 0 && float64(q.served) >= (float64(q.route.MinCoverage)-rounding)*float64(len(q.pieces))
}

// result returns the outcome from the pieces that are in.
func (q *request) result(overdue bool) RequestOutcome {
	if q.sufficient() {
		return q.answer()
	}
	if len(q.route.Shards) == 0 && q.pieces[0].failure != nil {
		return Relayed{Answer: *q.pieces[0].failure}
	}
	if !q.mayHaveRun() {
		reason := ServersRefused
		if !q.offered {
			reason = NoServer
		}
		return Declined{Reason: reason, Ran: RanNo, RetryAfter: RefusedRetryAfter}
	}
	reason := ServersFailed
	switch {
	case overdue:
		reason = RequestOverdue
	case len(q.route.Shards) > 0:
		reason = TooFewParts
	}
	return Declined{Reason: reason, Ran: RanMaybe}
}

// mayHaveRun reports whether a server may have run any attempt.
func (q *request) mayHaveRun() bool {
	return q.ran || slices.ContainsFunc(q.pieces, func(p piece) bool { return p.open > 0 })
}

// answer returns the answer of a request whose pieces suffice.
func (q *request) answer() RequestOutcome {
	if len(q.route.Shards) == 0 {
		return Relayed{Answer: *q.pieces[0].answer}
	}
	greatest := merger.New(q.route.Greatest)
	gathered := Gathered{Missing: len(q.pieces) - q.served}
	for i := range q.pieces {
		if a := q.pieces[i].answer; a != nil {
			gathered.Signatures = append(gathered.Signatures, a.Signature)
			greatest.Add(a.Body)
		}
	}
	for _, body := range q.batches {
		greatest.Add(body)
	}
	gathered.Body = greatest.Merged()
	return gathered
}

// lacking names the services whose pieces are not in, and who still holds an attempt for them:
// servers, and hosts that gather parts.
func (q *request) lacking() []Field {
	var services, holders []string
	for i := range q.pieces {
		if q.pieces[i].answer == nil {
			services = append(services, string(q.pieces[i].service))
		}
	}
	for _, a := range q.attempts {
		if a.open {
			holders = append(holders, string(a.server))
		}
	}
	for _, d := range q.delegations {
		if d.open {
			holders = append(holders, string(d.host))
		}
	}
	return []Field{{"lacking", strings.Join(services, " ")}, {"waiting-for", strings.Join(holders, " ")}}
}

// concludeRequest ends a request with an outcome.
func (s *State) concludeRequest(q *request, outcome RequestOutcome) {
	lacking := q.lacking()
	s.dropRequest(q)
	switch o := outcome.(type) {
	case Declined:
		s.count(RequestDeclinesCounter, "", q.rank)
		s.logRequest(q, Info, "request declined", append(lacking, Field{"reason", string(o.Reason)}, Field{"ran", string(o.Ran)})...)
	case Gathered:
		s.countAnswer(q)
		if o.Missing > 0 {
			s.count(PartialAnswersCounter, "", q.rank)
			s.logRequest(q, Info, "request answered in part", append(lacking, Field{"missing", formatCount(o.Missing)})...)
		}
	case Relayed:
		s.countAnswer(q)
		if !o.Answer.Success {
			s.logRequest(q, Info, "failure of the server passed on")
		}
	}
	s.emit(ReplyRequest{Request: q.Request, Outcome: outcome})
}

func (s *State) countAnswer(q *request) {
	s.count(RequestAnswersCounter, "", q.rank)
	s.emit(Time{Histogram: RequestHistogram, Rank: q.rank, Span: s.now.Since(q.arrival)})
	if q.missedObjective(s.now) {
		s.count(LateAnswersCounter, "", q.rank)
		s.logRequest(q, Debug, "request answered late")
	}
}

// abandonRequest drops a request whose client has gone.
func (s *State) abandonRequest(id identifier.RequestID) {
	if q, ok := s.traffic.requests[id]; ok {
		s.dropRequest(q)
		s.logRequest(q, Debug, "client left")
	}
}

// dropRequest forgets a request and cancels its open attempts.
func (s *State) dropRequest(q *request) {
	delete(s.traffic.requests, q.Request)
	for i, a := range q.attempts {
		if a.open {
			s.cancelSending(q, i)
		}
	}
	s.dropDelegations(q)
}

// armRequest schedules the next look at a request.
func (s *State) armRequest(q *request) {
	next := q.deadline
	for _, at := range []identifier.Instant{q.objective, q.late} {
		if at > s.now {
			next = min(next, at)
		}
	}
	for _, d := range q.delegations {
		if d.open {
			next = min(next, d.hedge)
		}
	}
	for _, a := range q.attempts {
		if a.open {
			next = min(next, a.hedge)
		}
	}
	for i := range q.pieces {
		next = min(next, q.pieces[i].again)
	}
	if next < q.timer {
		q.timer = next
		s.schedule(next, requestDue{request: q.Request, at: next})
	}
}

// logRequest writes a line about a request with what decides about it.
func (s *State) logRequest(q *request, level LogLevel, message string, more ...Field) {
	s.log(RequestSubsystem, level, message, append([]Field{
		{"client-request", q.Parcel.Client},
		{"route", string(q.route.ID)},
		versionField(q.version),
		{"elapsed-us", formatCount(int(s.now.Since(q.arrival)))},
		{"pieces", formatCount(len(q.pieces))},
		{"served", formatCount(q.served)},
		{"attempts", formatCount(len(q.attempts))},
	}, more...)...)
}

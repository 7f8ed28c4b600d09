package reducer

import (
	"slices"
	"strings"

	"github.com/lagooncleat/lagooncleat/pkg/aimer"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/merger"
	"github.com/lagooncleat/lagooncleat/pkg/splitter"
)

// Margins and delays of requests.
const (
	// DeadlineMargin is subtracted from a request's timeout, to leave time for the network
	// latency to the client and for a busy processor.
	DeadlineMargin = 20 * identifier.Millisecond
	// deadlineMarginDivisor divides the timeout to limit the margin of a short one.
	deadlineMarginDivisor = 10
	// CancelGrace is how long a cancelled attempt may still be answered before its connection
	// is closed: longer than a pause of a server, and shorter than the half second within
	// which work for a disconnected client must end.
	CancelGrace = 250 * identifier.Millisecond
	// NoDeclarationRetryAfter is the Retry-After of a host that has no declaration: the time
	// that control hosts need to elect a leader after all of them have restarted.
	NoDeclarationRetryAfter = 1500 * identifier.Millisecond
	// RefusedRetryAfter is the Retry-After of a request that no server accepted.
	RefusedRetryAfter = 100 * identifier.Millisecond
	// ServerRetryInterval is the delay before a piece without an available server is
	// dispatched again.
	ServerRetryInterval = 50 * identifier.Millisecond
)

// Histograms of clients' requests.
const (
	// RequestHistogram measures the time from the arrival of a request to its answer.
	RequestHistogram Histogram = "request-seconds"
	// ExchangeHistogram measures the latency of served attempts.
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
	RemoteExchangesCounter Counter = "exchanges-to-other-domains"
	// ClosedExchangesCounter counts the attempts whose server closed the connection without an answer.
	ClosedExchangesCounter Counter = "exchanges-closed"
)

func (s *State) reduceRequest(event RequestEvent) {
	switch e := event.(type) {
	case RequestArrived:
		s.acceptRequest(e)
	case RequestAbandoned:
		s.abandonRequest(e.Request)
	case ExchangeAnswered:
		s.handleExchangeAnswered(e)
	case ExchangeRefused:
		s.handleExchangeRefused(e)
	case ExchangeLost:
		s.handleExchangeLost(e)
	case PartsRequested:
		s.acceptDelegated(e)
	case PartsDelivered:
		s.handleParts(e)
	case PartsCancelled:
		s.cancelDelegated(e)
	case CreditAnswered:
		s.receiveCredit(e)
	case RouteAsked:
		s.explainRoute(e)
	case ColdCreditAnswered:
		s.receiveColdCredit(e)
	}
}

// acceptRequest matches a request to its route and dispatches its pieces.
func (s *State) acceptRequest(e RequestArrived) {
	fleet := s.traffic.view.Fleet
	if fleet == nil {
		s.declineArrived(e, Declined{Reason: NoDeclaration, Ran: RanNo, RetryAfter: NoDeclarationRetryAfter})
		return
	}
	route, ok := fleet.Routes.Match(e.Hostname, e.Path)
	if !ok {
		s.declineArrived(e, Declined{Reason: NoRoute, Ran: RanNo})
		return
	}
	customer, refusal := s.identify(&e, route)
	if refusal != nil {
		s.declineArrived(e, *refusal)
		return
	}
	if until, refused := s.refusedUntil(e.Fingerprint); refused {
		s.declineArrived(e, Declined{Reason: SuspectedCrash, Ran: RanNo, RetryAfter: until.Since(s.now)})
		return
	}
	q := s.newRequest(e, route, customer)
	for _, id := range s.targetServices(route) {
		q.pieces = append(q.pieces, s.newPiece(id))
	}
	s.count(RequestsCounter, "", q.rank)
	if customer != nil {
		s.count(CustomerRequestsCounter, customer.ID, q.rank)
	}
	s.traffic.requests[q.name] = q
	if from := s.sufficientFrom(q); from > 0 {
		s.count(UnavailablePiecesCounter, "", q.rank)
		s.finishRequest(q, s.unavailable(q, from))
		return
	}
	if s.refuseRejected(q) {
		return
	}
	if s.admitByQuota(q) {
		s.beginRequest(q)
	}
}

// newRequest returns a client's request without its pieces.
func (s *State) newRequest(e RequestArrived, route *declarer.Route, customer *declarer.Customer) *request {
	timeout := route.Timeout
	if e.Remaining > 0 {
		timeout = min(timeout, e.Remaining)
	}
	times := aimer.New(s.now, route.TargetLatency, e.Distance)
	q := &request{
		RequestArrived: e,
		name:           e.Key(),
		requester:      clientRequester{},
		route:          route,
		version:        s.traffic.view.Fleet.Declaration.Version,
		rank:           rankOf(route, customer),
		customer:       customer,
		arrival:        s.now,
		started:        times.Started,
		lateFrom:       times.LateFrom,
		answerAt:       times.AnswerAt,
		deadline:       s.now.Add(timeout - min(DeadlineMargin, timeout/deadlineMarginDivisor)),
		nextCheck:      identifier.Never,
		probing:        s.isSuspect(e.Fingerprint),
		homes:          newHomes(route.Homes, customerHomes(customer)),
	}
	q.partialAfter = min(q.deadline, s.now.Add(2*route.TargetLatency))
	return q
}

// beginRequest sends the first attempts of a request that has been admitted.
func (s *State) beginRequest(q *request) {
	s.delegate(q)
	s.dispatchPieces(q)
	s.finishOrSchedule(q)
}

// dispatchPieces sends the first attempt for each piece that is not delegated. A request that may
// crash servers first sends one to a service that has lost a call.
func (s *State) dispatchPieces(q *request) {
	if q.probing {
		for i := range q.pieces {
			if s.quarantiner.HasLostCall(q.Fingerprint, q.pieces[i].service) {
				s.dispatchPiece(q, i)
			}
		}
	}
	for i := range q.pieces {
		if p := &q.pieces[i]; p.openAttempts == 0 && !p.finished && p.retryAt == identifier.Never {
			s.dispatchPiece(q, i)
		}
	}
}

// targetServices returns the services that a request on the route is sent to: all shards, or
// one target as the traffic split decides.
func (s *State) targetServices(r *declarer.Route) []identifier.ServiceID {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	if len(r.Targets) == 1 {
		return []identifier.ServiceID{r.Targets[0].Service}
	}
	split, ok := s.traffic.splitters[r.ID]
	if !ok || !split.SameTargets(r.Targets) {
		split = splitter.New(r.Targets)
		s.traffic.splitters[r.ID] = split
	}
	return []identifier.ServiceID{split.Next()}
}

// declineArrived declines a request for which there is no declaration or no route, or which may
// not run.
func (s *State) declineArrived(e RequestArrived, outcome Declined) {
	s.count(RequestDeclinesCounter, "", 0)
	fields := append([]Field{
		{"client-request", e.Payload.ClientRequestID},
		{"reason", string(outcome.Reason)},
		fingerprintField(e.Fingerprint), versionField(s.traffic.view.Configuration),
	}, s.declineFields(&e, outcome)...)
	s.log(RequestSubsystem, Info, "request declined", fields...)
	s.emit(ReplyRequest{Request: e.Request, Outcome: outcome})
}

// handleRequestTimer handles the timer of a request: it sends the hedges and retries that are due,
// and finishes the request or schedules its next timer.
func (s *State) handleRequestTimer(t requestDue) {
	q, ok := s.traffic.requests[t.request]
	if !ok || t.at != q.nextCheck {
		return
	}
	q.nextCheck = identifier.Never
	if s.now < q.deadline {
		s.sendHedges(q)
		for i := range q.pieces {
			if q.pieces[i].retryAt <= s.now {
				s.dispatchPiece(q, i)
			}
		}
		s.resumePieces(q)
	}
	s.finishOrSchedule(q)
}

// finishOrSchedule finishes a request that is answered, can't be answered, or has run out of time or servers.
// Otherwise it schedules the request's next timer.
func (s *State) finishOrSchedule(q *request) {
	if s.traffic.requests[q.name] != q || q.credit == creditAwaited {
		return
	}
	if to, ok := q.requester.(*hostRequester); ok {
		s.deliverParts(q, to)
		return
	}
	complete := s.updateRationed(q) || q.lost || q.finished == len(q.pieces)
	switch {
	case complete, q.isLost(), s.now >= q.deadline, s.now >= q.partialAfter && q.sufficient():
		s.finishRequest(q, s.outcome(q, s.now >= q.deadline))
	case s.now >= q.answerAt && s.now < q.partialAfter && q.sufficient() && !q.missedTargetLatency(s.now):
		s.finishRequest(q, s.outcome(q, false))
	default:
		s.scheduleRequest(q)
	}
}

// isLost reports whether so many pieces won't be served that the answer can't be sufficient. A request that may
// crash servers goes on, since its other pieces show whether it does.
func (q *request) isLost() bool {
	return !q.mayCrashServers() && len(q.route.Shards) > 0 && !q.sufficientWith(len(q.pieces)-(q.finished-q.served))
}

// missedTargetLatency reports whether the target latency has passed, which makes any answer late.
func (q *request) missedTargetLatency(now identifier.Instant) bool {
	return now >= q.lateFrom
}

// sufficient reports whether the pieces served so far make an answer that the route accepts.
func (q *request) sufficient() bool {
	return q.sufficientWith(q.served)
}

// sufficientWith reports whether a number of served pieces makes an answer that the route accepts.
func (q *request) sufficientWith(served int) bool {
	if len(q.route.Shards) == 0 {
		return served == 1
	}
	// MinCoverage is a decimal fraction: without a tolerance, rounding could make an equal
	// coverage compare as lower.
	const tolerance = 1e-9
	return served > 0 && float64(served) >= (float64(q.route.MinCoverage)-tolerance)*float64(len(q.pieces))
}

// outcome returns the outcome of the request from the pieces served so far.
func (s *State) outcome(q *request, timedOut bool) RequestOutcome {
	if q.sufficient() {
		return q.answer()
	}
	if failure := q.pieces[0].failure; len(q.route.Shards) == 0 && failure != nil && !failure.Misleading {
		return Relayed{Answer: *failure}
	}
	if from := q.acceptedFrom(); from > 0 && !q.mayHaveRun() {
		return s.unavailable(q, from)
	}
	if !q.mayHaveRun() {
		reason := ServersRefused
		if !q.attempted {
			reason = NoServer
		}
		return Declined{Reason: reason, Ran: RanNo, RetryAfter: RefusedRetryAfter}
	}
	reason := ServersFailed
	switch {
	case timedOut:
		reason = RequestTimedOut
	case len(q.route.Shards) > 0:
		reason = TooFewParts
	}
	return Declined{Reason: reason, Ran: RanMaybe}
}

// acceptedFrom returns when the services of all pieces that were given up since no server accepted
// them accept an attempt; 0 if there are none.
func (q *request) acceptedFrom() identifier.Instant {
	from := identifier.Instant(0)
	for i := range q.pieces {
		from = max(from, q.pieces[i].acceptedFrom)
	}
	return from
}

// mayHaveRun reports whether a server may have run any attempt of the request.
func (q *request) mayHaveRun() bool {
	return q.ran || slices.ContainsFunc(q.pieces, func(p piece) bool { return p.openAttempts > 0 })
}

// answer returns the answer of a request whose served pieces are sufficient.
func (q *request) answer() RequestOutcome {
	if len(q.route.Shards) == 0 {
		return Relayed{Answer: *q.pieces[0].answer}
	}
	greatest := merger.New(q.route.TopK)
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

// missingFields returns log fields that name the services that have not answered, and the
// servers and delegates with open attempts.
func (q *request) missingFields() []Field {
	var services, pending []string
	for i := range q.pieces {
		if q.pieces[i].answer == nil {
			services = append(services, string(q.pieces[i].service))
		}
	}
	for _, a := range q.attempts {
		if a.open {
			pending = append(pending, string(a.server))
		}
	}
	for _, d := range q.delegations {
		if d.open {
			pending = append(pending, string(d.host))
		}
	}
	return []Field{{"lacking", strings.Join(services, " ")}, {"waiting-for", strings.Join(pending, " ")}}
}

// finishRequest removes a request, logs its outcome and replies to the client.
func (s *State) finishRequest(q *request, outcome RequestOutcome) {
	missing := q.missingFields()
	if servers := s.passedOver(q); servers != "" {
		missing = append(missing, Field{"passed-over", servers})
	}
	s.removeRequest(q)
	switch o := outcome.(type) {
	case Declined:
		s.count(RequestDeclinesCounter, "", q.rank)
		s.logRequest(q, Info, "request declined", append(missing, Field{"reason", string(o.Reason)},
			Field{"ran", string(o.Ran)}, fingerprintField(q.Fingerprint))...)
	case Gathered:
		s.countAnswer(q)
		if o.Missing > 0 {
			s.count(PartialAnswersCounter, "", q.rank)
			s.logRequest(q, Info, "request answered in part", append(missing, Field{"missing", formatCount(o.Missing)})...)
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
	s.emit(RecordDuration{Histogram: RequestHistogram, Rank: q.rank, Elapsed: s.now.Since(q.arrival)})
	if q.missedTargetLatency(s.now) {
		s.count(LateAnswersCounter, "", q.rank)
		s.logRequest(q, Debug, "request answered late")
	}
}

// abandonRequest removes a request whose client has disconnected.
func (s *State) abandonRequest(id identifier.RequestID) {
	if q, ok := s.traffic.requests[identifier.RequestName{Request: id}]; ok {
		s.removeRequest(q)
		s.logRequest(q, Debug, "client disconnected")
	}
}

// removeRequest removes a request and cancels its open attempts and delegations.
func (s *State) removeRequest(q *request) {
	delete(s.traffic.requests, q.name)
	s.returnCredit(q)
	s.reportLosses(q)
	for i, a := range q.attempts {
		if a.open {
			s.cancelExchange(q, i)
		}
	}
	s.cancelDelegations(q)
}

// scheduleRequest schedules the next timer of a request, for a hedge, a retry, its answer or its
// deadline.
func (s *State) scheduleRequest(q *request) {
	next := q.deadline
	for _, at := range []identifier.Instant{q.answerAt, q.partialAfter, q.settleAt} {
		if at > s.now {
			next = min(next, at)
		}
	}
	for _, d := range q.delegations {
		if d.open {
			next = min(next, d.hedgeAt)
		}
	}
	for _, a := range q.attempts {
		if a.open {
			next = min(next, a.hedgeAt)
		}
	}
	for i := range q.pieces {
		next = min(next, q.pieces[i].retryAt)
	}
	if next < q.nextCheck {
		q.nextCheck = next
		s.schedule(next, requestDue{request: q.name, at: next})
	}
}

// logRequest writes a log line with the common fields of a request.
func (s *State) logRequest(q *request, level LogLevel, message string, more ...Field) {
	s.log(RequestSubsystem, level, message, append([]Field{
		{"client-request", q.Payload.ClientRequestID},
		{"route", string(q.route.ID)},
		versionField(q.version),
		{"customer", string(q.customerID())},
		{"elapsed-us", formatCount(int(s.now.Since(q.arrival)))},
		{"pieces", formatCount(len(q.pieces))},
		{"served", formatCount(q.served)},
		{"attempts", formatCount(len(q.attempts))},
	}, more...)...)
}

package reducer

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

const (
	// usableConnectionShare is the share of a server's connections that hosts divide among
	// themselves: some connections are still closing, and hosts discover each other with a delay.
	usableConnectionShare = 0.95
	// localConnectionShare is the share of the usable connections for the hosts in the server's
	// own failure domain. Remote hosts need the rest for the burst of hedges when their local
	// server pauses.
	localConnectionShare = 0.6
	// A hedge is sent hedgeLeadFactor typical latencies plus hedgeSlack before its answer is
	// due: one attempt in twenty exceeds the typical latency, and the network adds to it.
	hedgeLeadFactor = 1.5
	hedgeSlack      = 4 * identifier.Millisecond
	// minHedgedAttempts is from how many attempts on their answers tell a late one from a request that is late as a whole.
	minHedgedAttempts = 4
	// unmeasuredLatencyDivisor divides the target latency to estimate the typical latency of a
	// service without measurements.
	unmeasuredLatencyDivisor = 3
	// A server with attempts in flight is stalled when it has answered nothing for longer than
	// both stallFactor typical latencies of its service and minStallDuration. The latter is
	// half the length of a pause: work sent to a server that has paused for that long may be
	// answered late.
	stallFactor      = 3
	minStallDuration = 60 * identifier.Millisecond
	// initialBackoff is how long a server is backed off after an attempt that could not reach it.
	// It doubles up to maxBackoff: a crashed server is back after some seconds.
	initialBackoff = 100 * identifier.Millisecond
	maxBackoff     = 1 * identifier.Second
	// earlyRefusalDivisor divides the target latency to give the time after which a request without
	// an available server is refused, while the client can still try elsewhere in time.
	earlyRefusalDivisor = 4
	// misdirectionBackoff is how long a server is backed off after another one answered at its
	// address.
	misdirectionBackoff = 5 * identifier.Second
)

// AcceptanceInvariant requires that a server that leaves, has asked for a pause or is evacuated gets no attempt.
const AcceptanceInvariant Invariant = "accepted-by-server"

// LimitInvariant requires that a server gets no attempt beyond this host's share of its limit.
const LimitInvariant Invariant = "within-server-limit"

// RequestOnceInvariant requires that a request that must not be repeated is not sent again while
// an earlier attempt may have run.
const RequestOnceInvariant Invariant = "sent-once"

// serverActivity tracks the attempts in flight on one server and how recent attempts ended.
type serverActivity struct {
	// open holds when each attempt in flight was sent.
	open       map[identifier.ExchangeID]identifier.Instant
	lastAnswer identifier.Instant
	// failures counts the attempts that failed since the last served one.
	failures int
	// backoffUntil is when the server may be used again after another one answered at its
	// address or it could not be reached; unreachable counts the backoffs since the server
	// last answered or refused an attempt.
	backoffUntil identifier.Instant
	unreachable  int
	// said is what the server says of itself, and listed what the server list says of that.
	said   selfReport
	listed ServerStatement
}

// recordUnreachable backs the server off for a time that doubles with each backoff, so that
// requests don't dial it one after the other. Attempts that fail during a backoff don't extend it.
func (a *serverActivity) recordUnreachable(now identifier.Instant) {
	if a.backoffUntil > now {
		return
	}
	a.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(a.unreachable, 10)))
	a.unreachable++
}

func (s *State) activity(id identifier.ServerID) *serverActivity {
	a, ok := s.traffic.serverActivities[id]
	if !ok {
		a = &serverActivity{open: map[identifier.ExchangeID]identifier.Instant{}}
		s.traffic.serverActivities[id] = a
	}
	return a
}

// stalled reports whether attempts are in flight and the server has answered nothing for longer
// than the limit.
func (a *serverActivity) stalled(now identifier.Instant, limit identifier.Micros) bool {
	oldest := identifier.Never
	for _, sent := range a.open {
		oldest = min(oldest, sent)
	}
	return oldest != identifier.Never && now.Since(max(oldest, a.lastAnswer)) > limit
}

// dispatchPiece sends an attempt for a piece. If no server can take it, the piece is retried
// later or given up.
func (s *State) dispatchPiece(q *request, index int) {
	p := &q.pieces[index]
	p.retryAt = identifier.Never
	if s.holdsBack(q) || s.rations(q, p) {
		return
	}
	if s.sendAttempt(q, index) || p.openAttempts > 0 {
		return
	}
	if !s.mayServe(q.customerID()) {
		s.finishPiece(q, index)
		return
	}
	at := s.now.Add(ServerRetryInterval)
	from := s.acceptedFrom(q, p.service)
	if from == 0 {
		from = s.coldFrom(q, p.service)
	}
	if from > 0 {
		if from >= s.acceptanceWaitEnd(q) {
			p.acceptedFrom = from
			s.count(UnavailablePiecesCounter, "", q.rank)
			s.finishPiece(q, index)
			return
		}
		at = from
	}
	if at >= q.deadline || s.exhausted(q, p) || s.refusesEarly(q, p) {
		s.finishPiece(q, index)
		return
	}
	p.refused = nil
	p.retryAt = at
}

// acceptanceWaitEnd returns until when a piece may wait for a server to accept it: as long as the answer
// can still meet the target latency, or the client of a single service can try elsewhere.
func (s *State) acceptanceWaitEnd(q *request) identifier.Instant {
	if len(q.route.Shards) > 0 {
		return min(q.answerAt, q.deadline)
	}
	return min(q.started.Add(q.route.TargetLatency/earlyRefusalDivisor), q.deadline)
}

// refusesEarly reports whether a request to a single service is given up: its servers have
// refused it, or none has become available while the client can still try elsewhere.
func (s *State) refusesEarly(q *request, p *piece) bool {
	if len(q.route.Shards) > 0 {
		return false
	}
	return len(p.refused) > 0 || s.now.Add(ServerRetryInterval) >= q.started.Add(q.route.TargetLatency/earlyRefusalDivisor)
}

// exhausted reports whether the route allows no further attempt for the piece.
func (s *State) exhausted(q *request, p *piece) bool {
	return p.sent >= max(1, q.route.MaxAttempts) || (p.ran && !q.route.Repeatable)
}

// finishPiece marks a piece as finished: nothing is pending for it.
func (s *State) finishPiece(q *request, index int) {
	p := &q.pieces[index]
	if !p.finished {
		p.finished = true
		p.retryAt = identifier.Never
		q.finished++
	}
}

// sendAttempt sends an attempt for a piece to one of its servers. It reports false when no
// server is eligible or the budget of extra attempts is spent.
func (s *State) sendAttempt(q *request, index int) bool {
	p := &q.pieces[index]
	if s.exhausted(q, p) || !s.mayServe(q.customerID()) {
		return false
	}
	backend, ok := s.chooseBackend(q, p)
	if !ok {
		return false
	}
	if !s.spendAttempt(q, p) {
		return false
	}
	validUntil, licensed := s.takeColdCredit(q, backend)
	s.require(licensed, ColdCreditInvariant, string(backend.Server))
	s.require(q.credit != creditAwaited, CreditInvariant, q.Payload.ClientRequestID)
	s.require(!s.isClosed(backend), AcceptanceInvariant, string(backend.Server))
	s.require(s.withinHomes(q, backend.Domain), HomesInvariant, string(backend.Server))
	if limit := s.activity(backend.Server).said.pacer; limit != nil {
		s.require(limit.Take(s.now, limitReserve(q.rank)), LimitInvariant, string(backend.Server))
	}
	s.require(q.route.Repeatable || (!p.ran && p.openAttempts == 0), RequestOnceInvariant, q.Payload.ClientRequestID)
	a := &requestAttempt{
		request: q, piece: index, route: q.route.ID, service: p.service, server: backend.Server, incarnation: backend.Incarnation, rank: q.rank,
		counted: len(q.route.Shards) == 0 || backend.Domain != s.parameters.Domain, sent: s.now, hedgeAt: identifier.Never, open: true,
	}
	a.hedgeAt = s.attemptHedgeTime(q, a)
	q.attempts = append(q.attempts, a)
	q.attempted = true
	p.openAttempts++
	p.sent++
	p.arrivals++
	p.tried = append(p.tried, backend.Server)
	id := q.exchangeID(len(q.attempts) - 1)
	s.traffic.requestAttempts[id] = a
	s.activity(backend.Server).open[id] = s.now
	s.traffic.chooser.RecordStart(backend.Server, q.rank)
	s.count(ExchangesCounter, "", q.rank)
	if backend.Domain != s.parameters.Domain {
		s.count(RemoteExchangesCounter, "", q.rank)
	}
	s.emit(Exchange{
		Attempt: id, Server: backend.Server, Address: backend.Address, Deadline: q.deadline,
		Connections: s.connectionLimit(p.service, backend.Domain), Fresh: !q.route.Repeatable || q.probing,
		Customer: q.customerID(), ValidUntil: earlierEnd(s.validUntil(q.customerID()), validUntil), Payload: q.Payload,
	})
	return true
}

// connectionLimit returns how many connections this host may hold to a server of the service
// in the domain. Most of a server's connections are for the hosts in its own failure domain,
// which send it most of its work.
func (s *State) connectionLimit(id identifier.ServiceID, domain identifier.DomainID) identifier.Connections {
	service, ok := s.traffic.view.Fleet.Services[id]
	if !ok {
		return 1
	}
	usable := float64(service.MaxConnections) * usableConnectionShare
	counts := s.traffic.view.Fleet.HostCounts
	if domain == s.parameters.Domain {
		return max(1, identifier.Connections(math.Round(usable*localConnectionShare/float64(counts.Local))))
	}
	return max(1, identifier.Connections(math.Round(usable*(1-localConnectionShare)/float64(max(1, counts.Remote)))))
}

// preference orders the servers of a service: an attempt goes to one of the least that has a server to take it.
type preference uint8

const (
	preferSound preference = iota
	// preferStalled servers have stopped answering.
	preferStalled
	// preferDegraded servers are degraded, or new and spared by this piece.
	preferDegraded
	preferSilent
)

// preferenceOf returns the preference of a server for a piece.
func (s *State) preferenceOf(p *piece, b *Backend) preference {
	switch {
	case b.Silent:
		return preferSilent
	case p.avoids(b):
		return preferDegraded
	case s.isStalled(p.service, b):
		return preferStalled
	}
	return preferSound
}

// chooseBackend picks the server for an attempt, preferably one that is neither silent,
// degraded nor stalled. Failing that, it accepts stalled, then degraded, then silent servers.
func (s *State) chooseBackend(q *request, p *piece) (*Backend, bool) {
	for worst := preferSound; worst <= preferSilent; worst++ {
		if b, ok := s.chooseCredited(q, p, s.collectBackends(q, p, worst)); ok {
			return b, true
		}
	}
	return nil, false
}

func (s *State) backend(service identifier.ServiceID, id identifier.ServerID) (*Backend, bool) {
	backends := s.traffic.view.Fleet.Backends[service]
	i := slices.IndexFunc(backends, func(b Backend) bool { return b.Server == id })
	if i < 0 {
		return nil, false
	}
	return &backends[i], true
}

// isStalled reports whether the server has stopped answering while attempts are in flight on it.
func (s *State) isStalled(service identifier.ServiceID, b *Backend) bool {
	a, ok := s.traffic.serverActivities[b.Server]
	if !ok || len(a.open) == 0 {
		return false
	}
	return a.stalled(s.now, max(minStallDuration, stallFactor*s.typicalLatency(service)))
}

// typicalLatency returns the highest typical latency of a service over all ranks, in microseconds.
func (s *State) typicalLatency(id identifier.ServiceID) identifier.Micros {
	typical := identifier.Micros(0)
	for r := range identifier.Rank(identifier.RankCount) {
		_, high := s.traffic.service(id).hedger.TypicalLatency(r)
		typical = max(typical, high)
	}
	return typical
}

// collectBackends returns the servers of the piece's service that are eligible for an attempt
// and have at least the preference.
func (s *State) collectBackends(q *request, p *piece, worst preference) []chooser.Candidate {
	candidates := s.traffic.candidates[:0]
	d, _ := s.parameters.Duty.(EntryDuty)
	backends := s.traffic.view.Fleet.Backends[p.service]
	for i := range backends {
		b := &backends[i]
		if slices.Contains(p.tried, b.Server) || slices.Contains(p.refused, b.Server) || s.preferenceOf(p, b) > worst ||
			!s.withinHomes(q, b.Domain) || !s.mayTake(b, q.rank) {
			continue
		}
		cold := s.isCold(b)
		detour, roundTrip := identifier.Micros(0), identifier.Micros(0)
		if b.Domain != s.parameters.Domain {
			detour, roundTrip = d.Detour, s.roundTrip(b.Domain)
		}
		candidates = append(candidates, chooser.Candidate{
			Server:      b.Server,
			Incarnation: b.Incarnation,
			Starting:    b.State == leaser.Starting && !cold,
			Rank:        q.rank,
			Slots:       b.Slots,
			Detour:      detour,
			Rejection:   p.rejectionOf(b),
			RoundTrip:   roundTrip,
			Ramped:      cold || s.isRamped(b),
		})
	}
	s.traffic.candidates = candidates
	return candidates
}

// attemptHedgeTime returns when to hedge an attempt: the latest time at which the hedge's answer
// can still meet the target latency, since hedging earlier would only send more hedges, but not
// before the typical latency has passed. It returns Never for a request that must not be repeated,
// for a piece with an earlier attempt that was not refused, and if that time is not before the
// deadline.
func (s *State) attemptHedgeTime(q *request, a *requestAttempt) identifier.Instant {
	if !q.route.Repeatable || q.probing || len(q.pieces[a.piece].tried) > 0 {
		return identifier.Never
	}
	_, typical := s.traffic.service(a.service).hedger.TypicalLatency(q.rank)
	return s.hedgeTimeFor(q, typical)
}

// sendHedges sends the hedges of attempts and delegations that are due.
func (s *State) sendHedges(q *request) {
	s.hedgeDelegations(q)
	for i := range q.attempts {
		a := q.attempts[i]
		if !a.open || a.hedgeAt > s.now {
			continue
		}
		a.hedgeAt = identifier.Never
		elapsed := s.now.Since(a.sent)
		s.recordWait(a, elapsed)
		if q.pieces[a.piece].finished || q.pieces[a.piece].openAttempts > 1 {
			continue
		}
		if s.awaitsMeasurements(q) {
			a.hedgeAt = s.now.Add(hedgeSlack)
			continue
		}
		if next := s.now.Add(max(elapsed, hedgeSlack)); (s.holdsBack(q) || !s.sendAttempt(q, a.piece)) && next < q.deadline {
			a.hedgeAt = next
		}
	}
}

// awaitsMeasurements reports whether the hedges of a request are put off: this host has just started, has measured
// nothing on the request's route, and most of its attempts have no answer yet. All of them wait for the same reason then,
// such as new connections, and their hedges would use up the extra attempts of all services at once.
func (s *State) awaitsMeasurements(q *request) bool {
	if len(q.attempts) < minHedgedAttempts || s.now >= q.answerAt {
		return false
	}
	if _, measured := s.traffic.routeLatencies(q.route.ID).TypicalLatency(q.rank); measured > 0 {
		return false
	}
	open := 0
	for _, a := range q.attempts {
		if a.open {
			open++
		}
	}
	return 2*open > len(q.attempts)
}

// hedgeTimeFor returns when to hedge an attempt that is sent now, given its typical latency; Never
// if that is not before the deadline.
func (s *State) hedgeTimeFor(q *request, typical identifier.Micros) identifier.Instant {
	if typical == 0 {
		typical = q.route.TargetLatency / unmeasuredLatencyDivisor
	}
	lead := identifier.Micros(hedgeLeadFactor*float64(typical)) + hedgeSlack
	at := max(s.now.Add(max(typical, hedgeSlack)), q.answerAt.Add(-lead))
	if at >= q.deadline {
		return identifier.Never
	}
	return at
}

// recordWait records that an attempt has waited without an answer, unless a short pause
// explains it.
func (s *State) recordWait(a *requestAttempt, elapsed identifier.Micros) {
	if s.isSlow(a, elapsed) {
		s.recordResult(a, resultSlow)
	}
	if elapsed > minStallDuration {
		s.traffic.chooser.RecordWait(s.now, a.server, elapsed)
	}
}

// exchangeID returns the ID of the request's attempt at the index.
func (q *request) exchangeID(index int) identifier.ExchangeID {
	return identifier.ExchangeID{Requester: q.name.Requester, Request: q.name.Request, Sequence: uint32(index + 1)}
}

// cancelExchange cancels an open attempt; its exchange still ends with an event.
func (s *State) cancelExchange(q *request, index int) {
	a := q.attempts[index]
	a.open = false
	q.pieces[a.piece].openAttempts--
	s.emit(CancelExchange{
		Attempt: q.exchangeID(index),
		Grace:   CancelGrace,
	})
}

// endExchange removes an attempt whose exchange has ended. It returns the attempt and the
// request that still waits for it, if any.
func (s *State) endExchange(id identifier.ExchangeID) (*request, *requestAttempt) {
	a, ok := s.traffic.requestAttempts[id]
	if !ok {
		return nil, nil
	}
	delete(s.traffic.requestAttempts, id)
	delete(s.activity(a.server).open, id)
	s.traffic.chooser.RecordEnd(a.server, a.rank)
	q := a.request
	if !a.open || s.traffic.requests[q.name] != q {
		return nil, a
	}
	a.open = false
	q.pieces[a.piece].openAttempts--
	return q, a
}

// recordLatency records the latency of a served attempt.
func (s *State) recordLatency(a *requestAttempt, latency identifier.Micros) {
	measured := s.traffic.service(a.service)
	measured.hedger.Observe(a.rank, latency)
	s.recordResult(a, s.classifyLatency(a, latency))
	s.traffic.routeLatencies(a.route).Observe(a.rank, latency)
	s.emit(RecordDuration{Histogram: ExchangeHistogram, Rank: a.rank, Elapsed: latency})
	median, _ := measured.hedger.TypicalLatency(a.rank)
	if median == 0 {
		// The service has no measurements yet; use those of its route's other services.
		median, _ = s.traffic.routeLatencies(a.route).TypicalLatency(a.rank)
	}
	if median == 0 {
		s.traffic.chooser.RecordLatency(s.now, a.server, latency)
		return
	}
	s.traffic.chooser.RecordLatencyWithPrior(s.now, a.server, latency, median)
}

// recordFailure records that an attempt failed. A single failure between served attempts
// does not count against the server, since avoiding it would send its work to remote domains.
func (s *State) recordFailure(a *requestAttempt) {
	activity := s.activity(a.server)
	activity.failures++
	if activity.failures > 1 {
		s.traffic.chooser.RecordFailure(s.now, a.server)
	}
}

// handleExchangeAnswered handles a server's complete answer.
func (s *State) handleExchangeAnswered(e ExchangeAnswered) {
	q, a := s.endExchange(e.Attempt)
	if a == nil {
		return
	}
	latency := s.now.Since(a.sent)
	s.recordAccepted(a)
	s.activity(a.server).lastAnswer = s.now
	s.activity(a.server).unreachable = 0
	s.recordStatement(a, e.Statement)
	s.recordLoad(a, e.Load, latency)
	if e.Answer.Success {
		s.recordLatency(a, latency)
		s.activity(a.server).failures = 0
	} else {
		s.recordResult(a, resultFailed)
		s.recordFailure(a)
	}
	if q == nil {
		return
	}
	p := &q.pieces[a.piece]
	p.ran, q.ran = true, true
	s.recordServed(q)
	if !e.Answer.Success || s.hasInvalidPartSignature(q, e.Answer) {
		p.failure = &e.Answer
		s.logRequest(q, Info, "attempt failed", Field{"server", string(a.server)}, Field{"service", string(a.service)})
		s.retryPiece(q, a.piece)
		return
	}
	s.answerPiece(q, a.piece, &e.Answer)
	s.resumePieces(q)
	s.finishOrSchedule(q)
}

// answerPiece records the answer for a piece and cancels its other attempts in flight.
func (s *State) answerPiece(q *request, index int, answer *ServerAnswer) {
	p := &q.pieces[index]
	p.answer = answer
	p.failure = nil
	q.served++
	s.finishPiece(q, index)
	for i, other := range q.attempts {
		if other.open && other.piece == index {
			s.cancelExchange(q, i)
		}
	}
}

// hasInvalidPartSignature reports whether a part of a sharded answer has no signature or that of
// another part.
func (s *State) hasInvalidPartSignature(q *request, answer ServerAnswer) bool {
	if len(q.route.Shards) == 0 {
		return false
	}
	return answer.Signature == "" || slices.ContainsFunc(q.pieces, func(p piece) bool {
		return p.answer != nil && p.answer.Signature == answer.Signature
	})
}

// handleExchangeRefused handles an attempt that did not run.
func (s *State) handleExchangeRefused(e ExchangeRefused) {
	q, a := s.endExchange(e.Attempt)
	if a == nil {
		return
	}
	if e.Reason == ExchangeMisdirected {
		s.activity(a.server).backoffUntil = s.now.Add(misdirectionBackoff)
	}
	if e.Reason == ExchangeUnreachable {
		s.recordResult(a, resultFailed)
		s.activity(a.server).recordUnreachable(s.now)
	} else {
		s.activity(a.server).unreachable = 0
	}
	if e.Reason == ExchangeShed {
		s.recordStatement(a, e.Statement)
		s.recordLoad(a, e.Load, 0)
	}
	if e.Reason != ExchangeShed || !s.recordRejected(a) {
		s.recordFailure(a)
	}
	if q == nil {
		return
	}
	p := &q.pieces[a.piece]
	p.sent--
	if e.Reason == ExchangeShed {
		s.recordPieceRejected(q, p)
	}
	p.tried = slices.DeleteFunc(p.tried, func(id identifier.ServerID) bool { return id == a.server })
	p.refused = append(p.refused, a.server)
	if e.Reason == ExchangeUnreachable {
		p.arrivals--
	}
	s.logRequest(q, Info, "attempt refused", Field{"server", string(a.server)},
		Field{"service", string(a.service)}, Field{"reason", e.Reason.String()})
	s.retryPiece(q, a.piece)
}

// handleExchangeLost handles an attempt that may have run and whose answer will not arrive.
func (s *State) handleExchangeLost(e ExchangeLost) {
	q, a := s.endExchange(e.Attempt)
	if a == nil {
		return
	}
	if q == nil {
		s.recordWait(a, s.now.Since(a.sent))
		return
	}
	if e.Closed {
		s.count(ClosedExchangesCounter, "", a.rank)
	}
	if !e.Unproven {
		s.recordResult(a, resultFailed)
	}
	s.recordFailure(a)
	q.pieces[a.piece].ran, q.ran = true, true
	if e.Closed {
		s.recordLostExchange(q, a)
	}
	s.logRequest(q, Info, "attempt lost", Field{"server", string(a.server)},
		Field{"service", string(a.service)}, Field{"reason", e.Reason}, Field{"unproven", strconv.FormatBool(e.Unproven)},
		Field{"closed", strconv.FormatBool(e.Closed)}, fingerprintField(q.Fingerprint))
	s.retryPiece(q, a.piece)
}

// retryPiece dispatches a piece again if it is not finished and no attempt is in flight for it.
func (s *State) retryPiece(q *request, index int) {
	if q.pieces[index].openAttempts == 0 && !q.pieces[index].finished {
		s.dispatchPiece(q, index)
	}
	s.resumePieces(q)
	s.finishOrSchedule(q)
}

// applyFleet discards the measurements of servers and routes that are gone, and updates the
// limits of the budgets of extra attempts.
func (s *State) applyFleet(v *FleetView) {
	if v == nil {
		return
	}
	known := map[identifier.ServerID]bool{}
	for _, backends := range v.Backends {
		for i := range backends {
			known[backends[i].Server] = true
		}
	}
	s.traffic.chooser.Retain(func(id identifier.ServerID) bool { return known[id] })
	for id, a := range s.traffic.serverActivities {
		if len(a.open) == 0 && !known[id] {
			delete(s.traffic.serverActivities, id)
		}
	}
	maps.DeleteFunc(s.traffic.coldCredits, func(id identifier.ServerID, _ *coldCredit) bool { return !known[id] })
	routes := map[declarer.RouteID]bool{}
	for i := range v.Declaration.Routes {
		routes[v.Declaration.Routes[i].ID] = true
	}
	maps.DeleteFunc(s.traffic.latenciesByRoute, func(id declarer.RouteID, _ *hedger.Hedger) bool { return !routes[id] })
	for id := range s.traffic.extraBudgets {
		s.traffic.extraBudgets[id].SetBurst(bucketSize(s.extraSlack()))
	}
	s.forgetProcesses(v.Delegates)
	s.detectCrashes()
	s.applyListedStatements(v)
	s.resetReturned(v)
}

func formatServers(servers []identifier.ServerID) string {
	names := make([]string, 0, len(servers))
	for _, id := range servers {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}

func formatCount(n int) string { return strconv.Itoa(n) }

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
	// connectionPortion is the part of a server's connections that hosts plan with: some are
	// still closing, and hosts learn late of each other.
	connectionPortion = 0.95
	// nearPortion is the part of these that hosts of the server's own failure domain share. The
	// others need room for the hedges that a pause of their own server asks for at once.
	nearPortion = 0.6
	// A hedge is sent hedgeLead usual latencies and hedgeSlack before its answer must be in: the
	// usual latency is exceeded by one attempt in twenty, and the messages take their time.
	hedgeLead  = 1.5
	hedgeSlack = 4 * identifier.Millisecond
	// unknownUsual divides the objective to give the usual latency of a service that has not
	// been measured.
	unknownUsual = 3
	// A server with attempts in flight has stalled when it is silent for longer than
	// stallFactor usual latencies of its service, and than stallFloor: half of a pause, after
	// which new work may be late there.
	stallFactor = 3
	stallFloor  = 60 * identifier.Millisecond
	// firstAway is how long a server is left alone after an attempt that reached nobody, and
	// longestAway the longest such time: a server that has crashed is back after some seconds.
	firstAway   = 100 * identifier.Millisecond
	longestAway = 1 * identifier.Second
	// refusalDivisor is the part of the objective within which a request without a server is
	// refused, while the client can still turn elsewhere in time.
	refusalDivisor = 4
	// misdirectionTerm is how long a server is left alone after another one answered at its address.
	misdirectionTerm = 5 * identifier.Second
)

// OnceOnlyInvariant says that a request that must not be repeated is not sent while
// an attempt may have run.
const OnceOnlyInvariant Invariant = "sent-once"

// watch is what a traffic state knows of the attempts in flight on one server.
type watch struct {
	open     map[identifier.AttemptID]identifier.Instant
	answered identifier.Instant
	// failures counts the attempts that failed since the last served one.
	failures int
	// away is until when the server is left alone, since another one is at its address or
	// nobody answers there; unreached counts the attempts in a row that reached nobody.
	away      identifier.Instant
	unreached int
}

// notReached leaves the server alone for a time that doubles with each attempt that reached
// nobody, so that requests don't dial it one after the other.
func (w *watch) notReached(now identifier.Instant) {
	if w.away > now {
		return
	}
	w.away = now.Add(min(longestAway, firstAway<<min(w.unreached, 10)))
	w.unreached++
}

func (s *State) watch(id identifier.ServerID) *watch {
	w, ok := s.traffic.watches[id]
	if !ok {
		w = &watch{open: map[identifier.AttemptID]identifier.Instant{}}
		s.traffic.watches[id] = w
	}
	return w
}

// stalled reports whether the server has answered nothing for longer than the span
// although attempts are in flight.
func (w *watch) stalled(now identifier.Instant, span identifier.Micros) bool {
	oldest := identifier.Never
	for _, sent := range w.open {
		oldest = min(oldest, sent)
	}
	return oldest != identifier.Never && now.Since(max(oldest, w.answered)) > span
}

// seek sends an attempt for a piece, or arranges to look for a server again.
func (s *State) seek(q *request, index int) {
	w := &q.pieces[index]
	w.again = identifier.Never
	if s.send(q, index) || w.open > 0 {
		return
	}
	at := s.now.Add(ServerWait)
	if at >= q.deadline || s.exhausted(q, w) || s.refusesEarly(q, w) {
		s.settlePiece(q, index)
		return
	}
	w.refused = nil
	w.again = at
}

// refusesEarly reports whether a request to one service is given up: its servers have refused
// it, or none has been found while the client can still turn elsewhere.
func (s *State) refusesEarly(q *request, w *piece) bool {
	if len(q.route.Shards) > 0 {
		return false
	}
	return len(w.refused) > 0 || s.now.Add(ServerWait) >= q.arrival.Add(q.route.Objective/refusalDivisor)
}

// exhausted reports whether no further attempt for the piece is allowed.
func (s *State) exhausted(q *request, w *piece) bool {
	return w.sent >= max(1, q.route.Attempts) || (w.ran && !q.route.Repeatable)
}

// settlePiece notes that nothing is awaited for a piece any more.
func (s *State) settlePiece(q *request, index int) {
	w := &q.pieces[index]
	if !w.settled {
		w.settled = true
		w.again = identifier.Never
		q.settled++
	}
}

// send sends an attempt for a piece to one of its servers. It reports false when no
// server may take it, or the budget of extra attempts is spent.
func (s *State) send(q *request, index int) bool {
	w := &q.pieces[index]
	if s.exhausted(q, w) {
		return false
	}
	backend, ok := s.chooseBackend(q, w)
	if !ok {
		return false
	}
	if !s.affordArrival(q, w) {
		return false
	}
	s.require(q.route.Repeatable || (!w.ran && w.open == 0), OnceOnlyInvariant, q.Parcel.Client)
	a := &sending{
		piece: index, route: q.route.ID, service: w.service, server: backend.Server, rank: q.rank,
		tallied: len(q.route.Shards) == 0 || backend.Domain != s.parameters.Domain, sent: s.now, hedge: identifier.Never, open: true,
	}
	a.hedge = s.hedgeInstant(q, a)
	q.attempts = append(q.attempts, a)
	q.offered = true
	w.open++
	w.sent++
	w.arrivals++
	w.tried = append(w.tried, backend.Server)
	id := identifier.AttemptID{Request: q.Request, Sequence: uint32(len(q.attempts))}
	s.traffic.sendings[id] = a
	s.watch(backend.Server).open[id] = s.now
	s.traffic.chooser.Begin(backend.Server, q.rank)
	s.count(ExchangesCounter, "", q.rank)
	if backend.Domain != s.parameters.Domain {
		s.count(DetoursCounter, "", q.rank)
	}
	s.emit(Exchange{
		Attempt: id, Server: backend.Server, Address: backend.Address, Deadline: q.deadline,
		Connections: s.connectionLimit(w.service, backend.Domain), Fresh: !q.route.Repeatable, Parcel: q.Parcel,
	})
	return true
}

// connectionLimit returns how many connections this host may hold to a server of the
// service. Most of a server's connections belong to the hosts of its own failure domain,
// which send it most of its work.
func (s *State) connectionLimit(id identifier.ServiceID, domain identifier.DomainID) identifier.Connections {
	service, ok := s.traffic.view.Fleet.Services[id]
	if !ok {
		return 1
	}
	planned := float64(service.Connections) * connectionPortion
	sharers := s.traffic.view.Fleet.Sharers
	if domain == s.parameters.Domain {
		return max(1, identifier.Connections(math.Round(planned*nearPortion/float64(sharers.Near))))
	}
	return max(1, identifier.Connections(math.Round(planned*(1-nearPortion)/float64(max(1, sharers.Far)))))
}

// chooseBackend picks the server for an attempt: first among those that are neither
// silent, degraded nor stalled, then among the stalled, the degraded and the silent ones in turn.
func (s *State) chooseBackend(q *request, w *piece) (*Backend, bool) {
	for _, accept := range []func(*Backend) bool{
		func(b *Backend) bool { return !b.Silent && !w.avoids(b) && !s.stalls(w.service, b) },
		func(b *Backend) bool { return !b.Silent && !w.avoids(b) },
		func(b *Backend) bool { return !b.Silent },
		func(*Backend) bool { return true },
	} {
		if id, ok := s.traffic.chooser.Choose(s.now, s.collectBackends(q, w, accept), s.random.IntN); ok {
			return s.backend(w.service, id)
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

// stalls reports whether the server has gone silent with attempts in flight.
func (s *State) stalls(service identifier.ServiceID, b *Backend) bool {
	w, ok := s.traffic.watches[b.Server]
	if !ok || len(w.open) == 0 {
		return false
	}
	return w.stalled(s.now, max(stallFloor, stallFactor*s.usualLatency(service)))
}

// usualLatency returns the usual latency of a service's answers of any rank, in microseconds.
func (s *State) usualLatency(id identifier.ServiceID) identifier.Micros {
	usual := identifier.Micros(0)
	for r := range identifier.Rank(identifier.RankCount) {
		_, high := s.traffic.service(id).hedger.Usual(r)
		usual = max(usual, high)
	}
	return usual
}

// collectBackends returns the servers of the piece's service that may take an attempt
// and that the condition accepts.
func (s *State) collectBackends(q *request, w *piece, accept func(*Backend) bool) []chooser.Candidate {
	candidates := s.traffic.candidates[:0]
	d, _ := s.parameters.Duty.(EntryDuty)
	backends := s.traffic.view.Fleet.Backends[w.service]
	for i := range backends {
		b := &backends[i]
		if slices.Contains(w.tried, b.Server) || slices.Contains(w.refused, b.Server) || !accept(b) {
			continue
		}
		if known, ok := s.traffic.watches[b.Server]; ok && (known.away > s.now || len(known.open) >= int(s.connectionLimit(w.service, b.Domain))) {
			continue
		}
		detour := identifier.Micros(0)
		if b.Domain != s.parameters.Domain {
			detour = d.Detour
		}
		candidates = append(candidates, chooser.Candidate{
			Server:      b.Server,
			Incarnation: b.Incarnation,
			Starting:    b.State == leaser.Starting,
			Rank:        q.rank,
			Slots:       b.Slots,
			Detour:      detour,
		})
	}
	s.traffic.candidates = candidates
	return candidates
}

// hedgeInstant returns when to send a second attempt beside one: as late as its answer
// still meets the objective, since an earlier one would only be sent more often, but not
// before the first one is overdue. It is Never for what must not be repeated.
func (s *State) hedgeInstant(q *request, a *sending) identifier.Instant {
	if !q.route.Repeatable || len(q.pieces[a.piece].tried) > 0 {
		return identifier.Never
	}
	_, usual := s.traffic.service(a.service).hedger.Usual(q.rank)
	return s.hedgeAt(q, usual)
}

// hedgeOverdue sends second attempts beside those that are overdue.
func (s *State) hedgeOverdue(q *request) {
	s.hedgeDelegations(q)
	for i := range q.attempts {
		a := q.attempts[i]
		if !a.open || a.hedge > s.now {
			continue
		}
		a.hedge = identifier.Never
		elapsed := s.now.Since(a.sent)
		s.noteWait(a, elapsed)
		if q.pieces[a.piece].settled || q.pieces[a.piece].open > 1 {
			continue
		}
		if next := s.now.Add(max(elapsed, hedgeSlack)); !s.send(q, a.piece) && next < q.deadline {
			a.hedge = next
		}
	}
}

// hedgeAt returns when to hedge an attempt that is sent now and is usually answered within the span.
func (s *State) hedgeAt(q *request, usual identifier.Micros) identifier.Instant {
	if usual == 0 {
		usual = q.route.Objective / unknownUsual
	}
	lead := identifier.Micros(hedgeLead*float64(usual)) + hedgeSlack
	at := max(s.now.Add(max(usual, hedgeSlack)), q.objective.Add(-lead))
	if at >= q.deadline {
		return identifier.Never
	}
	return at
}

// noteWait takes in that an attempt has waited in vain, unless a short pause explains it.
func (s *State) noteWait(a *sending, elapsed identifier.Micros) {
	if s.overdue(a, elapsed) {
		s.tally(a, resultLate)
	}
	if elapsed > stallFloor {
		s.traffic.chooser.Wait(s.now, a.server, elapsed)
	}
}

// cancelSending withdraws an open attempt; its exchange still ends with an event.
func (s *State) cancelSending(q *request, index int) {
	a := q.attempts[index]
	a.open = false
	q.pieces[a.piece].open--
	s.emit(CancelExchange{
		Attempt: identifier.AttemptID{Request: q.Request, Sequence: uint32(index + 1)},
		Grace:   CancelGrace,
	})
}

// endSending takes an attempt whose exchange has ended out of the accounts. It returns
// the request that still waits for the attempt, if any does.
func (s *State) endSending(id identifier.AttemptID) (*request, *sending) {
	a, ok := s.traffic.sendings[id]
	if !ok {
		return nil, nil
	}
	delete(s.traffic.sendings, id)
	delete(s.watch(a.server).open, id)
	s.traffic.chooser.End(a.server, a.rank)
	q, ok := s.traffic.requests[id.Request]
	if !ok || !a.open {
		return nil, a
	}
	a.open = false
	q.pieces[a.piece].open--
	return q, a
}

// measure takes in the latency of a served attempt.
func (s *State) measure(a *sending, latency identifier.Micros) {
	known := s.traffic.service(a.service)
	known.hedger.Observe(a.rank, latency)
	s.tally(a, s.resultOf(a, latency))
	s.traffic.pace(a.route).Observe(a.rank, latency)
	s.emit(Time{Histogram: ExchangeHistogram, Rank: a.rank, Span: latency})
	usual, _ := known.hedger.Usual(a.rank)
	if usual == 0 {
		// The service is new here; the other services of its route tell what to expect.
		usual, _ = s.traffic.pace(a.route).Usual(a.rank)
	}
	if usual == 0 {
		s.traffic.chooser.Serve(s.now, a.server, latency)
		return
	}
	s.traffic.chooser.ServeAmong(s.now, a.server, latency, usual)
}

// noteFailure takes in that an attempt failed. A single failure among served attempts
// is no reason to leave a server alone, which would send its work to other domains.
func (s *State) noteFailure(a *sending) {
	w := s.watch(a.server)
	w.failures++
	if w.failures > 1 {
		s.traffic.chooser.Fail(s.now, a.server)
	}
}

// takeAnswer handles a server's whole answer.
func (s *State) takeAnswer(e ExchangeAnswered) {
	q, a := s.endSending(e.Attempt)
	if a == nil {
		return
	}
	latency := s.now.Since(a.sent)
	s.watch(a.server).answered = s.now
	s.watch(a.server).unreached = 0
	if e.Answer.Success {
		s.measure(a, latency)
		s.watch(a.server).failures = 0
	} else {
		s.tally(a, resultFailed)
		s.noteFailure(a)
	}
	if q == nil {
		return
	}
	w := &q.pieces[a.piece]
	w.ran, q.ran = true, true
	if !e.Answer.Success || s.unusable(q, e.Answer) {
		w.failure = &e.Answer
		s.logRequest(q, Info, "attempt failed", Field{"server", string(a.server)}, Field{"service", string(a.service)})
		s.tryElsewhere(q, a.piece)
		return
	}
	s.servePiece(q, a.piece, &e.Answer)
	s.settleRequest(q)
}

// servePiece takes in the answer for a piece and cancels what else is in flight for it.
func (s *State) servePiece(q *request, index int, answer *ServerAnswer) {
	w := &q.pieces[index]
	w.answer = answer
	w.failure = nil
	q.served++
	s.settlePiece(q, index)
	for i, other := range q.attempts {
		if other.open && other.piece == index {
			s.cancelSending(q, i)
		}
	}
}

// unusable reports whether a part of a sharded answer lacks a signature of its own.
func (s *State) unusable(q *request, answer ServerAnswer) bool {
	if len(q.route.Shards) == 0 {
		return false
	}
	return answer.Signature == "" || slices.ContainsFunc(q.pieces, func(p piece) bool {
		return p.answer != nil && p.answer.Signature == answer.Signature
	})
}

// takeRefusal handles an attempt that did not run.
func (s *State) takeRefusal(e ExchangeRefused) {
	q, a := s.endSending(e.Attempt)
	if a == nil {
		return
	}
	if e.Reason == ExchangeMisdirected {
		s.watch(a.server).away = s.now.Add(misdirectionTerm)
	}
	if e.Reason == ExchangeUnreachable {
		s.tally(a, resultFailed)
		s.watch(a.server).notReached(s.now)
	} else {
		s.watch(a.server).unreached = 0
	}
	s.noteFailure(a)
	if q == nil {
		return
	}
	w := &q.pieces[a.piece]
	w.sent--
	w.tried = slices.DeleteFunc(w.tried, func(id identifier.ServerID) bool { return id == a.server })
	w.refused = append(w.refused, a.server)
	if e.Reason == ExchangeUnreachable {
		w.arrivals--
	}
	s.logRequest(q, Info, "attempt refused", Field{"server", string(a.server)},
		Field{"service", string(a.service)}, Field{"reason", e.Reason.String()})
	s.tryElsewhere(q, a.piece)
}

// takeLoss handles an attempt that may have run and whose answer will not come.
func (s *State) takeLoss(e ExchangeLost) {
	q, a := s.endSending(e.Attempt)
	if a == nil {
		return
	}
	if q == nil {
		s.noteWait(a, s.now.Since(a.sent))
		return
	}
	if !e.Unproven {
		s.tally(a, resultFailed)
	}
	s.noteFailure(a)
	q.pieces[a.piece].ran, q.ran = true, true
	s.logRequest(q, Info, "attempt lost", Field{"server", string(a.server)},
		Field{"service", string(a.service)}, Field{"reason", e.Reason}, Field{"unproven", strconv.FormatBool(e.Unproven)})
	s.tryElsewhere(q, a.piece)
}

// tryElsewhere arranges another attempt for a piece that none is in flight for.
func (s *State) tryElsewhere(q *request, index int) {
	if q.pieces[index].open == 0 && !q.pieces[index].settled {
		s.seek(q, index)
	}
	s.settleRequest(q)
}

// adoptFleet forgets what was measured of servers and routes that are gone.
func (s *State) adoptFleet(v *FleetView) {
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
	for id, w := range s.traffic.watches {
		if len(w.open) == 0 && !known[id] {
			delete(s.traffic.watches, id)
		}
	}
	routes := map[declarer.RouteID]bool{}
	for i := range v.Declaration.Routes {
		routes[v.Declaration.Routes[i].ID] = true
	}
	maps.DeleteFunc(s.traffic.paces, func(id declarer.RouteID, _ *hedger.Hedger) bool { return !routes[id] })
	for id := range s.traffic.extras {
		s.traffic.extras[id].Limit(bucketSize(s.extraSlack()))
	}
}

func describeServers(servers []identifier.ServerID) string {
	names := make([]string, 0, len(servers))
	for _, id := range servers {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}

func formatCount(n int) string { return strconv.Itoa(n) }

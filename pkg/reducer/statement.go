package reducer

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/pacer"
)

// The hosts divide the limit of a server among themselves by arithmetic, without a message for a
// request. A host's share within limitWindow is at least minLimitShare requests: when the limit is too
// small for that, fewer hosts share it. Each host may save up limitBurst requests, half of the minimum,
// so that all hosts together never exceed one and a half times the limit in a window, and some more
// where a single host has less than the minimum.
const (
	limitWindow   = 4 * identifier.Second
	limitBurst    = 2
	minLimitShare = 2 * limitBurst
	// minLimitRate is the least share of the hosts that share a limit, in requests per second: a server
	// that gets no request can't say that it takes some again.
	minLimitRate identifier.Rate = 0.1
	// localLimitPortion is the fraction of the limit for the hosts in the server's own failure domain,
	// which send it most of its work.
	localLimitPortion = 0.85
	// urgentReserve is how many of the saved requests are kept for the most urgent rank.
	urgentReserve = 1
	// reportedLimitChange is the smallest change of a limit, as a fraction, that is logged and reported.
	reportedLimitChange = 0.1
)

// UnavailablePiecesCounter counts the pieces that were given up because all their servers leave, pause
// or limit their requests.
const UnavailablePiecesCounter Counter = "pieces-unavailable"

// maxUnavailableRetryAfter limits how long a client is told to wait for servers, before the spread: a
// limit may end and another server may start at any time.
const maxUnavailableRetryAfter = 2 * identifier.Second

// ServersStated reports what backend servers have begun to say of themselves. Entry hosts send it to
// their control host, which relays it to the other control hosts and lists it.
type ServersStated struct {
	membershipEvent
	From    identifier.HostID `msgpack:"f"`
	Servers []StatedServer    `msgpack:"s"`
	// Relayed is set by the control host that relays the event.
	Relayed bool `msgpack:"y"`
}

// StatedServer is what one incarnation of a backend server says of itself.
type StatedServer struct {
	Server      identifier.ServerID    `msgpack:"s"`
	Incarnation identifier.Incarnation `msgpack:"i"`
	Statement   ServerStatement        `msgpack:"t"`
}

// selfReport is what an incarnation of a backend server says of itself. It decides whether the server
// may be sent an attempt, whatever its announcements say.
type selfReport struct {
	incarnation identifier.Incarnation
	// stated is what the server last said, at the instant at. It doesn't include pauses.
	stated ServerStatement
	at     identifier.Instant
	// reported is what the control hosts were last told of it, or told themselves, at reportedAt.
	reported   ServerStatement
	reportedAt identifier.Instant
	// pausedUntil is the end of the pause that the server has asked this host for.
	pausedUntil identifier.Instant
	// pacer spaces the attempts while the server limits its requests.
	pacer *pacer.Pacer
}

// acceptsAt returns when the server accepts an attempt of the rank; Never if it leaves. What an
// earlier incarnation has said doesn't count.
func (r *selfReport) acceptsAt(now identifier.Instant, b *Backend, rank identifier.Rank) identifier.Instant {
	switch {
	case r.incarnation != b.Incarnation:
		return now
	case r.stated.Leaving:
		return identifier.Never
	}
	at := max(now, r.pausedUntil)
	if r.pacer != nil {
		at = max(at, r.pacer.ReadyAt(now, limitReserve(rank)))
	}
	return at
}

// reason returns why the server doesn't accept an attempt, as logged.
func (r *selfReport) reason(now identifier.Instant) string {
	switch {
	case r.stated.Leaving:
		return "leaving"
	case r.pausedUntil > now:
		return "paused"
	}
	return "limited"
}

// recordStatement records what a server says of itself in its answer to an attempt, and reports a
// change to the control host. An answer to an attempt that was sent before the last change may be
// older than it and ends nothing.
func (s *State) recordStatement(a *requestAttempt, stated ServerStatement) {
	said := &s.activity(a.server).said
	backend, ok := s.backend(a.service, a.server)
	if !ok || backend.Incarnation != a.incarnation {
		return
	}
	if said.incarnation != a.incarnation {
		*said = selfReport{incarnation: a.incarnation}
	}
	s.recordPause(backend, stated.Pause)
	stated.Pause = 0
	if a.sent < said.at && !stated.Leaving {
		return
	}
	// A server that leaves doesn't stay.
	stated.Leaving = stated.Leaving || said.stated.Leaving
	if said.stated != stated {
		s.applyStatement(backend, stated)
	}
	if !said.mustReport(s.now) {
		return
	}
	said.reported, said.reportedAt = stated, s.now
	s.logStatement(backend, stated, "server")
	if id := s.controlHost(); id != "" {
		s.emit(Send{To: id, Event: ServersStated{From: s.parameters.Host, Servers: []StatedServer{
			{Server: backend.Server, Incarnation: backend.Incarnation, Statement: stated},
		}}})
	}
}

// mustReport reports whether the control hosts must be told what the server says. A limit that keeps
// changing is reported once in ServerListInterval.
func (r *selfReport) mustReport(now identifier.Instant) bool {
	if r.stated.Limited != r.reported.Limited || r.stated.Leaving != r.reported.Leaving {
		return true
	}
	return r.stated.differs(r.reported) && now.Since(r.reportedAt) >= ServerListInterval
}

// recordPause records that a server wants no request from this host for the duration.
func (s *State) recordPause(b *Backend, pause identifier.Micros) {
	said := &s.activity(b.Server).said
	if pause <= 0 {
		return
	}
	if said.pausedUntil <= s.now {
		s.log(RequestSubsystem, Info, "backend server asks for a pause", Field{"server", string(b.Server)},
			Field{"service", string(b.Service)}, Field{"pause-us", formatCount(int(pause))})
	}
	said.pausedUntil = max(said.pausedUntil, s.now.Add(pause))
}

// differs reports whether a statement differs enough from another one to be reported.
func (s ServerStatement) differs(other ServerStatement) bool {
	return s.Limited != other.Limited || s.Leaving != other.Leaving ||
		math.Abs(float64(s.Limit-other.Limit)) > reportedLimitChange*float64(min(s.Limit, other.Limit))
}

func (s *State) logStatement(b *Backend, stated ServerStatement, source string) {
	message := "backend server limits its requests"
	switch {
	case stated.Leaving:
		message = "backend server says that it leaves"
	case !stated.Limited:
		message = "backend server no longer limits its requests"
	}
	s.log(RequestSubsystem, Info, message, Field{"server", string(b.Server)}, Field{"service", string(b.Service)},
		Field{"limit", strconv.FormatFloat(float64(stated.Limit), 'f', -1, 64)}, Field{"told-by", source})
}

// applyStatement puts what a server says of itself in force.
func (s *State) applyStatement(b *Backend, stated ServerStatement) {
	said := &s.activity(b.Server).said
	said.incarnation, said.stated, said.at = b.Incarnation, stated, s.now
	if !stated.Limited {
		said.pacer = nil
		return
	}
	rate := s.limitShare(b, stated.Limit)
	if said.pacer == nil {
		said.pacer = pacer.New(s.now, rate, limitBurst)
		return
	}
	said.pacer.SetRate(s.now, rate)
}

// limitShare returns this host's share of the limit of a server.
func (s *State) limitShare(b *Backend, limit identifier.Rate) identifier.Rate {
	counts := s.traffic.view.Fleet.HostCounts
	place := s.traffic.view.Fleet.Place
	hosts, index := counts.Local+counts.Remote, place.All
	total := float64(limit) * (1 - localLimitPortion)
	if b.Domain == s.parameters.Domain {
		hosts, index = counts.Local, place.Local
		total = float64(limit) * localLimitPortion
	}
	window := float64(limitWindow) / float64(identifier.Second)
	sharers := min(hosts, max(1, int(total*window/minLimitShare)))
	// Another host begins at each server, so that the same ones don't share all small limits.
	position := (uint64(index) + xxhash.Sum64String(string(b.Server))) % uint64(hosts)
	if position >= uint64(sharers) {
		return 0
	}
	return max(minLimitRate, identifier.Rate(total/float64(sharers)))
}

// applyListedStatements puts in force what servers say of themselves to other hosts, and the share of
// each limit after a change in the number of hosts.
func (s *State) applyListedStatements(v *FleetView) {
	for _, id := range sortedKeys(v.Backends) {
		for i := range v.Backends[id] {
			b := &v.Backends[id][i]
			if _, ok := s.traffic.serverActivities[b.Server]; ok || b.Stated != (ServerStatement{}) {
				s.applyListedStatement(b)
			}
		}
	}
}

func (s *State) applyListedStatement(b *Backend) {
	activity := s.activity(b.Server)
	said := &activity.said
	if said.incarnation != b.Incarnation {
		*said = selfReport{incarnation: b.Incarnation}
		activity.listed = ServerStatement{}
	}
	if activity.listed == b.Stated {
		if said.pacer != nil {
			said.pacer.SetRate(s.now, s.limitShare(b, said.stated.Limit))
		}
		return
	}
	activity.listed = b.Stated
	stated := b.Stated
	stated.Leaving = stated.Leaving || said.stated.Leaving
	if said.stated.differs(stated) {
		s.logStatement(b, stated, "control host")
	}
	s.applyStatement(b, stated)
	said.reported, said.reportedAt = stated, s.now
}

// limitReserve returns how many of the saved requests an attempt of the rank must leave.
func limitReserve(r identifier.Rank) float64 {
	if r == identifier.Urgent {
		return 0
	}
	return urgentReserve
}

// mayTake reports whether a server may be sent an attempt of the rank now: it is not backed off, has a
// connection to spare, and accepts one by what it says of itself.
func (s *State) mayTake(b *Backend, r identifier.Rank) bool {
	if b.Evacuated {
		return false
	}
	a, ok := s.traffic.serverActivities[b.Server]
	if !ok {
		return true
	}
	return a.backoffUntil <= s.now && len(a.open) < int(s.connectionLimit(b.Service, b.Domain)) &&
		a.said.acceptsAt(s.now, b, r) <= s.now
}

// isClosed reports whether a server leaves, has asked this host for a pause or is evacuated.
func (s *State) isClosed(b *Backend) bool {
	a, ok := s.traffic.serverActivities[b.Server]
	return b.Evacuated || ok && a.said.incarnation == b.Incarnation && (a.said.stated.Leaving || a.said.pausedUntil > s.now)
}

// acceptsAt returns when a server accepts an attempt of the request; Never if it leaves, is evacuated or is
// outside the request's homes.
func (s *State) acceptsAt(q *request, b *Backend) identifier.Instant {
	if b.Evacuated || !s.withinHomes(q, b.Domain) {
		return identifier.Never
	}
	if a, ok := s.traffic.serverActivities[b.Server]; ok {
		return a.said.acceptsAt(s.now, b, q.rank)
	}
	return s.now
}

// acceptedFrom returns when the first server of a service accepts an attempt of the request if none does
// now; 0 otherwise.
func (s *State) acceptedFrom(q *request, id identifier.ServiceID) identifier.Instant {
	first := identifier.Never
	backends := s.traffic.view.Fleet.Backends[id]
	for i := range backends {
		if first = min(first, s.acceptsAt(q, &backends[i])); first <= s.now {
			return 0
		}
	}
	if len(backends) == 0 {
		return 0
	}
	return first
}

// sufficientFrom returns when so many of a request's services accept an attempt that the answer can be
// sufficient, if they don't now; 0 otherwise.
func (s *State) sufficientFrom(q *request) identifier.Instant {
	closed := 0
	latest := identifier.Instant(0)
	for i := range q.pieces {
		if at := s.acceptedFrom(q, q.pieces[i].service); at > 0 {
			closed++
			latest = max(latest, at)
		}
	}
	if closed == 0 || q.sufficientWith(len(q.pieces)-closed) {
		return 0
	}
	return latest
}

// unavailable returns the outcome of a request whose services accept too few of its pieces before an
// instant. Clients that are declined together are asked to return at different times, those of
// the most urgent rank first.
func (s *State) unavailable(q *request, until identifier.Instant) Declined {
	wait := min(max(RefusedRetryAfter, until.Since(s.now)), maxUnavailableRetryAfter)
	spread := float64(wait) * (float64(q.rank) + s.random.Float64()) / float64(identifier.RankCount)
	return Declined{Reason: ServersUnavailable, Ran: RanNo, RetryAfter: wait + identifier.Micros(spread)}
}

// passedOver returns the servers of the pieces without an answer that accept no attempt now, each with
// the reason.
func (s *State) passedOver(q *request) string {
	var servers []string
	for i := range q.pieces {
		if q.pieces[i].answer != nil {
			continue
		}
		backends := s.traffic.view.Fleet.Backends[q.pieces[i].service]
		for n := range backends {
			b := &backends[n]
			if s.acceptsAt(q, b) > s.now || s.lacksColdCredit(b) {
				servers = append(servers, string(b.Server)+"="+s.refusalReason(q, b))
			}
		}
	}
	return strings.Join(servers, " ")
}

// refusalReason returns why a server accepts no attempt of the request, as logged.
func (s *State) refusalReason(q *request, b *Backend) string {
	switch {
	case b.Evacuated:
		return "evacuated"
	case !s.withinHomes(q, b.Domain):
		return "outside-homes"
	case s.lacksColdCredit(b):
		return "cold"
	}
	return s.activity(b.Server).said.reason(s.now)
}

// hasLimits reports whether a server of the list limits its requests.
func (sl *serverList) hasLimits() bool {
	for _, l := range sl.servers {
		if l.Stated.Limited {
			return true
		}
	}
	return false
}

// listStatements records what servers say of themselves in the list of a control host, and relays
// it. Statements of earlier incarnations are ignored.
func (s *State) listStatements(e ServersStated) {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		return
	}
	sl := &s.control.serverList
	before := sl.revision
	for _, stated := range e.Servers {
		server, ok := sl.servers[stated.Server]
		if !ok || server.Announcement.Incarnation != stated.Incarnation {
			continue
		}
		stated.Statement.Leaving = stated.Statement.Leaving || server.Stated.Leaving
		if server.Stated == stated.Statement {
			continue
		}
		sl.revision++
		server.Stated, server.Revision = stated.Statement, sl.revision
	}
	if !e.Relayed {
		s.sendToPeers(ServersStated{From: e.From, Servers: e.Servers, Relayed: true})
	}
	if sl.revision != before {
		s.notifySubscribers()
	}
}

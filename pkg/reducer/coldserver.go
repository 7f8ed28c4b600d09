package reducer

import (
	"slices"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// A server whose service has a WarmUpRate gets attempts only on credits while it is cold: from the announcement that
// says so until one says otherwise, and for WarmUp after the evacuation of its failure domain has ended. A piece
// doesn't wait for a credit while another server takes it. An entry host that passes a cold server over asks for a
// credit in the background, and the next piece uses it. Load that this answers: a server that starts, or loses its
// cache under load, while each of dozens of hosts sends it less than one request a second.

const (
	// coldAskTimeout is the time after which an entry host asks another control host for a credit: several round
	// trips between failure domains.
	coldAskTimeout = 100 * identifier.Millisecond
)

// ColdCreditInvariant requires that a cold server gets no attempt without a credit.
const ColdCreditInvariant Invariant = "credited-while-cold"

// Counters of cold servers: the attempts sent to them and the credits that entry hosts asked for, control hosts gave
// and entry hosts returned unused.
const (
	ColdAttemptsCounter         Counter = "cold-attempts"
	ColdCreditsRequestedCounter Counter = "cold-credits-requested"
	ColdCreditsGivenCounter     Counter = "cold-credits-given"
	ColdCreditsReturnedCounter  Counter = "cold-credits-returned"
)

// Events about the credits of cold servers between entry hosts and control hosts.
type (
	// ColdCreditRequested asks a control host for a credit for one attempt.
	ColdCreditRequested struct {
		membershipEvent
		From        identifier.HostID      `msgpack:"f"`
		Server      identifier.ServerID    `msgpack:"i"`
		Incarnation identifier.Incarnation `msgpack:"n"`
		Service     identifier.ServiceID   `msgpack:"s"`
		// Asked is the reading of the entry host's clock.
		Asked identifier.Instant `msgpack:"a"`
	}
	// ColdCreditSettled tells the control host whether a credit was used.
	ColdCreditSettled struct {
		membershipEvent
		From        identifier.HostID      `msgpack:"f"`
		Server      identifier.ServerID    `msgpack:"i"`
		Incarnation identifier.Incarnation `msgpack:"n"`
		// Asked is that of the request.
		Asked identifier.Instant `msgpack:"a"`
		Used  bool               `msgpack:"u"`
	}
	// ColdCreditAnswered grants or denies the credit.
	ColdCreditAnswered struct {
		requestEvent
		From        identifier.HostID      `msgpack:"f"`
		Server      identifier.ServerID    `msgpack:"i"`
		Incarnation identifier.Incarnation `msgpack:"n"`
		// Asked is that of the request. The credit ends Hold microseconds after it.
		Asked identifier.Instant `msgpack:"a"`
		Hold  identifier.Micros  `msgpack:"h"`
		// RetryAfter is set if the credit is denied: when there may be another one, in microseconds.
		RetryAfter identifier.Micros `msgpack:"r"`
	}
)

// Key returns no request: hosts in a fleet have one traffic state.
func (e ColdCreditAnswered) Key() identifier.RequestName { return identifier.RequestName{} }

// coldCredit is what an entry host has of a cold server's limit.
type coldCredit struct {
	incarnation identifier.Incarnation
	// asked is when the host last asked for a credit, and 0 once that was answered. tries counts the control hosts
	// that have not answered.
	asked identifier.Instant
	tries int
	// deniedUntil is when there may be another credit.
	deniedUntil identifier.Instant
	// until is when the credit at hand ends; 0 if there is none. from gave it for the request made at since.
	until identifier.Instant
	from  identifier.HostID
	since identifier.Instant
}

// runOf returns the account of a server's incarnation.
func runOf(server identifier.ServerID, n identifier.Incarnation) identifier.ServerRun {
	return identifier.ServerRun(string(server) + "#" + strconv.FormatUint(uint64(n), 10))
}

// isColdAt reports whether a server is cold, given when the last evacuation of its domain ended.
func isColdAt(now identifier.Instant, a *leaser.Announcement, warmUp identifier.Micros, returned identifier.Instant, known bool) bool {
	return a.State == leaser.Starting || (known && now < returned.Add(warmUp))
}

// isCold reports whether a server gets attempts only on credits.
func (s *State) isCold(b *Backend) bool {
	if d, ok := s.parameters.Duty.(EntryDuty); !ok || !d.WarmUp {
		return false
	}
	service, ok := s.traffic.view.Fleet.Services[b.Service]
	if !ok || service.WarmUpRate <= 0 {
		return false
	}
	returned, known := s.traffic.returned[b.Domain]
	return isColdAt(s.now, &b.Announcement, service.WarmUp, returned, known)
}

// coldCreditOf returns what this host has of the limit of a server's incarnation.
func (s *State) coldCreditOf(b *Backend) *coldCredit {
	c, ok := s.traffic.coldCredits[b.Server]
	if !ok || c.incarnation != b.Incarnation {
		c = &coldCredit{incarnation: b.Incarnation}
		s.traffic.coldCredits[b.Server] = c
	}
	return c
}

// lacksColdCredit reports whether a server is cold and gets no attempt now, since there is no credit for it.
func (s *State) lacksColdCredit(b *Backend) bool {
	return s.isCold(b) && s.coldCreditOf(b).until <= s.now
}

// settleColdCredit gives up the credit at hand, and tells the control host that gave it whether it was used. One that
// wasn't can then be given to another host.
func (s *State) settleColdCredit(id identifier.ServerID, c *coldCredit, used bool) {
	c.until = 0
	s.emit(Send{To: c.from, Event: ColdCreditSettled{
		From: s.parameters.Host, Server: id, Incarnation: c.incarnation, Asked: c.since, Used: used,
	}})
}

// handleColdCreditTimer returns a credit that was not used in time.
func (s *State) handleColdCreditTimer(id identifier.ServerID) {
	if c, ok := s.traffic.coldCredits[id]; ok && c.until > 0 && c.until <= s.now {
		s.count(ColdCreditsReturnedCounter, "", 0)
		s.settleColdCredit(id, c, false)
	}
}

// takeColdCredit takes the credit for an attempt if the server is cold. It returns when the credit ends, 0 if the
// attempt needs none, and whether the attempt may be sent.
func (s *State) takeColdCredit(q *request, b *Backend) (identifier.Instant, bool) {
	if s.lacksColdCredit(b) {
		return 0, false
	}
	if !s.isCold(b) {
		return 0, true
	}
	c := s.coldCreditOf(b)
	until := c.until
	s.settleColdCredit(b.Server, c, true)
	s.count(ColdAttemptsCounter, "", q.rank)
	return until, true
}

// earlierEnd returns the earlier end of two permissions, of which 0 means that none is needed.
func earlierEnd(a, b identifier.Instant) identifier.Instant {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// requestColdCredit asks for a credit for a cold server that was passed over, unless an answer is awaited or there is
// none yet. It asks the control host that this host subscribes to, and others after those that didn't answer.
func (s *State) requestColdCredit(q *request, b *Backend) {
	c := s.coldCreditOf(b)
	if c.deniedUntil > s.now || (c.asked > 0 && s.now.Since(c.asked) < coldAskTimeout) {
		return
	}
	hosts := s.traffic.view.Fleet.creditHosts()
	if len(hosts) == 0 {
		return
	}
	if c.asked > 0 {
		c.tries++
	}
	c.asked = s.now
	s.count(ColdCreditsRequestedCounter, "", q.rank)
	s.emit(Send{To: hosts[c.tries%len(hosts)], Event: ColdCreditRequested{
		From: s.parameters.Host, Server: b.Server, Incarnation: b.Incarnation, Service: b.Service, Asked: c.asked,
	}})
}

// receiveColdCredit keeps a credit until a piece uses it or it ends. Only the answer to the latest request counts,
// and only once, since answers may be late or repeated.
func (s *State) receiveColdCredit(e ColdCreditAnswered) {
	c, ok := s.traffic.coldCredits[e.Server]
	if !ok || c.incarnation != e.Incarnation || c.asked == 0 || c.asked != e.Asked {
		return
	}
	c.asked, c.tries = 0, 0
	if e.RetryAfter > 0 {
		c.deniedUntil = s.now.Add(e.RetryAfter)
		return
	}
	c.until, c.from, c.since = e.Asked.Add(e.Hold), e.From, e.Asked
	s.schedule(c.until, coldCreditDue{e.Server})
}

// chooseCredited picks the server for an attempt, other than cold ones without a credit, and asks for credits for those
// that it would have picked.
func (s *State) chooseCredited(q *request, p *piece, candidates []chooser.Candidate) (*Backend, bool) {
	for {
		id, ok := s.traffic.chooser.Choose(s.now, candidates, s.random.IntN)
		if !ok {
			return nil, false
		}
		b, ok := s.backend(p.service, id)
		if !ok || !s.lacksColdCredit(b) {
			return b, ok
		}
		s.requestColdCredit(q, b)
		candidates = slices.DeleteFunc(candidates, func(c chooser.Candidate) bool { return c.Server == id })
	}
}

// coldFrom returns when a piece may find a credit, if all servers of its service that accept attempts are cold and
// there is no credit for any of them; 0 otherwise.
func (s *State) coldFrom(q *request, id identifier.ServiceID) identifier.Instant {
	first := identifier.Never
	backends := s.traffic.view.Fleet.Backends[id]
	for i := range backends {
		b := &backends[i]
		if s.acceptsAt(q, b) > s.now {
			continue
		}
		if !s.lacksColdCredit(b) {
			return 0
		}
		first = min(first, max(s.now.Add(ServerRetryInterval), s.coldCreditOf(b).deniedUntil))
	}
	if first == identifier.Never {
		return 0
	}
	return first
}

package reducer

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

const (
	// DepartureTimeout limits the time to commit a departure; servers call another host after a second.
	DepartureTimeout = 900 * identifier.Millisecond
	// DepartureRetention is how long a departure is kept in the replicated log's state: longer than an
	// earlier announcement of the server may be late.
	DepartureRetention = GoneServerRetention
	// maxDepartureBatch is the maximum number of departures in one command.
	maxDepartureBatch = 1024
)

// ShutdownStage is how far the shutdown of a backend server has got.
type ShutdownStage uint8

// The stages of a backend server's shutdown.
const (
	// Operating servers have not announced a shutdown.
	Operating ShutdownStage = iota
	// Finishing servers complete their work and take no more.
	Finishing
	// Departed servers have left.
	Departed
)

// Departure is the announced shutdown of one incarnation of a backend server.
type Departure struct {
	Server      identifier.ServerID    `msgpack:"s"`
	Service     identifier.ServiceID   `msgpack:"c"`
	Incarnation identifier.Incarnation `msgpack:"i"`
	Stage       ShutdownStage          `msgpack:"t"`
}

// departureOf returns the departure of the incarnation of a server that made the announcement.
func departureOf(a leaser.Announcement, stage ShutdownStage) Departure {
	return Departure{Server: a.Server, Service: a.Service, Incarnation: a.Incarnation, Stage: stage}
}

// supersedes reports whether the departure replaces the other one of the same member.
func (d Departure) supersedes(other Departure) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	return d.Stage > other.Stage
}

// ServersDeparted records departures of backend servers. An earlier incarnation or stage has no effect.
type ServersDeparted struct {
	command
	At         identifier.Instant `msgpack:"a"`
	Departures []Departure        `msgpack:"d"`
}

// RecordedDeparture is a departure in the replicated state, with the time at which it was proposed.
type RecordedDeparture struct {
	Departure Departure          `msgpack:"d"`
	At        identifier.Instant `msgpack:"a"`
}

// member identifies a server of a service. Another program may announce another service under the ID of a
// server, which must not hide that server's departure.
type member struct {
	server  identifier.ServerID
	service identifier.ServiceID
}

func (d Departure) member() member { return member{d.Server, d.Service} }

// departures holds the last departure of each member.
type departures map[member]RecordedDeparture

// record removes the departures that have lapsed at the instant, and adds those that were proposed then.
func (d departures) record(at identifier.Instant, list []Departure) {
	for m, x := range d {
		if x.lapsed(at) {
			delete(d, m)
		}
	}
	for _, x := range list {
		if !d.includes(at, x) {
			d[x.member()] = RecordedDeparture{Departure: x, At: at}
		}
	}
}

// lapsed reports whether the departure no longer counts: a server whose announcements name no start may
// have started again.
func (d RecordedDeparture) lapsed(now identifier.Instant) bool {
	return now.Since(d.At) > DepartureRetention
}

// includes reports whether the departure, or one that supersedes it, is recorded and has not lapsed.
func (d departures) includes(now identifier.Instant, x Departure) bool {
	known, ok := d[x.member()]
	return ok && !known.lapsed(now) && !x.supersedes(known.Departure)
}

// stage returns the recorded stage of an incarnation of a server.
func (d departures) stage(now identifier.Instant, a leaser.Announcement) ShutdownStage {
	known, ok := d[member{a.Server, a.Service}]
	if !ok || known.lapsed(now) || a.Incarnation > known.Departure.Incarnation {
		return Operating
	}
	if a.Incarnation < known.Departure.Incarnation {
		return Departed
	}
	return known.Departure.Stage
}

// snapshot returns the departures in order of server and service.
func (d departures) snapshot() []RecordedDeparture {
	list := make([]RecordedDeparture, 0, len(d))
	for _, x := range d {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b RecordedDeparture) int {
		return cmp.Or(cmp.Compare(a.Departure.Server, b.Departure.Server), cmp.Compare(a.Departure.Service, b.Departure.Service))
	})
	return list
}

func restoreDepartures(list []RecordedDeparture) departures {
	d := departures{}
	for _, x := range list {
		d[x.Departure.member()] = x
	}
	return d
}

// pendingDeparture is a departure that is not committed yet, and the answer for its server.
type pendingDeparture struct {
	departure Departure
	grant     GrantLease
	deadline  identifier.Instant
}

// departureQueue holds the departures that this control host has not acknowledged yet. One command at a
// time is in flight, so that servers that leave together share a write.
type departureQueue struct {
	inFlight, waiting []pendingDeparture
}

// departureOrigin is the departureQueue.
type departureOrigin struct{}

func (departureOrigin) isOrigin() {}

// withdrawalOf returns the departure of a server that withdraws, and whether this host knows the server.
func (s *State) withdrawalOf(id identifier.ServerID) (Departure, bool) {
	if known, ok := s.control.serverList.servers[id]; ok {
		return departureOf(known.Announcement, Departed), true
	}
	for m, x := range s.control.replicated.departures {
		if m.server == id && x.Departure.Stage == Departed && !x.lapsed(s.now) {
			return x.Departure, true
		}
	}
	return Departure{}, false
}

// acknowledgeDeparture answers a backend server that has announced its shutdown, once that is
// committed. A departure that is committed already is acknowledged at once if the server has named its incarnation; a
// withdrawal may come from a later one that this host doesn't know, and is committed again.
func (s *State) acknowledgeDeparture(d Departure, grant GrantLease) {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		s.emit(grant)
		return
	}
	if d.Stage == Finishing && s.control.replicated.departures.includes(s.now, d) {
		grant.Declined = false
		s.emit(grant)
		return
	}
	if grant.Declined {
		s.emit(grant)
		return
	}
	q := &s.control.departureQueue
	q.waiting = append(q.waiting, pendingDeparture{d, grant, s.now.Add(DepartureTimeout)})
	if len(q.inFlight) == 0 {
		s.proposeDepartures()
	}
}

// proposeDepartures proposes the waiting departures.
func (s *State) proposeDepartures() {
	q := &s.control.departureQueue
	var list []Departure
	for len(q.waiting) > 0 && len(list) < maxDepartureBatch {
		p := q.waiting[0]
		q.waiting = q.waiting[1:]
		if s.now >= p.deadline {
			p.grant.Declined = true
			s.emit(p.grant)
			continue
		}
		q.inFlight = append(q.inFlight, p)
		list = append(list, p.departure)
	}
	if len(list) > 0 {
		s.startOperation(Proposal{Command: ServersDeparted{Departures: list}}, departureOrigin{}, s.now.Add(DepartureTimeout))
	}
}

// answerDepartures answers the servers whose departures were in flight, and proposes those that waited
// meanwhile.
func (s *State) answerDepartures(committed bool) {
	q := &s.control.departureQueue
	answered := q.inFlight
	q.inFlight = nil
	if !committed {
		s.log(MembershipSubsystem, Warn, "departures of backend servers not committed in time", Field{"servers", formatCount(len(answered))})
	}
	for _, p := range answered {
		// A withdrawal of an incarnation that is no longer the latest may have come from a later one, which then sends
		// it again.
		p.grant.Declined = !committed || p.departure.Stage == Departed && s.startedAgain(p.departure)
		s.emit(p.grant)
	}
	s.proposeDepartures()
}

// applyDepartures records committed departures and lists them.
func (s *State) applyDepartures(c ServersDeparted) {
	s.control.replicated.departures.record(c.At, c.Departures)
	s.listDepartures(c)
}

// listDepartures lists the departures of a command. Without a start time a server that has started again
// can't be told from the one that left, so such a departure counts until it lapses only.
func (s *State) listDepartures(c ServersDeparted) {
	for _, d := range c.Departures {
		if r := (RecordedDeparture{Departure: d, At: c.At}); d.Incarnation > 0 || !r.lapsed(s.now) {
			s.listDeparture(d)
		}
	}
}

// listDeparture updates the server list to a departure, unless the server has started again since.
func (s *State) listDeparture(d Departure) {
	server, ok := s.control.serverList.servers[d.Server]
	if !ok || server.Announcement.Service != d.Service || server.Announcement.Incarnation > d.Incarnation ||
		server.shutdownStage() >= d.Stage {
		return
	}
	if d.Stage == Departed {
		s.recordWithdrawal(server)
		return
	}
	a := server.Announcement
	a.State = leaser.Draining
	s.updateListedServer(a, server.Standing)
}

// listStoredDepartures lists the departures in entries that were stored before this host started. They
// may not be committed, but the servers have announced them.
func (s *State) listStoredDepartures(entries []replicator.Entry) {
	for _, e := range entries {
		proposal, ok := e.Content.(replicator.Proposal[Command])
		if !ok {
			continue
		}
		if c, ok := proposal.Command.(ServersDeparted); ok {
			s.listDepartures(c)
		}
	}
}

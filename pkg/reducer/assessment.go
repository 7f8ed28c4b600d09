package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// MeasurementInterval separates what an entry host tells of the servers that it has
	// measured: more than two pauses of a server, so that one pause is not all that is told.
	MeasurementInterval = 400 * identifier.Millisecond
	// poorFactor is how many usual latencies of a route make an answer poor, and poorFloor the
	// least latency of a poor answer: waits within the host itself come to less.
	poorFactor = 3
	poorFloor  = 25 * identifier.Millisecond
	// probeDivisor is the part of the work for a degraded server that is sent there as probes.
	probeDivisor = 20
)

// ServersMeasured tells a control host what an entry host has borrowed of the extra attempts, and
// what it has measured of the shards' servers of its failure domain. Servers of other domains are
// left out, since the way to them may be at fault, and servers of single services, since a burst
// makes all of them slow.
type ServersMeasured struct {
	membershipEvent
	From    identifier.HostID `msgpack:"f"`
	Servers []Measurement     `msgpack:"s"`
	// Borrowed are the extra attempts that the host has borrowed.
	Borrowed []Borrowed `msgpack:"b"`
}

// Measurement is a tally of one server.
type Measurement struct {
	Server identifier.ServerID `msgpack:"s"`
	Tally  assessor.Tally      `msgpack:"t"`
}

// assess takes in what an entry host has measured and borrowed, and tells the readers what
// follows from it.
func (s *State) assess(e ServersMeasured) {
	news := s.lend(e.Borrowed)
	tallies := make([]assessor.Tally, 0, len(e.Servers))
	for _, m := range e.Servers {
		tallies = append(tallies, m.Tally)
	}
	if assessor.Ailing(tallies) {
		s.log(MembershipSubsystem, Debug, "most servers look poor to one host", Field{"host", string(e.From)})
	} else {
		news = s.judge(e) || news
	}
	if news {
		s.tellReaders()
	}
}

// judge takes the tallies of one host as evidence and reports whether a verdict has changed.
func (s *State) judge(e ServersMeasured) bool {
	r := &s.control.roster
	before := r.revision
	for _, m := range e.Servers {
		known, ok := r.servers[m.Server]
		if !ok || known.Standing == Left {
			continue
		}
		degraded, changed := r.assessor.Add(s.now, m.Server, m.Tally)
		if !changed {
			continue
		}
		r.revision++
		known.Degraded, known.Revision = degraded, r.revision
		message := "backend server is degraded"
		if !degraded {
			message = "backend server has recovered"
		}
		s.log(MembershipSubsystem, Info, message, Field{"server", string(m.Server)}, Field{"told-by", string(e.From)},
			Field{"answers", formatCount(m.Tally.Answers)}, Field{"poor", formatCount(m.Tally.Poor)})
	}
	return r.revision != before
}

// pace returns the latencies of the parts of a route, whichever service gave them.
func (t *traffic) pace(id declarer.RouteID) *hedger.Hedger {
	known, ok := t.paces[id]
	if !ok {
		known = hedger.New()
		t.paces[id] = known
	}
	return known
}

// result is how an attempt counts in what is told of its server.
type result uint8

const (
	resultGood result = iota
	// resultLate attempts took, or have taken, far longer than is usual.
	resultLate
	resultFailed
)

// resultOf returns how an answer after the span counts.
func (s *State) resultOf(a *sending, span identifier.Micros) result {
	if s.overdue(a, span) {
		return resultLate
	}
	return resultGood
}

// overdue reports whether an attempt that took the span, or still takes it, is far beyond what
// is usual for its route.
func (s *State) overdue(a *sending, span identifier.Micros) bool {
	median, _ := s.traffic.pace(a.route).Usual(a.rank)
	return median > 0 && span > max(poorFloor, poorFactor*median)
}

// tally counts an attempt once: when it ends, or when it is overdue.
func (s *State) tally(a *sending, r result) {
	if a.tallied {
		return
	}
	a.tallied = true
	s.awaitMeasurement()
	t := s.traffic.measured[a.server]
	t.Answers++
	switch r {
	case resultLate:
		t.Poor++
	case resultFailed:
		t.Poor++
		t.Failed++
	}
	s.traffic.measured[a.server] = t
}

// awaitMeasurement schedules the next word to the control host, unless it is.
func (s *State) awaitMeasurement() {
	if !s.traffic.awaited {
		s.traffic.awaited = true
		s.schedule(s.now.Add(MeasurementInterval), measurementDue{})
	}
}

// tellMeasurements sends what was measured to the control host that this host follows.
func (s *State) tellMeasurements() {
	told := ServersMeasured{From: s.parameters.Host}
	for _, id := range sortedKeys(s.traffic.measured) {
		told.Servers = append(told.Servers, Measurement{Server: id, Tally: s.traffic.measured[id]})
	}
	for _, id := range sortedKeys(s.traffic.credit.untold) {
		told.Borrowed = append(told.Borrowed, Borrowed{Service: id, Count: s.traffic.credit.untold[id]})
	}
	s.traffic.awaited = false
	clear(s.traffic.measured)
	clear(s.traffic.credit.untold)
	if fleet := s.traffic.view.Fleet; fleet != nil && fleet.Source != "" {
		s.emit(Send{To: fleet.Source, Event: told})
	}
}

// newPiece returns the piece of a service. A few draw the right to probe degraded servers.
func (s *State) newPiece(id identifier.ServiceID) piece {
	w := piece{service: id, again: identifier.Never}
	if slices.ContainsFunc(s.traffic.view.Fleet.Backends[id], func(b Backend) bool { return b.Degraded }) {
		w.probes = s.random.IntN(probeDivisor) == 0
	}
	return w
}

// avoids reports whether a piece is kept from a degraded server. A few go there, to see
// whether it has recovered.
func (w *piece) avoids(b *Backend) bool {
	return b.Degraded && !w.probes
}

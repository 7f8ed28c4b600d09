package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// MeasurementInterval is the interval at which an entry host reports its measurements of
	// servers: more than two pauses of a server, so that no report covers a single pause only.
	MeasurementInterval = 400 * identifier.Millisecond
	// An attempt is slow when it takes longer than both slowFactor median latencies of its
	// route and minSlowLatency, which exceeds the delays within the host itself. Slow and
	// failed attempts are poor.
	slowFactor     = 3
	minSlowLatency = 25 * identifier.Millisecond
	// One in probeDivisor pieces may be sent to a degraded server as a probe.
	probeDivisor = 20
)

// ServersMeasured reports to a control host the extra attempts that an entry host has borrowed,
// and its measurements of the shards' servers in its local failure domain. Servers in remote
// domains are left out, since the network may be at fault, and servers of single services, since a
// burst slows all of them down.
type ServersMeasured struct {
	membershipEvent
	From    identifier.HostID `msgpack:"f"`
	Servers []Measurement     `msgpack:"s"`
	// Borrowed are the extra attempts that the host has borrowed since its last report.
	Borrowed []Borrowed `msgpack:"b"`
	// Relayed is set by a control host that relays what its subscribers measured of servers that reject.
	Relayed bool `msgpack:"y"`
	// Prompt is set by a host that has used up its credit of extra attempts to a service whose servers reject.
	// It is answered at once, so that the host can borrow again.
	Prompt bool `msgpack:"m"`
}

// Measurement is the tally of one server.
type Measurement struct {
	Server identifier.ServerID `msgpack:"s"`
	Tally  assessor.Tally      `msgpack:"t"`
	// StatesLoad is set if the server has stated its load since the last report.
	StatesLoad bool `msgpack:"l"`
}

// handleMeasurements handles the report of an entry host, and notifies subscribers of any change in
// degraded servers or lending.
func (s *State) handleMeasurements(e ServersMeasured) {
	changed := s.lend(e.Borrowed)
	changed = s.recordRejections(e) || changed
	tallies := make([]assessor.Tally, 0, len(e.Servers))
	for _, m := range e.Servers {
		if m.Tally.Answers > 0 {
			tallies = append(tallies, m.Tally)
		}
	}
	if assessor.IndicatesHostFault(tallies) {
		s.log(MembershipSubsystem, Debug, "measurements ignored: most servers look poor to one host", Field{"host", string(e.From)})
	} else {
		changed = s.updateVerdicts(e) || changed
	}
	if changed {
		s.notifySubscribers()
	}
	if e.Prompt {
		s.answerPrompt(e.From)
	}
}

// updateVerdicts adds the tallies of one host to the evidence about its servers. It reports
// whether a server has become degraded or has recovered, or the share of a new one has changed.
func (s *State) updateVerdicts(e ServersMeasured) bool {
	sl := &s.control.serverList
	before := sl.revision
	for _, m := range e.Servers {
		server, ok := sl.servers[m.Server]
		if !ok || server.Standing == Left || server.Standing == Displaced || m.Tally.Answers == 0 {
			continue
		}
		s.updateShare(server, m)
		degraded, changed := sl.assessor.Add(s.now, m.Server, m.Tally)
		if !changed {
			continue
		}
		sl.revision++
		server.Degraded, server.Revision = degraded, sl.revision
		message := "backend server is degraded"
		if !degraded {
			message = "backend server has recovered"
		}
		s.log(MembershipSubsystem, Info, message, Field{"server", string(m.Server)}, Field{"told-by", string(e.From)},
			Field{"answers", formatCount(m.Tally.Answers)}, Field{"poor", formatCount(m.Tally.Poor)})
	}
	return sl.revision != before
}

// routeLatencies returns the latencies of the parts of a route, over all its services.
func (t *traffic) routeLatencies(id declarer.RouteID) *hedger.Hedger {
	latencies, ok := t.latenciesByRoute[id]
	if !ok {
		latencies = hedger.New()
		t.latenciesByRoute[id] = latencies
	}
	return latencies
}

// attemptResult is how an attempt counts in the measurements of its server.
type attemptResult uint8

const (
	resultGood attemptResult = iota
	// resultSlow attempts took, or have taken so far, much longer than the median of their
	// route.
	resultSlow
	resultFailed
)

// classifyLatency returns how an answer with the latency counts.
func (s *State) classifyLatency(a *requestAttempt, latency identifier.Micros) attemptResult {
	if s.isSlow(a, latency) {
		return resultSlow
	}
	return resultGood
}

// isSlow reports whether the latency of an attempt, or its waiting time so far, far exceeds the
// median of its route.
func (s *State) isSlow(a *requestAttempt, latency identifier.Micros) bool {
	median, _ := s.traffic.routeLatencies(a.route).TypicalLatency(a.rank)
	return median > 0 && latency > max(minSlowLatency, slowFactor*median)
}

// recordResult counts an attempt once: when it ends, or earlier when it is already slow.
func (s *State) recordResult(a *requestAttempt, r attemptResult) {
	if a.counted {
		return
	}
	a.counted = true
	s.scheduleMeasurements()
	t := s.traffic.unsentTallies[a.server]
	t.Answers++
	switch r {
	case resultSlow:
		t.Poor++
	case resultFailed:
		t.Poor++
		t.Failed++
	}
	s.traffic.unsentTallies[a.server] = t
}

// scheduleMeasurements schedules the next report to the control host if none is scheduled.
func (s *State) scheduleMeasurements() {
	if !s.traffic.measurementScheduled {
		s.traffic.measurementScheduled = true
		s.schedule(s.now.Add(MeasurementInterval), measurementDue{})
	}
}

// sendMeasurements sends a report to the control host that this host subscribes to; if prompt is set, that
// answers at once.
func (s *State) sendMeasurements(prompt bool) {
	report := ServersMeasured{From: s.parameters.Host, Prompt: prompt}
	s.addArrivals()
	for _, id := range sortedKeys(s.traffic.unsentTallies) {
		report.Servers = append(report.Servers, Measurement{
			Server: id, Tally: s.traffic.unsentTallies[id], StatesLoad: s.traffic.loadStated[id],
		})
	}
	for _, id := range sortedKeys(s.traffic.credit.unreported) {
		report.Borrowed = append(report.Borrowed, Borrowed{Service: id, Count: s.traffic.credit.unreported[id]})
	}
	s.traffic.measurementScheduled = s.traffic.measurementScheduled && report.Prompt
	clear(s.traffic.unsentTallies)
	clear(s.traffic.loadStated)
	clear(s.traffic.credit.unreported)
	if len(report.Servers) == 0 && len(report.Borrowed) == 0 {
		// A prompt report has sent what there was.
		return
	}
	if fleet := s.traffic.view.Fleet; fleet != nil && fleet.ControlHost != "" {
		s.emit(Send{To: fleet.ControlHost, Event: report})
	}
}

// newPiece returns a piece for a service. A random few may probe degraded servers.
func (s *State) newPiece(id identifier.ServiceID) piece {
	p := piece{service: id, retryAt: identifier.Never, rampDraw: s.drawRamp(id)}
	if slices.ContainsFunc(s.traffic.view.Fleet.Backends[id], func(b Backend) bool { return b.Degraded }) {
		p.mayProbe = s.random.IntN(probeDivisor) == 0
	}
	if s.hasRejection(id) {
		p.probesRejection = s.random.IntN(rejectionProbeDivisor) == 0
	}
	return p
}

// avoids reports whether a piece is kept away from a degraded server, or from a new one that gets a share of its
// work. A few pieces are sent to a degraded server to detect whether it has recovered.
func (p *piece) avoids(b *Backend) bool {
	if b.Degraded {
		return !p.mayProbe
	}
	return p.rampDraw > 0 && b.Share > 0 && p.rampDraw >= b.Share
}

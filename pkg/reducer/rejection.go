package reducer

import (
	"slices"
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// A single entry host sends a server too few attempts to know which ratio of them it rejects now. Entry
// hosts report what they measured of servers that reject to their control host, which relays it to the
// other control hosts: each estimates the same ratios, and lists them for its subscribers. Without
// rejections no message is sent and none grows.
const (
	// rejectionRelayInterval is how long a control host collects measurements before it relays them: a
	// quarter of the interval of reports, so that hosts know of rejections within a second.
	rejectionRelayInterval = MeasurementInterval / 4
	// One in rejectionProbeDivisor pieces disregards which servers reject, so that the end of it is measured.
	// With 40 pieces a second to a service it gives each server enough attempts to recover within two
	// seconds; while a sound server is left, the service has extra attempts to spare for it.
	rejectionProbeDivisor = 10
	// promptReportDelay is how long a host collects loans that it reports at once, so that a burst of them
	// costs one message and its answer.
	promptReportDelay = 20 * identifier.Millisecond
)

// arrivals counts a server's attempts that it rejected, and those that it accepted meanwhile.
type arrivals struct {
	rejected, accepted int
}

// recordRejected counts an attempt that its server rejected. It reports whether the server is listed as
// rejecting, so that the choice of a server takes it into account already.
func (s *State) recordRejected(a *requestAttempt) bool {
	n := s.traffic.unsentArrivals[a.server]
	n.rejected++
	s.traffic.unsentArrivals[a.server] = n
	s.scheduleMeasurements()
	return s.isListedRejecting(a)
}

// recordAccepted counts an attempt that a server accepted, if the server rejects others.
func (s *State) recordAccepted(a *requestAttempt) {
	n, ok := s.traffic.unsentArrivals[a.server]
	if !ok && !s.isListedRejecting(a) {
		return
	}
	n.accepted++
	s.traffic.unsentArrivals[a.server] = n
	s.scheduleMeasurements()
}

func (s *State) isListedRejecting(a *requestAttempt) bool {
	b, ok := s.backend(a.service, a.server)
	return ok && b.Incarnation == a.incarnation && b.Rejection > 0
}

// addArrivals adds the attempts that servers have rejected and accepted to the unsent measurements.
func (s *State) addArrivals() {
	for id, n := range s.traffic.unsentArrivals {
		t := s.traffic.unsentTallies[id]
		t.Rejected, t.Accepted = n.rejected, n.accepted
		s.traffic.unsentTallies[id] = t
	}
	clear(s.traffic.unsentArrivals)
}

// hasRejection reports whether a server of the service is listed as rejecting.
func (s *State) hasRejection(id identifier.ServiceID) bool {
	return slices.ContainsFunc(s.traffic.view.Fleet.Backends[id], func(b Backend) bool { return b.Rejection > 0 })
}

// rejectionOf returns the ratio of attempts that a server rejects, for the choice of a server.
func (p *piece) rejectionOf(b *Backend) identifier.Ratio {
	if p.probesRejection {
		return 0
	}
	return b.Rejection
}

// recordRejections adds the measurements of servers that reject to the estimates of a control host, and
// keeps those of its subscribers to relay them. It reports whether a listed ratio has changed.
func (s *State) recordRejections(e ServersMeasured) bool {
	sl := &s.control.serverList
	before := sl.revision
	for _, m := range e.Servers {
		server, ok := sl.servers[m.Server]
		if !ok || server.Standing == Left || server.Standing == Displaced {
			continue
		}
		ratio, changed := sl.rejections.Add(s.now, m.Server, m.Tally)
		if changed {
			s.listRejection(server, ratio)
		}
		if !e.Relayed && (changed || sl.rejections.Rejects(m.Server)) {
			s.keepForRelay(m)
		}
	}
	return sl.revision != before
}

// listRejection lists the ratio of attempts that a server rejects.
func (s *State) listRejection(server *ListedServer, ratio identifier.Ratio) {
	sl := &s.control.serverList
	message := ""
	switch {
	case server.Rejection == 0:
		message = "backend server rejects attempts"
	case ratio == 0:
		message = "backend server no longer rejects attempts"
	}
	if message != "" {
		s.log(MembershipSubsystem, Info, message, Field{"server", string(server.Announcement.Server)},
			Field{"ratio", strconv.FormatFloat(float64(ratio), 'f', 2, 64)})
	}
	sl.revision++
	server.Rejection, server.Revision = ratio, sl.revision
}

// keepForRelay adds a measurement to those that this control host relays next.
func (s *State) keepForRelay(m Measurement) {
	sl := &s.control.serverList
	if len(sl.unrelayed) == 0 {
		s.schedule(s.now.Add(rejectionRelayInterval), rejectionRelayDue{})
	}
	t := sl.unrelayed[m.Server]
	t.Rejected += m.Tally.Rejected
	t.Accepted += max(m.Tally.Answers, m.Tally.Accepted)
	sl.unrelayed[m.Server] = t
}

// relayRejections sends the other control hosts what the subscribers have measured of servers that reject.
func (s *State) relayRejections() {
	sl := &s.control.serverList
	message := ServersMeasured{From: s.parameters.Host, Relayed: true}
	for _, id := range sortedKeys(sl.unrelayed) {
		message.Servers = append(message.Servers, Measurement{Server: id, Tally: sl.unrelayed[id]})
	}
	sl.unrelayed = map[identifier.ServerID]assessor.Tally{}
	s.sendToPeers(message)
}

// expireRejections lists servers whose rejections were not measured recently as accepting.
func (s *State) expireRejections() {
	sl := &s.control.serverList
	before := sl.revision
	for _, id := range sl.rejections.Expire(s.now) {
		if server, ok := sl.servers[id]; ok && server.Rejection > 0 {
			s.listRejection(server, 0)
		}
	}
	if sl.revision != before {
		s.notifySubscribers()
	}
}

// schedulePromptReport schedules a report of what this host has borrowed if it can't borrow another extra
// attempt to a service whose servers reject.
func (s *State) schedulePromptReport(id identifier.ServiceID) {
	if s.traffic.promptReportScheduled || !s.hasRejection(id) || s.traffic.credit.available(id, s.creditLimit()) > 0 {
		return
	}
	s.traffic.promptReportScheduled = true
	s.schedule(s.now.Add(promptReportDelay), promptReportDue{})
}

// sendPromptReport reports what this host has borrowed if it has not been reported meanwhile.
func (s *State) sendPromptReport() {
	s.traffic.promptReportScheduled = false
	if len(s.traffic.credit.unreported) > 0 {
		s.sendMeasurements(true)
	}
}

// answerPrompt tells a subscriber what is lent to it now.
func (s *State) answerPrompt(id identifier.HostID) {
	if p, ok := s.control.serverList.pollers[id]; ok && p.subscribed {
		s.sendServerList(id, p)
	}
}

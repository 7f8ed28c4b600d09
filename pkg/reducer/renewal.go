package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// pendingRenewal is a server that repeated its announcement unchanged since the last heartbeat.
type pendingRenewal struct {
	server   identifier.ServerID
	received identifier.Instant
}

// relayAnnouncement forwards an announcement made to this host to the other hosts: immediately
// if it changes something, else with the next heartbeat.
func (s *State) relayAnnouncement(e ServerAnnounced, changed bool) {
	if changed {
		s.sendToPeers(ServerRelayed{Announcement: e.Announcement, From: s.parameters.Host, Stamp: s.stamp()})
		return
	}
	if len(s.peers()) > 0 {
		s.control.renewals = append(s.control.renewals, pendingRenewal{e.Announcement.Server, s.now})
	}
}

// relayRenewals sends the other hosts, in one event, the renewals since the last heartbeat.
func (s *State) relayRenewals() {
	list := make([]AgedRenewal, 0, len(s.control.renewals))
	for _, p := range s.control.renewals {
		if r, ok := s.control.leases.Renewal(p.server); ok {
			list = append(list, AgedRenewal{Renewal: r, Age: s.now.Since(p.received)})
		}
	}
	s.control.renewals = s.control.renewals[:0]
	if len(list) > 0 {
		s.sendToPeers(RenewalsRelayed{From: s.parameters.Host, Stamp: s.stamp(), Renewals: list})
	}
}

// receiveRenewals extends leases and requests the announcements that this host lacks.
func (s *State) receiveRenewals(e RenewalsRelayed) {
	sent := s.now.Add(-s.excessLatency(e.From, e.Stamp))
	var wanted []identifier.ServerID
	for _, r := range e.Renewals {
		if !s.control.leases.Renew(sent.Add(-r.Age), r.Renewal) {
			wanted = append(wanted, r.Server)
			continue
		}
		s.renewLease(r.Server)
		delete(s.control.serverList.restoredServers, r.Server)
	}
	if len(wanted) > 0 {
		s.emit(Send{To: e.From, Event: AnnouncementsWanted{Host: s.parameters.Host, Servers: wanted}})
	}
}

// sendAnnouncements sends a host the announcements that it lacks.
func (s *State) sendAnnouncements(e AnnouncementsWanted) {
	for _, id := range e.Servers {
		a, ok := s.control.leases.Latest(id)
		if !ok {
			continue
		}
		received := s.control.leases.Expiry(id).Add(-s.leaseTerm())
		s.emit(Send{To: e.Host, Event: ServerRelayed{
			Announcement: a, From: s.parameters.Host, Stamp: s.stamp(), Age: s.now.Since(received),
		}})
	}
}

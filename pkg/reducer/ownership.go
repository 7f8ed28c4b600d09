package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// Restriction periods after a change of owner.
const (
	// TakeoverGrace is how long a new owner is limited to one call on a server if the previous
	// owner stopped sending heartbeats: it may be partitioned and still assign slots.
	TakeoverGrace = HostTimeout
	// HandoverGrace is the same period if the previous owner is leaving: it assigns no more
	// slots, but its last calls may still run.
	HandoverGrace = 100 * identifier.Millisecond
)

// LeaseInvariant requires that a call is sent to a server only while the server is not draining,
// its lease is valid, and this host may act as its owner.
const LeaseInvariant Invariant = "calls-under-lease"

// ownership is the state of this host's ownership of one server.
type ownership struct {
	// leaseExpiry is when the server's lease lapses.
	leaseExpiry identifier.Instant
	// restrictedUntil is the instant until which calls of a previous owner may still run.
	restrictedUntil identifier.Instant
}

// extendOwnership is called with each heartbeat. It notifies this host's traffic states that the
// other hosts won't take over its servers before HostTimeout has passed. If the previous
// heartbeat was HostTimeout ago or longer, they may have done so.
func (s *State) extendOwnership() {
	lapsed := s.now.Since(s.control.lastHeartbeat) >= HostTimeout
	s.control.lastHeartbeat = s.now
	s.emit(Send{To: s.parameters.Host, Event: OwnershipRenewed{Until: s.now.Add(HostTimeout), Lapsed: lapsed}})
}

// renewLease notifies this host's traffic states of the lease of a server that it owns.
func (s *State) renewLease(id identifier.ServerID) {
	server, ok := s.control.published.Servers[id]
	if !ok || server.Owner != s.parameters.Host {
		return
	}
	s.emit(Send{To: s.parameters.Host, Event: LeaseRenewed{Server: id, Until: s.control.leases.Expiry(id)}})
}

// maxClockDrift is by how many microseconds a second the clocks of two hosts drift apart at most: half of it each.
const maxClockDrift = 500

// clockOffset is the smallest difference seen between the clocks of this host and of one
// process of another host, and when it was seen. It includes the lowest network latency between them.
type clockOffset struct {
	started         identifier.Instant
	leastDifference identifier.Micros
	seenAt          identifier.Instant
}

// least returns the smallest difference that the clocks may have by now.
func (o clockOffset) least(now identifier.Instant) identifier.Micros {
	return o.leastDifference + now.Since(o.seenAt)*maxClockDrift/identifier.Second
}

// stamp returns the stamp of an event that this host sends now.
func (s *State) stamp() Stamp {
	return Stamp{Started: s.control.started, Sent: s.now}
}

// excessLatency returns how much longer an event from another host was in transit than the fastest
// one from the same process, in microseconds. It also updates the clock offset of that process.
// The clocks of the two hosts need not agree, but neither may step while its process runs, nor may they drift apart faster
// than maxClockDrift.
func (s *State) excessLatency(from identifier.HostID, at Stamp) identifier.Micros {
	difference := s.now.Since(at.Sent)
	offset, ok := s.control.clockOffsets[from]
	least := offset.least(s.now)
	if !ok || offset.started != at.Started || difference < least {
		s.control.clockOffsets[from] = clockOffset{started: at.Started, leastDifference: difference, seenAt: s.now}
		return 0
	}
	return difference - least
}

func (s *State) renewOwnership(e OwnershipRenewed) {
	o := &s.traffic.owner
	o.confirmedUntil = e.Until
	if e.Lapsed {
		s.restrictServers()
	}
	for _, id := range sortedKeys(o.servers) {
		s.dispatchQueue(id)
	}
}

// restrictServers restricts the calls on all servers, as after a takeover.
func (s *State) restrictServers() {
	o := &s.traffic.owner
	o.restrictedUntil = s.now.Add(TakeoverGrace)
	for _, sv := range o.servers {
		sv.limiter.Restrict(o.restrictedUntil)
	}
}

func (s *State) renewServer(e LeaseRenewed) {
	ow := s.traffic.owner.ownerships[e.Server]
	ow.leaseExpiry = max(ow.leaseExpiry, e.Until)
	s.traffic.owner.ownerships[e.Server] = ow
}

// updateOwnerships records the servers that this host takes over from another owner in the next
// view, and removes those that it no longer owns.
func (s *State) updateOwnerships(previous, next *View) {
	o := &s.traffic.owner
	for id := range o.ownerships {
		if server, ok := next.Servers[id]; !ok || server.Owner != s.parameters.Host {
			delete(o.ownerships, id)
		}
	}
	for id, server := range next.Servers {
		before, known := previous.Servers[id]
		if server.Owner != s.parameters.Host || !known || before.Owner == s.parameters.Host {
			continue
		}
		grace := TakeoverGrace
		if slices.Contains(next.Leaving, before.Owner) {
			grace = HandoverGrace
		}
		ow := ownership{leaseExpiry: server.Expires, restrictedUntil: s.now.Add(grace)}
		o.ownerships[id] = ow
		if sv, ok := o.servers[id]; ok {
			sv.limiter.Restrict(ow.restrictedUntil)
		}
	}
}

// leaseExpiry returns when the server's lease lapses, by the view or a later renewal.
func (s *State) leaseExpiry(server *Server) identifier.Instant {
	return max(server.Expires, s.traffic.owner.ownerships[server.Server].leaseExpiry)
}

// owns returns a server and reports whether this host may send new work to it now.
func (s *State) owns(id identifier.ServerID) (*Server, bool) {
	server, ok := s.traffic.view.Servers[id]
	if !ok || server.Owner != s.parameters.Host || server.State == leaser.Draining {
		return nil, false
	}
	return server, s.now < s.leaseExpiry(server)
}

// ownershipConfirmed reports whether no other host may have taken over this host's servers.
func (s *State) ownershipConfirmed() bool {
	return s.now < s.traffic.owner.confirmedUntil
}

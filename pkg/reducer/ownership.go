package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// Spans of a change of owner.
const (
	// TakeoverGrace is how long a new owner of a server keeps to one call there when
	// the previous owner fell silent: it may be cut off and still give out slots.
	TakeoverGrace = HostTimeout
	// HandoverGrace is how long it does so when the previous owner leaves: that one
	// gives out no more slots, but its last calls may still run.
	HandoverGrace = 100 * identifier.Millisecond
)

// LeaseInvariant says that no call goes to a server that drains, whose lease has
// lapsed, or that this host may not act as the owner of.
const LeaseInvariant Invariant = "calls-under-lease"

// ownership is what a host knows about its ownership of one server.
type ownership struct {
	// lease is when the server's lease lapses.
	lease identifier.Instant
	// cautious is until when calls of a previous owner may still run.
	cautious identifier.Instant
}

// extendOwnership tells this host's traffic with each heartbeat that the other hosts
// leave its servers to it. After a silence as long as HostTimeout they may not have.
func (s *State) extendOwnership() {
	lapsed := s.now.Since(s.control.beat) >= HostTimeout
	s.control.beat = s.now
	s.emit(Send{To: s.parameters.Host, Event: OwnershipRenewed{Until: s.now.Add(HostTimeout), Lapsed: lapsed}})
}

// renewLease tells this host's traffic about the lease of a server that it owns.
func (s *State) renewLease(id identifier.ServerID) {
	server, ok := s.control.published.Servers[id]
	if !ok || server.Owner != s.parameters.Host {
		return
	}
	s.emit(Send{To: s.parameters.Host, Event: LeaseRenewed{Server: id, Until: s.control.leases.Expiry(id)}})
}

// delay is the least difference seen between the clocks of this host and of
// one process of another host, which includes the fastest way between them.
type delay struct {
	started identifier.Instant
	least   identifier.Micros
}

// stamp returns the stamp of an event that this host sends now.
func (s *State) stamp() Stamp {
	return Stamp{Started: s.control.started, Sent: s.now}
}

// delayOf returns for how long an event of another host was on its way beyond the
// fastest one from the same process, in microseconds. The clocks of the two hosts need not
// agree; neither steps while its process runs.
func (s *State) delayOf(from identifier.HostID, at Stamp) identifier.Micros {
	difference := s.now.Since(at.Sent)
	known, ok := s.control.delays[from]
	if !ok || known.started != at.Started || difference < known.least {
		s.control.delays[from] = delay{started: at.Started, least: difference}
		return 0
	}
	return difference - known.least
}

func (s *State) renewOwnership(e OwnershipRenewed) {
	o := &s.traffic.owner
	o.until = e.Until
	if e.Lapsed {
		s.beCautious()
	}
	for _, id := range sortedKeys(o.accounts) {
		s.dispatch(id)
	}
}

// beCautious restricts all servers, as after a takeover.
func (s *State) beCautious() {
	o := &s.traffic.owner
	o.cautious = s.now.Add(TakeoverGrace)
	for _, a := range o.accounts {
		a.limiter.Restrict(o.cautious)
	}
}

func (s *State) renewServer(e LeaseRenewed) {
	t := s.traffic.owner.ownerships[e.Server]
	t.lease = max(t.lease, e.Until)
	s.traffic.owner.ownerships[e.Server] = t
}

// adoptOwnership notes which servers this host takes over from another owner by
// a view, and forgets those that it no longer owns.
func (s *State) adoptOwnership(previous, next *View) {
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
		t := ownership{lease: server.Expires, cautious: s.now.Add(grace)}
		o.ownerships[id] = t
		if a, ok := o.accounts[id]; ok {
			a.limiter.Restrict(t.cautious)
		}
	}
}

// leaseOf returns when the server's lease lapses by all that is known.
func (s *State) leaseOf(server *Server) identifier.Instant {
	return max(server.Expires, s.traffic.owner.ownerships[server.Server].lease)
}

// owns returns a server that this host may give new work now.
func (s *State) owns(id identifier.ServerID) (*Server, bool) {
	server, ok := s.traffic.view.Servers[id]
	if !ok || server.Owner != s.parameters.Host || server.State == leaser.Draining {
		return nil, false
	}
	return server, s.now < s.leaseOf(server)
}

// confirmed reports whether the other hosts leave this host's servers to it.
func (s *State) confirmed() bool {
	return s.now < s.traffic.owner.until
}

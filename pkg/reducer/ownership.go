package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// TakeoverGrace is how long a new owner of a server keeps to one call there,
// since calls of the previous owner may still run.
const TakeoverGrace = HostTimeout

// LeaseInvariant says that no call goes to a server that drains, whose lease has
// lapsed, or that this host may not act as the owner of.
const LeaseInvariant Invariant = "calls-under-lease"

// tenure is what a host knows about its ownership of one server.
type tenure struct {
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

// delayOf returns for how long a relayed announcement was on its way beyond the
// fastest one from the same host, in microseconds. The clocks of the two hosts need not agree: only
// the difference between their readings counts.
func (s *State) delayOf(e ServerRelayed) identifier.Micros {
	offset := s.now.Since(e.Sent)
	least, ok := s.control.delays[e.From]
	if !ok || offset < least {
		s.control.delays[e.From] = offset
		return 0
	}
	return offset - least
}

// forgetDelays drops what was measured of a host's connection that ended; its
// clock may have been set since.
func (s *State) forgetDelays(host identifier.HostID) {
	delete(s.control.delays, host)
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
	t := s.traffic.owner.tenures[e.Server]
	t.lease = max(t.lease, e.Until)
	s.traffic.owner.tenures[e.Server] = t
}

// adoptTenures notes which servers this host takes over from another owner by
// a view, and forgets those that it no longer owns.
func (s *State) adoptTenures(previous, next *View) {
	o := &s.traffic.owner
	for id := range o.tenures {
		if server, ok := next.Servers[id]; !ok || server.Owner != s.parameters.Host {
			delete(o.tenures, id)
		}
	}
	for id, server := range next.Servers {
		before, known := previous.Servers[id]
		if server.Owner != s.parameters.Host || !known || before.Owner == s.parameters.Host {
			continue
		}
		t := tenure{lease: server.Expires, cautious: s.now.Add(TakeoverGrace)}
		o.tenures[id] = t
		if a, ok := o.accounts[id]; ok {
			a.limiter.Restrict(t.cautious)
		}
	}
}

// leaseOf returns when the server's lease lapses by all that is known.
func (s *State) leaseOf(server *Server) identifier.Instant {
	return max(server.Expires, s.traffic.owner.tenures[server.Server].lease)
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

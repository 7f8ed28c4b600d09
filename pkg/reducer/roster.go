package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// rosterLifetime limits the age of a roster: hosts that fall silent leave it without an event.
const rosterLifetime = NotificationInterval

// roster is the list of entry hosts that a control host knows of, prepared for its answers to pollers. Building it for
// each answer costs time in proportion to the hosts, and control time in proportion to their square.
type roster struct {
	hosts []router.Host
	// all and byDomain hold the hosts' IDs in order.
	all      []identifier.HostID
	byDomain map[identifier.DomainID][]identifier.HostID
	// generation counts the changes of the hosts.
	generation uint64
	builtAt    identifier.Instant
	// outdated is set when a host has begun or ended its subscription.
	outdated bool
}

// roster returns the current roster.
func (s *State) roster() *roster {
	r := &s.control.serverList.roster
	if r.generation > 0 && !r.outdated && s.now.Since(r.builtAt) < rosterLifetime {
		return r
	}
	r.builtAt, r.outdated = s.now, false
	if hosts := s.listEntryHosts(); r.generation == 0 || !slices.Equal(hosts, r.hosts) {
		r.replace(hosts)
	}
	return r
}

func (r *roster) replace(hosts []router.Host) {
	r.generation++
	r.hosts, r.all, r.byDomain = hosts, make([]identifier.HostID, 0, len(hosts)), map[identifier.DomainID][]identifier.HostID{}
	for _, h := range hosts {
		r.all = append(r.all, h.ID)
		r.byDomain[h.Domain] = append(r.byDomain[h.Domain], h.ID)
	}
	slices.Sort(r.all)
	for _, ids := range r.byDomain {
		slices.Sort(ids)
	}
}

// position returns the position of a host in the domain.
func (r *roster) position(id identifier.HostID, domain identifier.DomainID) HostPosition {
	all, _ := slices.BinarySearch(r.all, id)
	local, _ := slices.BinarySearch(r.byDomain[domain], id)
	return HostPosition{Local: local, All: all}
}

// counts returns the counts of entry hosts for a host in the domain.
func (r *roster) counts(domain identifier.DomainID) HostCounts {
	local := len(r.byDomain[domain])
	return HostCounts{Local: max(1, local), Remote: len(r.all) - local}
}

// delegates returns the entry hosts of remote failure domains that gather parts for a subscriber. Rendezvous hashing
// spreads the subscribers over them.
func (r *roster) delegates(id identifier.HostID, to *poller) []router.Host {
	if !to.subscribed {
		return nil
	}
	if to.delegatesFrom != r.generation {
		to.delegates = router.RemoteHosts(id, to.domain, r.hosts, DelegatesPerDomain)
		to.delegatesFrom = r.generation
	}
	return to.delegates
}

// allEntryHosts returns the entry hosts of the deployment that this host knows of. Until this host is synchronized,
// they include the hosts in the restored snapshot.
func (s *State) allEntryHosts() []router.Host {
	return s.roster().hosts
}

func (s *State) listEntryHosts() []router.Host {
	hosts := s.subscriberHosts()
	for _, id := range sortedKeys(s.control.serverList.peerSubscribers) {
		if s.isLive(id) {
			hosts = append(hosts, s.control.serverList.peerSubscribers[id]...)
		}
	}
	if s.control.synchronized {
		return hosts
	}
	known := make(map[identifier.HostID]bool, len(hosts))
	for _, h := range hosts {
		known[h.ID] = true
	}
	for _, h := range s.control.serverList.restoredEntryHosts {
		if !known[h.ID] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// subscriberHosts returns the entry hosts that subscribe to this control host, in order of ID.
func (s *State) subscriberHosts() []router.Host {
	var hosts []router.Host
	for _, id := range sortedKeys(s.control.serverList.pollers) {
		if p := s.control.serverList.pollers[id]; p.subscribed && s.now.Since(p.lastSeen) < PollTimeout {
			hosts = append(hosts, router.Host{ID: id, Domain: p.domain})
		}
	}
	return hosts
}

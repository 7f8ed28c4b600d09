package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// entryHostIndexLifetime limits the age of an index: hosts that fall silent leave the list without an event.
const entryHostIndexLifetime = NotificationInterval

// entryHostIndex is the list of entry hosts that a control host knows of, prepared for its answers to pollers. Building it for
// each answer costs time in proportion to the hosts, and control time in proportion to their square.
type entryHostIndex struct {
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

// entryHosts returns the current index of the entry hosts.
func (s *State) entryHosts() *entryHostIndex {
	x := &s.control.serverList.entryHosts
	if x.generation > 0 && !x.outdated && s.now.Since(x.builtAt) < entryHostIndexLifetime {
		return x
	}
	x.builtAt, x.outdated = s.now, false
	if hosts := s.listEntryHosts(); x.generation == 0 || !slices.Equal(hosts, x.hosts) {
		x.replace(hosts)
	}
	return x
}

func (x *entryHostIndex) replace(hosts []router.Host) {
	x.generation++
	x.hosts, x.all, x.byDomain = hosts, make([]identifier.HostID, 0, len(hosts)), map[identifier.DomainID][]identifier.HostID{}
	for _, h := range hosts {
		x.all = append(x.all, h.ID)
		x.byDomain[h.Domain] = append(x.byDomain[h.Domain], h.ID)
	}
	slices.Sort(x.all)
	for _, ids := range x.byDomain {
		slices.Sort(ids)
	}
}

// position returns the position of a host in the domain.
func (x *entryHostIndex) position(id identifier.HostID, domain identifier.DomainID) HostPosition {
	all, _ := slices.BinarySearch(x.all, id)
	local, _ := slices.BinarySearch(x.byDomain[domain], id)
	return HostPosition{Local: local, All: all}
}

// counts returns the counts of entry hosts for a host in the domain.
func (x *entryHostIndex) counts(domain identifier.DomainID) HostCounts {
	local := len(x.byDomain[domain])
	return HostCounts{Local: max(1, local), Remote: len(x.all) - local}
}

// delegates returns the entry hosts of remote failure domains that gather parts for a subscriber. Rendezvous hashing
// spreads the subscribers over them.
func (x *entryHostIndex) delegates(id identifier.HostID, to *poller) []router.Host {
	if !to.subscribed {
		return nil
	}
	if to.delegatesFrom != x.generation {
		to.delegates = router.RemoteHosts(id, to.domain, x.hosts, DelegatesPerDomain)
		to.delegatesFrom = x.generation
	}
	return to.delegates
}

// allEntryHosts returns the entry hosts of the deployment that this host knows of. Until this host is synchronized,
// they include the hosts in the restored snapshot.
func (s *State) allEntryHosts() []router.Host {
	return s.entryHosts().hosts
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

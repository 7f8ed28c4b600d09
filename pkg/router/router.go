// Package router determines which entry host owns a backend server.
//
// The owner holds the connections to the server and tracks its slots, so the number
// of connections per server does not grow with the number of entry hosts.
// Owners are assigned by rendezvous hashing, so only the servers of a host that joins
// or leaves change owner.
//
// # Usage
//
//	owner, ok := router.Owner("s-1", "fd-1", []router.Host{{ID: "h-1", Domain: "fd-1"}})
package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Host is a live entry host.
type Host struct {
	ID     identifier.HostID
	Domain identifier.DomainID
}

// Owner returns the entry host that owns the server: the one with the highest hash
// weight among the hosts in the server's failure domain, or among all hosts if that
// failure domain has none. It returns false if there are no hosts.
func Owner(server identifier.ServerID, domain identifier.DomainID, hosts []Host) (identifier.HostID, bool) {
	if owner, ok := highestWeight(server, hosts, func(h Host) bool { return h.Domain == domain }); ok {
		return owner, true
	}
	return highestWeight(server, hosts, func(Host) bool { return true })
}

// highestWeight returns the eligible host with the highest hash weight for the server.
// Hosts with equal weights are ordered by id.
func highestWeight(server identifier.ServerID, hosts []Host, eligible func(Host) bool) (identifier.HostID, bool) {
	var owner identifier.HostID
	var best uint64
	found := false
	for _, h := range hosts {
		if !eligible(h) {
			continue
		}
		w := weight(h.ID, string(server))
		if !found || w > best || (w == best && h.ID < owner) {
			owner, best, found = h.ID, w, true
		}
	}
	return owner, found
}

// RemoteHosts returns the hosts of remote failure domains that the host with the given id and
// domain uses, sorted by id. It selects up to count hosts of each remote domain, those
// with the highest hash weights for id, which spreads the load evenly over them.
func RemoteHosts(id identifier.HostID, domain identifier.DomainID, hosts []Host, count int) []Host {
	type weightedHost struct {
		host   Host
		weight uint64
	}
	domains := map[identifier.DomainID][]weightedHost{}
	for _, h := range hosts {
		if h.Domain != domain {
			domains[h.Domain] = append(domains[h.Domain], weightedHost{h, weight(h.ID, string(id))})
		}
	}
	var selected []Host
	for _, candidates := range domains {
		slices.SortFunc(candidates, func(a, b weightedHost) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.ID, b.host.ID))
		})
		for _, w := range candidates[:min(count, len(candidates))] {
			selected = append(selected, w.host)
		}
	}
	slices.SortFunc(selected, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return selected
}

func weight(host identifier.HostID, key string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + key)
}

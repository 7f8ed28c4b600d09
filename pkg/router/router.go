// Package router decides which entry host owns a backend server.
//
// The owner holds the server's connections and counts its slots, so the number
// of connections per server does not grow with the number of entry hosts.
// Rendezvous hashing moves only the servers of a host that joins or leaves.
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

// Owner returns the entry host that owns the server: the one with the highest
// hash among the hosts of the server's failure domain, or among all hosts when
// that failure domain has none. It reports false when there are no hosts.
func Owner(server identifier.ServerID, domain identifier.DomainID, hosts []Host) (identifier.HostID, bool) {
	if owner, ok := highest(server, hosts, func(h Host) bool { return h.Domain == domain }); ok {
		return owner, true
	}
	return highest(server, hosts, func(Host) bool { return true })
}

func highest(server identifier.ServerID, hosts []Host, eligible func(Host) bool) (identifier.HostID, bool) {
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

// Beyond returns the hosts of other failure domains that a host works with, the given
// number of each domain: those of the highest hashes with its id, so that hosts spread
// evenly over them, in order of id.
func Beyond(id identifier.HostID, domain identifier.DomainID, hosts []Host, count int) []Host {
	type weighed struct {
		host   Host
		weight uint64
	}
	domains := map[identifier.DomainID][]weighed{}
	for _, h := range hosts {
		if h.Domain != domain {
			domains[h.Domain] = append(domains[h.Domain], weighed{h, weight(h.ID, string(id))})
		}
	}
	var chosen []Host
	for _, list := range domains {
		slices.SortFunc(list, func(a, b weighed) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.ID, b.host.ID))
		})
		for _, w := range list[:min(count, len(list))] {
			chosen = append(chosen, w.host)
		}
	}
	slices.SortFunc(chosen, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

func weight(host identifier.HostID, key string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + key)
}

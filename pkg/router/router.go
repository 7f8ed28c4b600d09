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
	"slices"
	"strings"

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
	remaining := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Domain == domain })
	var chosen []Host
	for _, h := range remaining {
		ahead := 0
		for _, other := range remaining {
			if other.Domain == h.Domain && weighsMore(other, h, string(id)) {
				ahead++
			}
		}
		if ahead < count {
			chosen = append(chosen, h)
		}
	}
	slices.SortFunc(chosen, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return chosen
}

func weighsMore(a, b Host, key string) bool {
	x, y := weight(a.ID, key), weight(b.ID, key)
	return x > y || (x == y && a.ID < b.ID)
}

func weight(host identifier.HostID, key string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + key)
}

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
		weight := xxhash.Sum64String(string(h.ID) + "\x00" + string(server))
		if !found || weight > best || (weight == best && h.ID < owner) {
			owner, best, found = h.ID, weight, true
		}
	}
	return owner, found
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// View is what control knows, for the traffic states to read. It is immutable
// once published.
type View struct {
	// Configuration is the version in force on this host; 0 is none.
	Configuration identifier.Version
	Policies      map[identifier.CustomerID]*configurer.Policy
	Servers       map[identifier.ServerID]*Server
	ByService     map[identifier.ServiceID][]leaser.Announcement
	// Hosts are the live entry hosts, which own the servers.
	Hosts []router.Host
	// Leaving are the hosts that own no servers any more but finish what is in flight.
	Leaving []identifier.HostID
}

// Server is a backend server with a lease, and the entry host that owns it.
type Server struct {
	leaser.Announcement
	Owner identifier.HostID
	// Expires is when the lease lapses by what was known at publication.
	Expires identifier.Instant
}

// newView joins the leases, the live hosts and the policies.
func newView(c *control) *View {
	v := &View{
		Configuration: c.version,
		Policies:      c.policies,
		Servers:       map[identifier.ServerID]*Server{},
		ByService:     map[identifier.ServiceID][]leaser.Announcement{},
		Hosts:         c.liveHosts(),
		Leaving:       c.leavingHosts(),
	}
	for _, a := range c.leases.Announcements() {
		owner, _ := router.Owner(a.Server, a.Domain, v.Hosts)
		v.Servers[a.Server] = &Server{Announcement: a, Owner: owner, Expires: c.leases.Expiry(a.Server)}
		v.ByService[a.Service] = append(v.ByService[a.Service], a)
	}
	return v
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
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
	Hosts         []router.Host
	// ControlMembers are the members of the replicated log, known on control hosts only.
	ControlMembers replicator.Membership
	// Control is what this host knows of the replicated log.
	Control ControlStatus
}

// Server is a backend server with a lease, and the entry host that owns it.
type Server struct {
	leaser.Announcement
	Owner identifier.HostID
}

// newView joins the leases, the live hosts and the policies.
func newView(c *control) *View {
	v := &View{
		Configuration:  c.version,
		Policies:       c.policies,
		Servers:        map[identifier.ServerID]*Server{},
		ByService:      map[identifier.ServiceID][]leaser.Announcement{},
		Hosts:          c.liveHosts(),
		Control:        c.status,
		ControlMembers: c.replication.members(),
	}
	for _, a := range c.leases.Announcements() {
		owner, _ := router.Owner(a.Server, a.Domain, v.Hosts)
		v.Servers[a.Server] = &Server{Announcement: a, Owner: owner}
		v.ByService[a.Service] = append(v.ByService[a.Service], a)
	}
	return v
}

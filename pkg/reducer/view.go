package reducer

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// View is a snapshot of the control state for the traffic states. It is immutable once published.
type View struct {
	// Configuration is the version in force on this host; 0 means none.
	Configuration identifier.Version
	Policies      map[identifier.CustomerID]*configurer.Policy
	Servers       map[identifier.ServerID]*Server
	ByService     map[identifier.ServiceID][]leaser.Announcement
	// ControlMembers are the members of the replicated log, known on control hosts only.
	ControlMembers replicator.Membership
	// Hosts are the live entry hosts, which own the servers.
	Hosts []router.Host
	// Leaving are the hosts that no longer own servers but still complete attempts in flight.
	Leaving []identifier.HostID
	// Control is the status of the replicated log as seen by this host.
	Control ControlStatus
	// Fleet holds the declaration in force and its servers; it is nil on hosts without
	// EntryDuty and before the first declaration.
	Fleet *FleetView
	// Synchronized is set once the host knows the servers.
	Synchronized bool
	// Evacuated are the evacuated failure domains, as known to this host.
	Evacuated []identifier.DomainID
}

// Ready reports whether the host can serve callers: a configuration is in force and the
// host knows the servers. Before that, its answers would lack parts that answers of other
// hosts have.
func (v *View) Ready() bool {
	return v.Configuration > 0 && v.Synchronized
}

// Server is a backend server with a lease, and the entry host that owns it.
type Server struct {
	leaser.Announcement
	Owner identifier.HostID
	// Expires is when the lease lapses, as known at publication.
	Expires identifier.Instant
}

// ViewInvariant requires that an incrementally updated view equals one built from scratch.
const ViewInvariant Invariant = "view-follows-control"

// newView builds a view from the leases, the live hosts and the policies.
func newView(c *control) *View {
	v := emptyView(c)
	for _, a := range c.leases.Announcements() {
		v.insert(c, a)
	}
	return v
}

// emptyView returns a view without servers.
func emptyView(c *control) *View {
	return &View{
		Configuration:  c.version,
		Policies:       c.policies,
		Servers:        map[identifier.ServerID]*Server{},
		ByService:      map[identifier.ServiceID][]leaser.Announcement{},
		ControlMembers: c.replication.members(),
		Hosts:          c.liveHosts(),
		Leaving:        c.leavingHosts(),
		Control:        c.status,
		Synchronized:   c.synchronized,
		Evacuated:      c.serverList.evacuations.Domains,
	}
}

// next returns the view after the leases of the given servers, the hosts or the policies
// have changed. Unchanged maps are shared with v.
func (v *View) next(c *control, changed []identifier.ServerID) *View {
	n := emptyView(c)
	if v.Servers != nil {
		n.Servers, n.ByService = v.Servers, v.ByService
	}
	if !slices.Equal(n.Hosts, v.Hosts) {
		n.reassignOwners(c, v.Hosts)
	}
	if len(changed) == 0 {
		return n
	}
	n.Servers = maps.Clone(n.Servers)
	n.ByService = maps.Clone(n.ByService)
	for _, id := range changed {
		n.remove(id)
		if a, ok := c.leases.Latest(id); ok {
			n.insert(c, a)
		}
	}
	return n
}

// insert adds a server; the servers of a service are sorted by ID.
func (v *View) insert(c *control, a leaser.Announcement) {
	owner, _ := router.Owner(a.Server, a.Domain, v.Hosts)
	v.Servers[a.Server] = &Server{Announcement: a, Owner: owner, Expires: c.leases.Expiry(a.Server)}
	list := v.ByService[a.Service]
	i, _ := slices.BinarySearchFunc(list, a.Server, compareServer)
	v.ByService[a.Service] = slices.Insert(slices.Clip(list), i, a)
}

// remove removes a server if it is present.
func (v *View) remove(id identifier.ServerID) {
	server, ok := v.Servers[id]
	if !ok {
		return
	}
	delete(v.Servers, id)
	list := slices.DeleteFunc(slices.Clone(v.ByService[server.Service]), func(a leaser.Announcement) bool {
		return a.Server == id
	})
	if len(list) == 0 {
		delete(v.ByService, server.Service)
		return
	}
	v.ByService[server.Service] = list
}

func compareServer(a leaser.Announcement, id identifier.ServerID) int {
	return cmp.Compare(a.Server, id)
}

// reassignOwners recomputes the owner of every server. If the current owner is still live,
// the only other candidates are the hosts that joined.
func (v *View) reassignOwners(c *control, before []router.Host) {
	live := map[identifier.HostID]router.Host{}
	for _, h := range v.Hosts {
		live[h.ID] = h
	}
	var joined []router.Host
	for _, h := range v.Hosts {
		if !slices.Contains(before, h) {
			joined = append(joined, h)
		}
	}
	servers := make(map[identifier.ServerID]*Server, len(v.Servers))
	for id, server := range v.Servers {
		candidates := v.Hosts
		if h, ok := live[server.Owner]; ok {
			candidates = append(joined[:len(joined):len(joined)], h)
		}
		owner, _ := router.Owner(id, server.Domain, candidates)
		if owner != server.Owner {
			server = &Server{Announcement: server.Announcement, Owner: owner, Expires: c.leases.Expiry(id)}
		}
		servers[id] = server
	}
	v.Servers = servers
}

// equivalent reports whether two views have the same configuration version, control status,
// hosts and servers. It ignores the load, sequence and expiry of servers.
func (v *View) equivalent(other *View) bool {
	return v.Configuration == other.Configuration &&
		v.Control == other.Control &&
		reflect.DeepEqual(v.ControlMembers, other.ControlMembers) &&
		slices.Equal(v.Hosts, other.Hosts) &&
		slices.Equal(v.Leaving, other.Leaving) &&
		maps.EqualFunc(v.Servers, other.Servers, func(a, b *Server) bool {
			return a.Owner == b.Owner && a.SameForRouting(b.Announcement)
		}) &&
		maps.EqualFunc(v.ByService, other.ByService, func(a, b []leaser.Announcement) bool {
			return slices.EqualFunc(a, b, leaser.Announcement.SameForRouting)
		})
}

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

// View is what control knows, for the traffic states to read. It is immutable
// once published.
type View struct {
	// Configuration is the version in force on this host; 0 is none.
	Configuration identifier.Version
	Policies      map[identifier.CustomerID]*configurer.Policy
	Servers       map[identifier.ServerID]*Server
	ByService     map[identifier.ServiceID][]leaser.Announcement
	// ControlMembers are the members of the replicated log, known on control hosts only.
	ControlMembers replicator.Membership
	// Hosts are the live entry hosts, which own the servers.
	Hosts []router.Host
	// Leaving are the hosts that own no servers any more but finish what is in flight.
	Leaving []identifier.HostID
	// Control is what this host knows of the replicated log.
	Control ControlStatus
	// Fleet is what an entry host knows of the declaration and its servers; nil elsewhere.
	Fleet *FleetView
	// Learnt is set once the host has had the time to hear of all servers.
	Learnt bool
}

// Ready reports whether the host may be sent callers: a configuration is in force
// and the host knows the servers. Before that its answers would have holes that
// those of other hosts don't have.
func (v *View) Ready() bool {
	return v.Configuration > 0 && v.Learnt
}

// Server is a backend server with a lease, and the entry host that owns it.
type Server struct {
	leaser.Announcement
	Owner identifier.HostID
	// Expires is when the lease lapses by what was known at publication.
	Expires identifier.Instant
}

// ViewInvariant says that a view built from the one before equals one built anew.
const ViewInvariant Invariant = "view-follows-control"

// newView joins the leases, the live hosts and the policies.
func newView(c *control) *View {
	v := emptyView(c)
	for _, a := range c.leases.Announcements() {
		v.insert(c, a)
	}
	return v
}

// emptyView returns a view of everything but the servers.
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
		Learnt:         c.learnt,
	}
}

// next returns the view that follows when the leases of the given servers, the
// hosts or the policies have changed. What has not changed is shared with this view.
func (v *View) next(c *control, changed []identifier.ServerID) *View {
	n := emptyView(c)
	if v.Servers != nil {
		n.Servers, n.ByService = v.Servers, v.ByService
	}
	if !slices.Equal(n.Hosts, v.Hosts) {
		n.reassign(c, v.Hosts)
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

// insert adds a server, in order of id among those of its service.
func (v *View) insert(c *control, a leaser.Announcement) {
	owner, _ := router.Owner(a.Server, a.Domain, v.Hosts)
	v.Servers[a.Server] = &Server{Announcement: a, Owner: owner, Expires: c.leases.Expiry(a.Server)}
	list := v.ByService[a.Service]
	i, _ := slices.BinarySearchFunc(list, a.Server, compareServer)
	v.ByService[a.Service] = slices.Insert(slices.Clip(list), i, a)
}

// remove takes a server out, if it is there.
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

// reassign gives every server the owner that it has among the view's hosts. An
// owner that stays needs to be weighed only against the hosts that joined.
func (v *View) reassign(c *control, before []router.Host) {
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

// follows reports whether the views say the same but for the servers' load, sequence and expiry.
func (v *View) follows(o *View) bool {
	return v.Configuration == o.Configuration &&
		v.Control == o.Control &&
		reflect.DeepEqual(v.ControlMembers, o.ControlMembers) &&
		slices.Equal(v.Hosts, o.Hosts) &&
		slices.Equal(v.Leaving, o.Leaving) &&
		maps.EqualFunc(v.Servers, o.Servers, func(a, b *Server) bool {
			return a.Owner == b.Owner && a.SameForRouting(b.Announcement)
		}) &&
		maps.EqualFunc(v.ByService, o.ByService, func(a, b []leaser.Announcement) bool {
			return slices.EqualFunc(a, b, leaser.Announcement.SameForRouting)
		})
}

package reducer_test

import (
	"fmt"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// controlState returns the state of one of the entry hosts, which are spread over nine
// failure domains, and the announcements of its backend servers.
func controlState(hosts, servers int) (*reducer.State, []leaser.Announcement) {
	domain := func(i int) identifier.DomainID { return identifier.DomainID(fmt.Sprintf("fd-%d", i%9)) }
	p := reducer.Parameters{Host: "h-0", Domain: domain(0)}
	for i := range hosts - 1 {
		p.Peers = append(p.Peers, router.Host{ID: identifier.HostID(fmt.Sprintf("h-%d", i+1)), Domain: domain(i + 1)})
	}
	s := reducer.New(p)
	s.Reduce(0, reducer.Started{Seed: 1})
	s.Reduce(0, reducer.HostStarted{})
	for _, h := range p.Peers {
		s.Reduce(0, reducer.HostHeard{Host: h.ID, Domain: h.Domain})
	}
	list := make([]leaser.Announcement, servers)
	for i := range list {
		list[i] = leaser.Announcement{
			Server: identifier.ServerID(fmt.Sprintf("server-%d", i)), Incarnation: 1, Sequence: 1,
			Service: identifier.ServiceID(fmt.Sprintf("service-%d", i/3)), Domain: domain(i), Address: "127.0.0.1:1",
			Slots: 3, Connections: 30,
			Holdings: []leaser.Holding{{Epoch: 1, Versions: []identifier.IndexVersion{1, 2}}},
		}
		s.Reduce(0, reducer.ServerRelayed{From: "h-1", Announcement: list[i]})
	}
	return s, list
}

// BenchmarkControl measures one control event at several counts of entry hosts and
// backend servers. The clock does not advance, which keeps leases from lapsing.
func BenchmarkControl(b *testing.B) {
	cases := []struct{ hosts, servers int }{{6, 100}, {6, 1000}, {60, 100}, {60, 1000}}
	for _, c := range cases {
		s, list := controlState(c.hosts, c.servers)
		size := fmt.Sprintf("hosts=%d/servers=%d", c.hosts, c.servers)
		b.Run("renewal/"+size, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				a := &list[i%c.servers]
				a.Sequence++
				s.Reduce(0, reducer.ServerRelayed{From: "h-1", Announcement: *a})
			}
		})
		b.Run("change/"+size, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				a := &list[i%c.servers]
				a.Sequence++
				a.Incarnation++
				s.Reduce(0, reducer.ServerRelayed{From: "h-1", Announcement: *a})
			}
		})
		b.Run("host/"+size, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Reduce(0, reducer.HostHeard{Host: "h-1", Domain: "fd-1", Leaving: i%2 == 0})
			}
		})
		b.Run("direct/"+size, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				a := &list[i%c.servers]
				a.Sequence++
				s.Reduce(0, reducer.ServerAnnounced{Announcement: *a})
			}
		})
	}
}

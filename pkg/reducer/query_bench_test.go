package reducer_test

import (
	"fmt"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// loopbackHost is one entry host without peers whose backend servers answer at once.
type loopbackHost struct {
	state       *reducer.State
	now         identifier.Instant
	pending     []reducer.Event
	replies     int
	fullAnswers int
}

// reduce applies an event and all events that result from it on this host.
func (h *loopbackHost) reduce(event reducer.Event) {
	h.pending = append(h.pending, event)
	for len(h.pending) > 0 {
		next := h.pending[0]
		h.pending = h.pending[1:]
		for _, effect := range h.state.Reduce(h.now, next) {
			h.apply(effect)
		}
	}
}

func (h *loopbackHost) apply(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.PublishView:
		h.pending = append(h.pending, reducer.ViewPublished{View: e.View})
	case reducer.Send:
		h.pending = append(h.pending, e.Event)
	case reducer.Call:
		h.pending = append(h.pending, reducer.CallServed{
			Attempt: e.Attempt, Server: e.Server, Snapshot: e.Snapshot, Range: e.Range,
		})
	case reducer.Reply:
		h.replies++
		if a, ok := e.Outcome.(reducer.Answered); ok && a.Coverage == 1 {
			h.fullAnswers++
		}
	}
}

// newLoopbackHost returns a host with one customer, and the announcements of the servers of
// the customer's services.
func newLoopbackHost(services, replicas int) (*loopbackHost, []leaser.Announcement) {
	h := &loopbackHost{state: reducer.New(reducer.Parameters{Host: "h-1", Domain: "fd-1"})}
	h.reduce(reducer.Started{Seed: 1})
	h.reduce(reducer.HostStarted{})
	var names []identifier.ServiceID
	for i := range services {
		names = append(names, identifier.ServiceID(fmt.Sprintf("service-%d", i)))
	}
	partition := configurer.EvenPartition(1, names)
	rank := configurer.RankParameters{TimeoutMillis: 100, MinCoverage: 1}
	template := configurer.Template{ID: "t", Works: []configurer.Work{{Kind: "lookup", Rank: "urgent"}}}
	for _, name := range []string{"urgent", "standard", "deferrable"} {
		rank.Rank = name
		template.Ranks = append(template.Ranks, rank)
	}
	h.reduce(reducer.ConfigurationLoaded{
		Version: 1, Templates: []configurer.Template{template},
		Customers: []configurer.Customer{{ID: "desk", Template: "t", Partition: partition}},
	})
	var list []leaser.Announcement
	for _, shard := range partition.Shards {
		for i := range replicas {
			list = append(list, leaser.Announcement{
				Server: identifier.ServerID(fmt.Sprintf("%s-%d", shard.Service, i)), Incarnation: 1,
				Service: shard.Service, Domain: "fd-1", Address: "127.0.0.1:1", Slots: 3, Connections: 30,
				Holdings: []leaser.Holding{{Epoch: 1, Range: shard.Range, Versions: []identifier.IndexVersion{1}}},
			})
		}
	}
	return h, list
}

// BenchmarkQuery measures a query in the reducer of one entry host, and each of its
// sub-requests, at several counts of services and of servers per service.
func BenchmarkQuery(b *testing.B) {
	const (
		step    = identifier.Millisecond
		renewal = 500
	)
	cases := []struct{ services, replicas int }{{10, 3}, {20, 3}, {42, 3}, {84, 3}, {10, 6}, {10, 12}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("services=%d/servers=%d", c.services, c.replicas), func(b *testing.B) {
			h, list := newLoopbackHost(c.services, c.replicas)
			b.ReportAllocs()
			for i := range b.N {
				if i%renewal == 0 {
					for j := range list {
						list[j].Sequence++
						h.reduce(reducer.ServerAnnounced{Announcement: list[j]})
					}
				}
				h.now = h.now.Add(step)
				h.reduce(reducer.Woken{})
				h.reduce(reducer.QueryArrived{
					Request: identifier.RequestID(fmt.Sprintf("r-%d", i)), Customer: "desk", Work: "lookup",
					Timeout: 100 * identifier.Millisecond, Repeatable: true,
				})
			}
			if h.fullAnswers != b.N {
				b.Fatalf("%d of %d queries were answered in full, %d ended", h.fullAnswers, b.N, h.replies)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*c.services), "ns/sub-request")
		})
	}
}

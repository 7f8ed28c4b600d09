package reducer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// BenchmarkOrigin measures one query at its origin, from its arrival to its reply,
// by its number of shards; each shard has three servers.
func BenchmarkOrigin(b *testing.B) {
	for _, count := range []int{10, 25, 84} {
		b.Run(fmt.Sprintf("shards-%d", count), func(b *testing.B) {
			s, ranges := benchState(count)
			serve := make([]reducer.AttemptServed, 0, count)
			events := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := identifier.Instant(i) * 10 * ms
				request := identifier.RequestID(strconv.Itoa(i))
				serve = serve[:0]
				for _, effect := range s.Reduce(at, reducer.QueryArrived{
					Request: request, Customer: "desk", Work: "lookup", Timeout: identifier.Second, Repeatable: true, Fingerprint: 1,
				}) {
					if sent, ok := effect.(reducer.Send); ok {
						e := sent.Event.(reducer.AttemptSubmitted)
						serve = append(serve, reducer.AttemptServed{
							Attempt: e.Attempt, Server: e.Server, Snapshot: e.Snapshot, Range: e.Range,
						})
					}
				}
				if len(serve) != len(ranges) {
					b.Fatalf("%d attempts for %d shards", len(serve), len(ranges))
				}
				for _, e := range serve {
					s.Reduce(at+5*ms, e)
				}
				s.Reduce(at+6*ms, reducer.Woken{})
				events += count + 2
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
		})
	}
}

// benchState is a traffic state that knows three servers for each of the services.
func benchState(count int) (*reducer.State, []identifier.HashRange) {
	var services []identifier.ServiceID
	for i := range count {
		services = append(services, identifier.ServiceID(fmt.Sprintf("service-%d", i)))
	}
	partition := configurer.EvenPartition(1, services)
	configuration := budgeted(0, 4, 1, configurer.Budgets{Hedge: 0.05, Retry: 0.1}).event.(reducer.ConfigurationLoaded)
	configuration.Customers[0].Partition = partition
	events := []reducer.Event{reducer.HostStarted{}, configuration}
	var ranges []identifier.HashRange
	for i, shard := range partition.Shards {
		ranges = append(ranges, shard.Range)
		for r := range 3 {
			id := identifier.ServerID(fmt.Sprintf("server-%d-%d", i, r))
			events = append(events, announced(id, shard.Service, shard.Range, 7).event)
		}
	}
	s := reducer.New(hostOne)
	s.Reduce(0, viewOf(events...))
	return s, ranges
}

package reducer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// BenchmarkOrigin measures one query at the host that receives it, from its arrival to its
// reply, by the number of shards. Each shard has three servers.
func BenchmarkOrigin(b *testing.B) {
	for _, count := range []int{10, 25, 84} {
		b.Run(fmt.Sprintf("shards-%d", count), func(b *testing.B) {
			s, ranges := benchState(count)
			answers := make([]reducer.AttemptServed, 0, count)
			events := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := identifier.Instant(i) * 10 * ms
				request := identifier.RequestID(strconv.Itoa(i))
				answers = answers[:0]
				for _, effect := range s.Reduce(at, reducer.QueryArrived{
					Request: request, Customer: "desk", Work: "lookup", Timeout: identifier.Second, Repeatable: true, Fingerprint: 1,
				}) {
					if sent, ok := effect.(reducer.Send); ok {
						e := sent.Event.(reducer.AttemptSubmitted)
						answers = append(answers, reducer.AttemptServed{
							Attempt: e.Attempt, Server: e.Server, Snapshot: e.Snapshot, Range: e.Range,
						})
					}
				}
				if len(answers) != len(ranges) {
					b.Fatalf("%d attempts for %d shards", len(answers), len(ranges))
				}
				for _, e := range answers {
					s.Reduce(at+5*ms, e)
				}
				s.Reduce(at+6*ms, reducer.Woken{})
				events += count + 2
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
		})
	}
}

// benchState returns a traffic state with three servers for each of the services, and the hash
// ranges of the shards.
func benchState(count int) (*reducer.State, []identifier.HashRange) {
	var services []identifier.ServiceID
	for i := range count {
		services = append(services, identifier.ServiceID(fmt.Sprintf("service-%d", i)))
	}
	partition := configurer.EvenPartition(1, services)
	configuration := configurationWithBudgets(0, 4, 1, configurer.Budgets{Hedge: 0.05, Retry: 0.1}).event.(reducer.ConfigurationLoaded)
	configuration.Customers[0].Partition = partition
	events := []reducer.Event{reducer.HostStarted{}, configuration}
	var ranges []identifier.HashRange
	for i, shard := range partition.Shards {
		ranges = append(ranges, shard.Range)
		for n := range 3 {
			id := identifier.ServerID(fmt.Sprintf("server-%d-%d", i, n))
			events = append(events, serverAnnounced(id, shard.Service, shard.Range, 7).event)
		}
	}
	s := reducer.New(hostOne)
	s.Reduce(0, viewOf(events...))
	return s, ranges
}

package reducer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/recorder"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// viewOf returns the last view that is published for the events.
func viewOf(events ...reducer.Event) reducer.ViewPublished {
	var published reducer.ViewPublished
	control := recorder.New(hostOne)
	for _, event := range events {
		for _, effect := range control.Play(0, event) {
			if v, ok := effect.(reducer.PublishView); ok {
				published.View = v.View
			}
		}
	}
	return published
}

// BenchmarkSlot measures one attempt on the owner of its server, from submission to result, by the
// length of the queue.
func BenchmarkSlot(b *testing.B) {
	for _, length := range []int{0, 10, 100, 500} {
		b.Run(fmt.Sprintf("queue-%d", length), func(b *testing.B) {
			s := reducer.New(hostOne)
			s.Reduce(0, viewOf(reducer.HostStarted{}, deskConfiguration().event, serverAnnounced("low-1", "low", lowerHalf, 7).event))
			s.Reduce(0, reducer.OwnershipRenewed{Until: identifier.Never})
			submit := func(i int) {
				request := identifier.RequestID(strconv.Itoa(i))
				s.Reduce(0, attemptSubmitted(0, request, identifier.Urgent, identifier.Instant(identifier.Minute)).event)
			}
			for i := range length + 1 {
				submit(i)
			}
			oldest := 0
			b.ReportAllocs()
			for i := length + 1; b.Loop(); i++ {
				submit(i)
				s.Reduce(0, attemptEnded(0, identifier.RequestID(strconv.Itoa(oldest))).event)
				oldest++
			}
		})
	}
}

// BenchmarkEarlyRefusal measures a query that is refused early, by the number of services.
func BenchmarkEarlyRefusal(b *testing.B) {
	for _, count := range []int{10, 25, 84} {
		b.Run(fmt.Sprintf("services-%d", count), func(b *testing.B) {
			var services []identifier.ServiceID
			for i := range count {
				services = append(services, identifier.ServiceID(fmt.Sprintf("service-%d", i)))
			}
			configuration := deskConfiguration().event.(reducer.ConfigurationLoaded)
			configuration.Customers[0].Partition = configurer.EvenPartition(1, services)
			events := []reducer.Event{reducer.HostStarted{}, configuration}
			var estimates []reducer.ServerEstimate
			for i, shard := range configuration.Customers[0].Partition.Shards {
				for n := range 3 {
					id := identifier.ServerID(fmt.Sprintf("server-%d-%d", i, n))
					events = append(events, serverAnnounced(id, shard.Service, shard.Range, 7).event)
					estimates = append(estimates, reducer.ServerEstimate{Server: id, Estimate: estimator.Estimate{
						Backlog: [identifier.RankCount]uint32{100}, Step: [identifier.RankCount]identifier.Micros{5000}, Service: 5000,
					}})
				}
			}
			s := reducer.New(hostOne)
			s.Reduce(0, viewOf(events...))
			s.Reduce(0, reducer.QueuesEstimated{Servers: estimates})
			query := queryArrived(0, "q", "lookup").event
			b.ReportAllocs()
			for b.Loop() {
				s.Reduce(0, query)
			}
		})
	}
}

package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// Guards against the return of a failure domain: its hosts know no servers at first, and each piece that they were asked
// to gather cost the requester an extra attempt, of which it has few, and the request an answer.
var _ = ginkgo.Describe("parts that another host has not tried to gather", func() {
	for _, c := range []struct {
		name     string
		view     func() *reducer.FleetView
		expected reducer.PartsDelivered
	}{
		{"are reported by a host that knows no servers", func() *reducer.FleetView { return nil }, reducer.PartsDelivered{Unsent: true, Ended: true}},
		{"are reported by a host that knows none of the service", func() *reducer.FleetView {
			v := entryFleetView()
			v.Backends["shard-0"] = nil
			return v
		}, reducer.PartsDelivered{Failed: []identifier.ServiceID{"shard-0"}, Untried: []identifier.ServiceID{"shard-0"}}},
	} {
		ginkgo.It(c.name, func() {
			e := newEntryHost(c.view())
			e.reduce(reducer.PartsRequested{
				From: "10.0.0.2:70", Process: 1, Request: "r", Services: []identifier.ServiceID{"shard-0"}, Remaining: searchTimeout,
			})
			e.advance(searchTimeout)
			gomega.Expect(e.sent).To(gomega.BeEmpty())
			gomega.Expect(e.messages).NotTo(gomega.BeEmpty())
			expected := c.expected
			expected.From, expected.Process, expected.Request = "10.0.0.1:70", 1, "r"
			gomega.Expect(e.messages[0].Event).To(gomega.Equal(expected))
		})
	}

	for _, c := range []struct {
		name string
		// report is the answer of the host that was asked.
		report func(services []identifier.ServiceID) reducer.PartsDelivered
	}{
		{"cost no extra attempts if it knows no servers", func([]identifier.ServiceID) reducer.PartsDelivered {
			return reducer.PartsDelivered{Unsent: true, Ended: true}
		}},
		{"cost no extra attempts if it has none of the services", func(services []identifier.ServiceID) reducer.PartsDelivered {
			return reducer.PartsDelivered{Failed: services, Untried: services}
		}},
	} {
		ginkgo.It(c.name, func() {
			v := entryFleetView()
			for i := range 4 {
				id := identifier.ServiceID(fmt.Sprintf("far-%d", i))
				v.Services[id] = &declarer.Service{ID: id, MaxConnections: 30}
				v.Backends[id] = []reducer.Backend{{Announcement: leaser.Announcement{
					Server: identifier.ServerID(id + "-1"), Service: id, Domain: domain(1), Slots: 3, Incarnation: 1,
				}}}
				v.Declaration.Routes[0].Shards = append(v.Declaration.Routes[0].Shards, id)
			}
			v.Routes = matcher.New(v.Declaration.Routes)
			v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
			e := newEntryHostWith(v, reducer.EntryDuty{Detour: 25 * identifier.Millisecond})
			// Without a share and a slack, a host has one extra attempt for each service.
			for n := range 4 {
				id := identifier.RequestID(fmt.Sprint(n))
				sent, messages := len(e.sent), len(e.messages)
				e.sendRequest(id, "/search/1")
				gomega.Expect(e.messages).To(gomega.HaveLen(messages + 1))
				asked := e.messages[messages].Event.(reducer.PartsRequested)
				report := c.report(asked.Services)
				report.From, report.Process, report.Request = "10.0.1.1:70", entryProcess, id
				e.reduce(report)
				gomega.Expect(e.sent).To(gomega.HaveLen(sent + shardCount + 4))
				for i := range shardCount + 4 {
					e.answer(sent + i)
				}
				gomega.Expect(e.outcomes[id]).To(gomega.HaveField("Missing", 0))
				e.advance(reducer.DelegateBackoff)
			}
		})
	}

	ginkgo.It("are requested from another host, or directly, meanwhile", func() {
		v := entryFleetView()
		for i := range 2 {
			id := identifier.ServiceID(fmt.Sprintf("shard-%d", i))
			v.Backends[id] = v.Backends[id][1:2]
		}
		v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
		e := newEntryHost(v)
		e.sendRequest("q", "/search/1")
		e.reduce(reducer.PartsDelivered{From: "10.0.1.1:70", Process: entryProcess, Request: "q", Unsent: true, Ended: true})
		asked := len(e.messages)
		e.sendRequest("r", "/search/1")
		gomega.Expect(e.messages).To(gomega.HaveLen(asked))
	})
})

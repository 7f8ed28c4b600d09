package reducer_test

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// Processes of the host that requests parts, in the order of their start.
const (
	requester                           = identifier.HostID("10.0.2.1:70")
	earlierProcess identifier.ProcessID = 100
	laterProcess   identifier.ProcessID = 200
)

// requestParts has a process of another host request the parts of the first shards.
func (e *entryHost) requestParts(process identifier.ProcessID, request identifier.RequestID, shards int) {
	e.reduce(reducer.PartsRequested{
		From: requester, Process: process, Request: request, Services: e.searchShards()[:shards], TopK: 50,
		Flush: 40 * identifier.Millisecond, Remaining: 300 * identifier.Millisecond,
	})
}

// answerAs completes the exchange at the index with a part that names a client's request.
func (e *entryHost) answerAs(index int, clientRequest string) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{
		Success: true, Signature: fmt.Sprint(x.Server, " ", clientRequest), Body: []byte(fmt.Sprintf("%16s", clientRequest)),
	}})
}

// parts returns the signatures of the parts that were delivered to a process.
func (e *entryHost) parts(process identifier.ProcessID) []string {
	var signatures []string
	for _, m := range e.messages {
		if d, ok := m.Event.(reducer.PartsDelivered); ok && d.Process == process {
			for _, p := range d.Parts {
				signatures = append(signatures, p.Signature)
			}
		}
	}
	return signatures
}

// Guards against the answers to an earlier process's request that count for a later process's request with the same ID, or
// end the process that gathers its parts.
var _ = ginkgo.Describe("a host that gathers parts for a host that has started again", func() {
	const earlierShards = 3
	for _, shards := range []struct {
		name  string
		count int
	}{
		{"fewer pieces", 1},
		{"as many pieces", 3},
		{"more pieces", 4},
	} {
		for _, c := range []struct {
			name string
			// steps happen between the two requests, before the answers to the first one.
			steps func(e *entryHost)
		}{
			{"before it learns of that", func(*entryHost) {}},
			{"after the introduction of the later process", func(e *entryHost) {
				e.reduce(reducer.ProcessIntroduced{Host: requester, Process: laterProcess})
			}},
			{"after the end of the connection", func(e *entryHost) {
				e.reduce(reducer.PeerDisconnected{Host: requester, Process: earlierProcess})
			}},
			{"after the earlier process has cancelled its request", func(e *entryHost) {
				e.reduce(reducer.PartsCancelled{From: requester, Process: earlierProcess, Request: "1"})
			}},
		} {
			ginkgo.It("keeps their parts apart: "+shards.name+", "+c.name, func() {
				e := newEntryHost(entryFleetView())
				e.requestParts(earlierProcess, "1", earlierShards)
				earlier := len(e.sent)
				gomega.Expect(earlier).To(gomega.Equal(earlierShards))
				c.steps(e)
				e.requestParts(laterProcess, "1", shards.count)
				gomega.Expect(e.sent).To(gomega.HaveLen(earlier + shards.count))
				for i := range earlier {
					e.answerAs(i, "earlier")
				}
				for i := range shards.count {
					e.answerAs(earlier+i, "later")
				}
				gomega.Expect(e.parts(earlierProcess)).To(gomega.BeEmpty())
				gomega.Expect(e.parts(laterProcess)).To(gomega.And(gomega.HaveLen(shards.count), gomega.HaveEach(gomega.HaveSuffix(" later"))))
				gomega.Expect(e.cancelled).To(gomega.HaveLen(earlier), "the earlier process needs no parts")
			})
		}
	}

	for _, c := range []struct {
		name  string
		steps func(e *entryHost)
	}{
		{"a cancellation", func(e *entryHost) {
			e.reduce(reducer.PartsCancelled{From: requester, Process: earlierProcess, Request: "1"})
		}},
		{"a request", func(e *entryHost) { e.requestParts(earlierProcess, "1", 2) }},
		{"an introduction", func(e *entryHost) {
			e.reduce(reducer.ProcessIntroduced{Host: requester, Process: earlierProcess})
		}},
		{"the end of a connection", func(e *entryHost) {
			e.reduce(reducer.PeerDisconnected{Host: requester, Process: earlierProcess})
		}},
		{"the request once more", func(e *entryHost) { e.requestParts(laterProcess, "1", 2) }},
	} {
		ginkgo.It("isn't disturbed by what arrives of the earlier process: "+c.name, func() {
			e := newEntryHost(entryFleetView())
			e.requestParts(laterProcess, "1", shardCount)
			c.steps(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(shardCount))
			gomega.Expect(e.cancelled).To(gomega.BeEmpty())
			for i := range shardCount {
				e.answerAs(i, "later")
			}
			gomega.Expect(e.parts(laterProcess)).To(gomega.HaveLen(shardCount))
		})
	}

	ginkgo.It("takes a process that seems earlier for the later one once the other has been silent", func() {
		e := newEntryHost(entryFleetView())
		e.requestParts(laterProcess, "1", 2)
		e.requestParts(earlierProcess, "1", 2)
		gomega.Expect(e.sent).To(gomega.HaveLen(2))
		refusal := e.messages[len(e.messages)-1].Event
		gomega.Expect(refusal).To(gomega.Equal(reducer.PartsDelivered{
			From: "10.0.0.1:70", Process: earlierProcess, Request: "1", Unsent: true, Ended: true,
		}))
		e.advance(reducer.ProcessRetention)
		e.requestParts(earlierProcess, "2", 2)
		gomega.Expect(e.sent).To(gomega.HaveLen(4))
	})

	// Hosts of earlier versions number the requests of each process alike and name no process.
	ginkgo.It("gathers nothing for a host of an earlier version, which then sends its attempts itself", func() {
		e := newEntryHost(entryFleetView())
		e.requestParts(0, "1", shardCount)
		gomega.Expect(e.sent).To(gomega.BeEmpty())
		gomega.Expect(e.messages).To(gomega.HaveLen(1))
		gomega.Expect(e.messages[0].Event).To(gomega.Equal(reducer.PartsDelivered{From: "10.0.0.1:70", Request: "1", Unsent: true, Ended: true}))
	})
})

// Guards against a connection to a process that has lost power: it still looks open, and what is sent on it is lost.
var _ = ginkgo.Describe("a host that hears from a later process", func() {
	for _, c := range []struct {
		name string
		// disconnected is set if the connection to the earlier process has ended.
		disconnected, reconnects bool
	}{
		{"replaces its connection, however quiet the earlier one was", false, true},
		{"keeps its connection if that was made after the end of the earlier one", true, false},
	} {
		for _, host := range []identifier.HostID{entryName(0), controlName(0)} {
			ginkgo.It(c.name+", on "+string(host), func() {
				f := newSmallFleet()
				reconnected := 0
				f.onEffect = func(id identifier.HostID, e reducer.Effect) {
					if r, ok := e.(reducer.Reconnect); ok && id == host && r.Host == requester {
						reconnected++
					}
				}
				f.reduce(host, reducer.ProcessIntroduced{Host: requester, Process: earlierProcess})
				f.run(5 * reducer.ProcessRetention)
				if c.disconnected {
					f.reduce(host, reducer.PeerDisconnected{Host: requester, Process: earlierProcess})
				}
				f.reduce(host, reducer.ProcessIntroduced{Host: requester, Process: laterProcess})
				gomega.Expect(reconnected == 1).To(gomega.Equal(c.reconnects))
			})
		}
	}
})

// Guards against parts that were gathered for an earlier process of this host.
var _ = ginkgo.Describe("a host that has started again", func() {
	for _, c := range []struct {
		name    string
		process identifier.ProcessID
		whole   bool
	}{
		{"takes the parts that this process has requested", entryProcess, true},
		{"takes no parts that an earlier process has requested", entryProcess - 1, false},
		{"takes no parts from a host of an earlier version", 0, false},
	} {
		ginkgo.It(c.name, func() {
			e := newEntryHost(delegatingView(2))
			e.sendRequest("q", "/search/1")
			delivered := reducer.PartsDelivered{From: "10.0.1.1:70", Process: c.process, Request: "q", Body: make([]byte, 16), Ended: true}
			for i := range 2 {
				id := identifier.ServiceID(fmt.Sprintf("shard-%d", i))
				delivered.Parts = append(delivered.Parts, reducer.DelegatedPart{Service: id, Signature: "sig-" + string(id)})
			}
			e.reduce(delivered)
			first := len(e.sent)
			for i := range first {
				e.answer(i)
			}
			e.advance(searchTimeout)
			gathered, answered := e.outcomes["q"].(reducer.Gathered)
			gomega.Expect(answered && gathered.Missing == 0).To(gomega.Equal(c.whole))
		})
	}

	ginkgo.It("asks its delegates for their processes, and leaves out those that name none", func() {
		f := newSmallFleet()
		f.declare(1, declarationSource(1, "desk"))
		f.earlierVersion = entryName(2)
		f.start(entryName(2))
		asked := 0
		f.onReceive = func(id identifier.HostID, e reducer.Event) {
			if p, ok := e.(reducer.ProcessIntroduced); ok && id == entryName(2) && p.Asks {
				asked++
			}
		}
		f.stop(entryName(0), false)
		f.run(2 * identifier.Second)
		f.start(entryName(0))
		f.run(5 * identifier.Second)
		gomega.Expect(f.hosts[entryName(0)].view.Fleet.Delegates).To(gomega.Equal([]router.Host{{ID: entryName(1), Domain: domain(1)}}))
		gomega.Expect(asked).To(gomega.BeNumerically("~", 3, 1), "no more often than once in IntroductionInterval")
	})
})

// delegatingView returns the view of a fleet whose first shards have servers in the second domain only.
func delegatingView(shards int) *reducer.FleetView {
	v := entryFleetView()
	for i := range shards {
		id := identifier.ServiceID(fmt.Sprintf("shard-%d", i))
		v.Backends[id] = slices.Clone(v.Backends[id][1:2])
	}
	v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
	return v
}

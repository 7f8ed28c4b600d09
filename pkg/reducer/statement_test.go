package reducer_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// archiveHost returns an entry host whose servers of the archive are all in its failure domain.
func archiveHost() (*entryHost, *reducer.FleetView) {
	v := entryFleetView()
	for i := range v.Backends["archive"] {
		v.Backends["archive"][i].Domain = domain(0)
	}
	return newEntryHost(v), v
}

// tell makes the server of the last exchange say something of itself while it serves or refuses it.
func (e *entryHost) tell(served bool, stated reducer.ServerStatement) identifier.ServerID {
	x := e.sent[len(e.sent)-1]
	if served {
		e.reduce(reducer.ExchangeAnswered{
			Attempt: x.Attempt, Server: x.Server, Statement: stated,
			Answer: reducer.ServerAnswer{Success: true, Signature: "sig-" + string(x.Server)},
		})
	} else {
		e.reduce(reducer.ExchangeRefused{Attempt: x.Attempt, Server: x.Server, Reason: reducer.ExchangeShed, Statement: stated})
	}
	return x.Server
}

// refuseAll sends a request to the archive that each of its servers refuses, and says something.
func (e *entryHost) refuseAll(stated reducer.ServerStatement) {
	e.sendRequest("first", "/archive/1")
	for index := 0; index < len(e.sent); index++ {
		x := e.sent[index]
		e.reduce(reducer.ExchangeRefused{Attempt: x.Attempt, Server: x.Server, Reason: reducer.ExchangeShed, Statement: stated})
	}
	gomega.Expect(e.sent).To(gomega.HaveLen(3))
}

// sentTo counts the exchanges with a server, from the one at the index first.
func (e *entryHost) sentTo(id identifier.ServerID, first int) int {
	count := 0
	for _, x := range e.sent[first:] {
		if x.Server == id {
			count++
		}
	}
	return count
}

// load sends requests to the archive, one each 20 ms, which are answered at once.
func (e *entryHost) load(count int) {
	for i := range count {
		first := len(e.sent)
		e.sendRequest(identifier.RequestID(fmt.Sprintf("load-%d-%d", e.now, i)), "/archive/1")
		for index := first; index < len(e.sent); index++ {
			e.answer(index)
		}
		e.advance(20 * identifier.Millisecond)
	}
}

var _ = ginkgo.Describe("a server that says of itself", func() {
	const requests = 100
	leaving := reducer.ServerStatement{Leaving: true}
	for _, c := range []struct {
		name   string
		served bool
		stated reducer.ServerStatement
		// after runs between the statement and the requests that are counted.
		after func(e *entryHost, v *reducer.FleetView)
		// expected is whether the server gets any of the requests.
		expected bool
	}{
		{"nothing gets requests", true, reducer.ServerStatement{}, nil, true},
		{"that it leaves, in an answer, gets none", true, leaving, nil, false},
		{"that it leaves, in a refusal, gets none", false, leaving, nil, false},
		{"that it leaves gets none although it announces itself as ready", true, leaving, func(e *entryHost, v *reducer.FleetView) {
			e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: v}})
		}, false},
		{"that it leaves gets none although a later answer doesn't say so", true, leaving, func(e *entryHost, _ *reducer.FleetView) {
			e.advance(identifier.Second)
			e.answer(0)
		}, false},
		{"that it leaves gets requests again in its next incarnation", true, leaving, func(e *entryHost, v *reducer.FleetView) {
			next := *v
			next.Backends = map[identifier.ServiceID][]reducer.Backend{}
			for id, backends := range v.Backends {
				for _, b := range backends {
					b.Incarnation++
					next.Backends[id] = append(next.Backends[id], b)
				}
			}
			e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: &next}})
		}, true},
		{"that it wants a pause gets none", false, reducer.ServerStatement{Pause: 3 * identifier.Second}, nil, false},
		{"that it wants a pause gets requests after it", false, reducer.ServerStatement{Pause: 3 * identifier.Second}, func(e *entryHost, _ *reducer.FleetView) {
			e.advance(3 * identifier.Second)
		}, true},
		{"that it wants a pause of an hour gets none", false, reducer.ServerStatement{Pause: 60 * identifier.Minute}, func(e *entryHost, _ *reducer.FleetView) {
			e.advance(59 * identifier.Minute)
		}, false},
		{"that it wants no pause gets requests", false, reducer.ServerStatement{Limited: true, Limit: 1000}, nil, true},
	} {
		ginkgo.It(c.name, func() {
			e, v := archiveHost()
			e.sendRequest("first", "/archive/1")
			id := e.tell(c.served, c.stated)
			for index := 1; index < len(e.sent); index++ {
				e.answer(index)
			}
			if c.after != nil {
				c.after(e, v)
			}
			first := len(e.sent)
			e.load(requests)
			if c.expected {
				gomega.Expect(e.sentTo(id, first)).To(gomega.BeNumerically(">", 0))
				return
			}
			gomega.Expect(e.sentTo(id, first)).To(gomega.BeZero())
		})
	}

	// Each way by which a request reaches a server.
	for _, c := range []struct {
		name string
		path string
		// send makes the host want to send to a server other than its first choice.
		send func(e *entryHost)
	}{
		{"a first attempt", "/archive/1", func(*entryHost) {}},
		{"a retry after a lost attempt", "/archive/1", func(e *entryHost) { e.lose(len(e.sent) - 1) }},
		{"a retry after a refusal", "/archive/1", func(e *entryHost) { e.refuse(len(e.sent)-1, reducer.ExchangeShed) }},
		{"a retry after a failure", "/archive/1", func(e *entryHost) { e.fail(len(e.sent) - 1) }},
		{"a hedge", "/archive/1", func(e *entryHost) { e.advance(480 * identifier.Millisecond) }},
		{"a probe of a request that may crash servers", "/archive/1", func(e *entryHost) {
			e.reduce(reducer.FingerprintSuspected{Fingerprint: 7, Service: "archive"})
			e.sendRequest("probe", "/archive/1")
		}},
		{"a piece gathered for another host", "/archive/1", func(e *entryHost) {
			e.reduce(reducer.PartsRequested{
				From: "10.0.1.1:70", Process: 1, Request: "other", Services: []identifier.ServiceID{"archive"}, TopK: 1,
				Flush: 50 * identifier.Millisecond, Remaining: identifier.Second,
			})
			e.advance(300 * identifier.Millisecond)
		}},
	} {
		for _, stated := range []reducer.ServerStatement{{Leaving: true}, {Pause: 60 * identifier.Second}, {Limited: true}} {
			ginkgo.It(fmt.Sprintf("%+v gets no %s", stated, c.name), func() {
				e, v := archiveHost()
				closed := map[identifier.ServerID]bool{}
				for len(closed) < len(v.Backends["archive"])-1 {
					e.sendRequest(identifier.RequestID(fmt.Sprint("first-", len(e.sent))), "/archive/1")
					id := e.tell(false, stated)
					closed[id] = true
					if last := len(e.sent) - 1; e.sent[last].Server != id && !closed[e.sent[last].Server] && len(closed) == 2 {
						e.answer(last)
					}
				}
				first := len(e.sent)
				e.sendRequest("q", c.path)
				c.send(e)
				for id := range closed {
					gomega.Expect(e.sentTo(id, first)).To(gomega.BeZero())
				}
			})
		}
	}
})

var _ = ginkgo.Describe("a request to servers of which none takes it", func() {
	for _, c := range []struct {
		name   string
		stated reducer.ServerStatement
	}{
		{"since all leave", reducer.ServerStatement{Leaving: true}},
		{"since all want a pause", reducer.ServerStatement{Pause: 5 * identifier.Second}},
	} {
		ginkgo.It(c.name+" is declined at once as not run", func() {
			e, _ := archiveHost()
			e.refuseAll(c.stated)
			first := len(e.sent)
			e.sendRequest("q", "/archive/1")
			gomega.Expect(e.sent).To(gomega.HaveLen(first))
			gomega.Expect(e.outcomes["q"]).To(gomega.And(
				gomega.HaveField("Reason", reducer.ServersUnavailable), gomega.HaveField("Ran", reducer.RanNo),
				gomega.HaveField("RetryAfter", gomega.BeNumerically(">", 0)),
			))
		})

		ginkgo.It(c.name+" of one shard is answered in part", func() {
			e := newEntryHost(entryFleetView())
			closed := 0
			for round := 0; closed < 3; round++ {
				first := len(e.sent)
				e.sendRequest(identifier.RequestID(fmt.Sprint("first-", round)), "/search/1")
				for index := first; index < len(e.sent); index++ {
					x := e.sent[index]
					if x.Server[:7] == "shard-0" {
						closed++
						e.reduce(reducer.ExchangeRefused{Attempt: x.Attempt, Server: x.Server, Reason: reducer.ExchangeShed, Statement: c.stated})
						continue
					}
					e.answer(index)
				}
			}
			first := len(e.sent)
			e.sendRequest("q", "/search/1")
			gomega.Expect(len(e.sent) - first).To(gomega.Equal(shardCount - 1))
			for index := first; index < len(e.sent); index++ {
				e.answer(index)
			}
			gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Missing", 1))
		})
	}

	ginkgo.It("is asked to come back spread over time, the most urgent rank first", func() {
		const samples = 30
		earliest, latest := map[int]identifier.Micros{}, map[int]identifier.Micros{}
		for _, priority := range []int{0, 2} {
			e, v := archiveHost()
			v.Declaration.Routes[1].Priority = priority
			e.refuseAll(reducer.ServerStatement{Pause: identifier.Second})
			earliest[priority] = identifier.Minute
			for i := range samples {
				id := identifier.RequestID(fmt.Sprint("q-", i))
				e.sendRequest(id, "/archive/1")
				after := e.outcomes[id].(reducer.Declined).RetryAfter
				earliest[priority] = min(earliest[priority], after)
				latest[priority] = max(latest[priority], after)
			}
			gomega.Expect(earliest[priority]).To(gomega.BeNumerically(">=", identifier.Second))
			gomega.Expect(latest[priority] - earliest[priority]).To(gomega.BeNumerically(">", 50*identifier.Millisecond))
		}
		gomega.Expect(latest[0]).To(gomega.BeNumerically("<=", earliest[2]))
	})
})

var _ = ginkgo.Describe("servers of a fleet that leave, pause and limit at random", func() {
	const (
		drainTime     = 3 * identifier.Second
		pauseSlack    = 500 * identifier.Millisecond
		maxDuringStop = 2
	)
	type told struct {
		host   identifier.HostID
		server identifier.ServerID
	}
	for seed := uint64(1); seed <= 6; seed++ {
		ginkgo.It(fmt.Sprintf("get no request that they don't want, seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 19))
			l := newLimitedFleet(2)
			left := map[told]identifier.Instant{}
			paused := map[told][2]identifier.Instant{}
			during := map[told]int{}
			l.onAnswer = func(id identifier.HostID, e reducer.Exchange, stated reducer.ServerStatement) {
				key := told{id, e.Server}
				if _, ok := left[key]; stated.Leaving && !ok {
					left[key] = l.now
				}
				if stated.Pause > 0 && l.now >= paused[key][1] {
					paused[key] = [2]identifier.Instant{l.now.Add(pauseSlack), l.now.Add(stated.Pause)}
					during[key] = 0
				}
			}
			l.onArrival = func(id identifier.HostID, e reducer.Exchange) {
				key := told{id, e.Server}
				if at, ok := left[key]; ok {
					gomega.Expect(l.now).To(gomega.BeNumerically("<=", at.Add(drainTime)), "%v left", key)
				}
				if p := paused[key]; l.now >= p[0] && l.now < p[1] {
					during[key]++
					gomega.Expect(during[key]).To(gomega.BeNumerically("<=", maxDuringStop), "%v paused", key)
				}
			}
			forget := func(id identifier.HostID) {
				for key := range left {
					if key.host == id {
						delete(left, key)
					}
				}
				for key := range paused {
					if key.host == id {
						delete(paused, key)
					}
				}
			}
			for range 40 {
				l.load(150, 500*identifier.Millisecond)
				address := limitedAddress(random.IntN(3), random.IntN(3))
				switch random.IntN(8) {
				case 0:
					l.leaving[address] = true
				case 1:
					// The server starts again at its address.
					a := l.servers[address]
					a.Incarnation++
					a.Server += "x"
					l.servers[address] = a
					l.leaving[address] = false
				case 2, 3:
					l.pauses[address] = identifier.Micros(random.Int64N(int64(6 * identifier.Second)))
				case 4:
					clear(l.pauses)
				case 5:
					l.limits[address] = identifier.Rate(random.Float64() * 40)
				case 6:
					id := controlName(random.IntN(3))
					l.stop(id, false)
					l.start(id)
				case 7:
					id := l.hosts[random.IntN(len(l.hosts))]
					l.stop(id, false)
					l.start(id)
					forget(id)
				}
			}
		})
	}
})

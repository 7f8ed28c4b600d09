package reducer_test

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

var _ = ginkgo.Describe("a host that measures servers", func() {
	const (
		controlHost    = identifier.HostID("10.0.0.9:70")
		latency        = 10 * identifier.Millisecond
		warmUpRequests = 30
	)
	subscribedFleetView := func() *reducer.FleetView {
		v := entryFleetView()
		v.ControlHost = controlHost
		return v
	}
	// newWarmedUpHost returns an entry host that has recorded typical latencies, with the
	// messages that it sent meanwhile cleared.
	newWarmedUpHost := func() *entryHost {
		e := newEntryHost(subscribedFleetView())
		for i := range warmUpRequests {
			e.sendRequest(identifier.RequestID(fmt.Sprintf("p-%d", i)), "/search/1")
			e.advance(latency)
			for n := range shardCount {
				e.answer(i*shardCount + n)
			}
		}
		e.advance(reducer.MeasurementInterval)
		e.sent, e.messages = nil, nil
		return e
	}
	// reportedTally returns the sum of the reported tallies of all servers.
	reportedTally := func(e *entryHost) assessor.Tally {
		var sum assessor.Tally
		for _, m := range e.messages {
			report, ok := m.Event.(reducer.ServersMeasured)
			if !ok {
				continue
			}
			gomega.Expect(m.To).To(gomega.Equal(controlHost))
			for _, x := range report.Servers {
				sum.Answers += x.Tally.Answers
				sum.Poor += x.Tally.Poor
				sum.Failed += x.Tally.Failed
			}
		}
		return sum
	}
	// answerOthers answers for all servers but the first after the typical latency.
	answerOthers := func(e *entryHost) {
		e.advance(latency)
		for i := 1; i < shardCount; i++ {
			e.answer(i)
		}
	}
	for _, c := range []struct {
		name     string
		path     string
		steps    func(e *entryHost)
		reported assessor.Tally
	}{
		{"reports answers within the typical latency", "/search/1", func(e *entryHost) {
			e.advance(latency)
			for i := range shardCount {
				e.answer(i)
			}
		}, assessor.Tally{Answers: shardCount}},
		{"reports an answer far above the typical latency as poor", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.advance(50 * identifier.Millisecond)
			e.answer(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1}},
		{"reports an overdue attempt once", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.advance(150 * identifier.Millisecond)
			e.answer(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1}},
		{"reports a failure", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.fail(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1, Failed: 1}},
		{"reports a lost attempt", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.lose(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1, Failed: 1}},
		{"does not report an attempt lost on a new connection", "/search/1", func(e *entryHost) {
			answerOthers(e)
			x := e.sent[0]
			e.reduce(reducer.ExchangeLost{Attempt: x.Attempt, Server: x.Server, Reason: "reset", Unproven: true})
		}, assessor.Tally{Answers: shardCount - 1}},
		{"reports an unreachable server", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.refuse(0, reducer.ExchangeUnreachable)
		}, assessor.Tally{Answers: shardCount, Poor: 1, Failed: 1}},
		{"does not report a refusal", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.refuse(0, reducer.ExchangeShed)
		}, assessor.Tally{Answers: shardCount - 1}},
		{"does not report servers of remote domains", "/search/1", func(e *entryHost) {
			answerOthers(e)
			e.refuse(0, reducer.ExchangeShed)
			e.lose(shardCount)
		}, assessor.Tally{Answers: shardCount - 1}},
		{"does not report a route to a single service", "/archive/1", func(e *entryHost) { e.lose(0) }, assessor.Tally{}},
	} {
		ginkgo.It(c.name, func() {
			e := newWarmedUpHost()
			e.sendRequest("q", c.path)
			c.steps(e)
			e.advance(2 * reducer.MeasurementInterval)
			gomega.Expect(reportedTally(e)).To(gomega.Equal(c.reported))
		})
	}

	ginkgo.It("discards the typical latency of a removed route", func() {
		e := newWarmedUpHost()
		without := subscribedFleetView()
		without.Declaration.Routes = nil
		for _, v := range []*reducer.FleetView{without, subscribedFleetView()} {
			e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 5, Fleet: v}})
		}
		e.sendRequest("q", "/search/1")
		answerOthers(e)
		e.advance(50 * identifier.Millisecond)
		e.answer(0)
		e.advance(2 * reducer.MeasurementInterval)
		gomega.Expect(reportedTally(e)).To(gomega.Equal(assessor.Tally{Answers: shardCount}))
	})

	ginkgo.It("sends nothing while it measures nothing", func() {
		e := newWarmedUpHost()
		e.advance(10 * reducer.MeasurementInterval)
		gomega.Expect(e.messages).To(gomega.BeEmpty())
	})

	ginkgo.It("sends a degraded server probes only", func() {
		v := subscribedFleetView()
		v.Backends["shard-0"][0].Degraded = true
		e := newEntryHost(v)
		const requests = 400
		probes := 0
		for i := range requests {
			e.sendRequest(identifier.RequestID(fmt.Sprint(i)), "/search/1")
			for n := range shardCount {
				if x := e.sent[i*shardCount+n]; x.Server == "shard-0-0" {
					probes++
				}
				e.answer(i*shardCount + n)
			}
		}
		gomega.Expect(probes).To(gomega.And(gomega.BeNumerically(">", requests/80), gomega.BeNumerically("<", requests/8)))
	})

	ginkgo.It("uses degraded servers when there are no others", func() {
		v := subscribedFleetView()
		for i := range v.Backends["shard-0"] {
			v.Backends["shard-0"][i].Degraded = true
		}
		e := newEntryHost(v)
		e.sendRequest("q", "/search/1")
		gomega.Expect(e.sent).To(gomega.HaveLen(shardCount))
	})

	ginkgo.It("delegates the pieces of degraded servers to a host of a remote domain", func() {
		v := subscribedFleetView()
		route := &v.Declaration.Routes[0]
		for i := range 8 {
			id := identifier.ServiceID(fmt.Sprintf("more-%d", i))
			route.Shards = append(slices.Clone(route.Shards), id)
			v.Services[id] = v.Services["shard-0"]
			for n, b := range v.Backends["shard-0"] {
				b.Server = identifier.ServerID(fmt.Sprintf("%s-%d", id, n))
				b.Degraded = n == 0
				v.Backends[id] = append(v.Backends[id], b)
			}
		}
		v.Routes = matcher.New(v.Declaration.Routes)
		v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
		e := newEntryHost(v)
		e.sendRequest("q", "/search/1")
		gomega.Expect(e.messages).To(gomega.HaveLen(1))
		gomega.Expect(len(e.messages[0].Event.(reducer.PartsRequested).Services)).To(gomega.BeNumerically(">=", 6))
	})
})

var _ = ginkgo.Describe("a control host that receives measurements", func() {
	measured := func(from int, t assessor.Tally) reducer.ServersMeasured {
		return reducer.ServersMeasured{
			From: entryName(from), Servers: []reducer.Measurement{{Server: "s-1", Tally: t}},
		}
	}
	poor, good := assessor.Tally{Answers: 6, Poor: 6}, assessor.Tally{Answers: 3}
	for _, c := range []struct {
		name     string
		steps    func(f *smallFleet)
		degraded bool
	}{
		{"notifies its subscribers of a degraded server", func(f *smallFleet) {
			f.reduce(controlName(1), measured(1, poor))
		}, true},
		{"notifies its subscribers when the server has recovered", func(f *smallFleet) {
			f.reduce(controlName(1), measured(1, poor))
			f.reduce(controlName(1), measured(1, good))
		}, false},
		{"discards the verdict when the server restarts", func(f *smallFleet) {
			f.reduce(controlName(1), measured(1, poor))
			f.announce(1, announcement("s-1", 2, 1))
		}, false},
		{"keeps the verdict when the server's announcement changes", func(f *smallFleet) {
			f.reduce(controlName(1), measured(1, poor))
			changed := announcement("s-1", 1, 2)
			changed.Slots = 4
			f.announce(1, changed)
		}, true},
		{"does not mark servers degraded for a fault of one host", func(f *smallFleet) {
			e := measured(1, poor)
			for i := range 5 {
				e.Servers = append(e.Servers, reducer.Measurement{Server: identifier.ServerID(fmt.Sprintf("t-%d", i)), Tally: poor})
			}
			f.reduce(controlName(1), e)
		}, false},
		{"ignores unknown servers", func(f *smallFleet) {
			e := measured(1, poor)
			e.Servers[0].Server = "s-9"
			f.reduce(controlName(1), e)
		}, false},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(1, announcement("s-1", 1, 1))
			c.steps(f)
			f.run(100 * identifier.Millisecond)
			gomega.Expect(f.hosts[entryName(1)].view.Fleet.Backends["desk"]).To(gomega.HaveLen(1))
			gomega.Expect(f.hosts[entryName(1)].view.Fleet.Backends["desk"][0].Degraded).To(gomega.Equal(c.degraded))
		})
	}

	ginkgo.It("sends its verdicts to a new subscriber", func() {
		f := newSmallFleet()
		f.declare(0, declarationSource(1, "desk"))
		f.announce(1, announcement("s-1", 1, 1))
		for _, i := range []int{0, 2} {
			f.reduce(controlName(i), measured(i, poor))
		}
		f.run(100 * identifier.Millisecond)
		degraded := func() bool { return f.hosts[entryName(1)].view.Fleet.Backends["desk"][0].Degraded }
		gomega.Expect(degraded()).To(gomega.BeFalse())
		f.stop(controlName(1), false)
		f.run(4 * identifier.Second)
		gomega.Expect(f.hosts[entryName(1)].view.Fleet.ControlHost).To(gomega.BeElementOf(controlName(0), controlName(2)))
		gomega.Expect(degraded()).To(gomega.BeTrue())
	})
})

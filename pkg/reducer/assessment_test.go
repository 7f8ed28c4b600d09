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
		source   = identifier.HostID("10.0.0.9:70")
		latency  = 10 * identifier.Millisecond
		searches = 30
	)
	following := func() *reducer.FleetView {
		v := entryFleet()
		v.Source = source
		return v
	}
	// practised is an entry host that has seen usual latencies, with what it has told left out.
	practised := func() *entry {
		e := newEntry(following())
		for i := range searches {
			e.arrive(identifier.RequestID(fmt.Sprintf("p-%d", i)), "/search/1")
			e.pass(latency)
			for n := range shardCount {
				e.answer(i*shardCount + n)
			}
		}
		e.pass(reducer.MeasurementInterval)
		e.sent, e.messages = nil, nil
		return e
	}
	// total adds up what was told of all servers.
	total := func(e *entry) assessor.Tally {
		var sum assessor.Tally
		for _, m := range e.messages {
			told, ok := m.Event.(reducer.ServersMeasured)
			if !ok {
				continue
			}
			gomega.Expect(m.To).To(gomega.Equal(source))
			for _, x := range told.Servers {
				sum.Answers += x.Tally.Answers
				sum.Poor += x.Tally.Poor
				sum.Failed += x.Tally.Failed
			}
		}
		return sum
	}
	// answerOthers lets all servers but the first answer as usual.
	answerOthers := func(e *entry) {
		e.pass(latency)
		for i := 1; i < shardCount; i++ {
			e.answer(i)
		}
	}
	for _, c := range []struct {
		name string
		path string
		play func(e *entry)
		told assessor.Tally
	}{
		{"tells of usual answers", "/search/1", func(e *entry) {
			e.pass(latency)
			for i := range shardCount {
				e.answer(i)
			}
		}, assessor.Tally{Answers: shardCount}},
		{"tells of an answer far later than usual", "/search/1", func(e *entry) {
			answerOthers(e)
			e.pass(50 * identifier.Millisecond)
			e.answer(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1}},
		{"tells of an overdue attempt once", "/search/1", func(e *entry) {
			answerOthers(e)
			e.pass(150 * identifier.Millisecond)
			e.answer(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1}},
		{"tells of a failure", "/search/1", func(e *entry) {
			answerOthers(e)
			e.fail(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1, Failed: 1}},
		{"tells of a lost attempt", "/search/1", func(e *entry) {
			answerOthers(e)
			e.lose(0)
		}, assessor.Tally{Answers: shardCount, Poor: 1, Failed: 1}},
		{"tells nothing of an attempt lost on a new connection", "/search/1", func(e *entry) {
			answerOthers(e)
			x := e.sent[0]
			e.reduce(reducer.ExchangeLost{Attempt: x.Attempt, Server: x.Server, Reason: "reset", Unproven: true})
		}, assessor.Tally{Answers: shardCount - 1}},
		{"tells of a server that can't be reached", "/search/1", func(e *entry) {
			answerOthers(e)
			e.refuse(0, reducer.ExchangeUnreachable)
		}, assessor.Tally{Answers: shardCount, Poor: 1, Failed: 1}},
		{"tells nothing of a refusal", "/search/1", func(e *entry) {
			answerOthers(e)
			e.refuse(0, reducer.ExchangeShed)
		}, assessor.Tally{Answers: shardCount - 1}},
		{"tells nothing of servers of other domains", "/search/1", func(e *entry) {
			answerOthers(e)
			e.refuse(0, reducer.ExchangeShed)
			e.lose(shardCount)
		}, assessor.Tally{Answers: shardCount - 1}},
		{"tells nothing of a single service", "/archive/1", func(e *entry) { e.lose(0) }, assessor.Tally{}},
	} {
		ginkgo.It(c.name, func() {
			e := practised()
			e.arrive("q", c.path)
			c.play(e)
			e.pass(2 * reducer.MeasurementInterval)
			gomega.Expect(total(e)).To(gomega.Equal(c.told))
		})
	}

	ginkgo.It("forgets how long a route takes once the route is gone", func() {
		e := practised()
		without := following()
		without.Declaration.Routes = nil
		for _, v := range []*reducer.FleetView{without, following()} {
			e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 5, Fleet: v}})
		}
		e.arrive("q", "/search/1")
		answerOthers(e)
		e.pass(50 * identifier.Millisecond)
		e.answer(0)
		e.pass(2 * reducer.MeasurementInterval)
		gomega.Expect(total(e)).To(gomega.Equal(assessor.Tally{Answers: shardCount}))
	})

	ginkgo.It("is quiet while it measures nothing", func() {
		e := practised()
		e.pass(10 * reducer.MeasurementInterval)
		gomega.Expect(e.messages).To(gomega.BeEmpty())
	})

	ginkgo.It("sends a degraded server probes only", func() {
		v := following()
		v.Backends["shard-0"][0].Degraded = true
		e := newEntry(v)
		const requests = 400
		probes := 0
		for i := range requests {
			e.arrive(identifier.RequestID(fmt.Sprint(i)), "/search/1")
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
		v := following()
		for i := range v.Backends["shard-0"] {
			v.Backends["shard-0"][i].Degraded = true
		}
		e := newEntry(v)
		e.arrive("q", "/search/1")
		gomega.Expect(e.sent).To(gomega.HaveLen(shardCount))
	})

	ginkgo.It("has the parts of degraded servers gathered by a host of another domain", func() {
		v := following()
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
		e := newEntry(v)
		e.arrive("q", "/search/1")
		gomega.Expect(e.messages).To(gomega.HaveLen(1))
		gomega.Expect(len(e.messages[0].Event.(reducer.PartsWanted).Services)).To(gomega.BeNumerically(">=", 6))
	})
})

var _ = ginkgo.Describe("a control host that hears of measurements", func() {
	measured := func(from int, t assessor.Tally) reducer.ServersMeasured {
		return reducer.ServersMeasured{
			From: entryName(from), Servers: []reducer.Measurement{{Server: "s-1", Tally: t}},
		}
	}
	poor, good := assessor.Tally{Answers: 6, Poor: 6}, assessor.Tally{Answers: 3}
	for _, c := range []struct {
		name     string
		play     func(w *small)
		degraded bool
	}{
		{"tells its readers of a degraded server", func(w *small) {
			w.reduce(controlName(1), measured(1, poor))
		}, true},
		{"tells them when it has recovered", func(w *small) {
			w.reduce(controlName(1), measured(1, poor))
			w.reduce(controlName(1), measured(1, good))
		}, false},
		{"forgets the verdict when the server starts anew", func(w *small) {
			w.reduce(controlName(1), measured(1, poor))
			w.announce(1, announcement("s-1", 2, 1))
		}, false},
		{"keeps the verdict when the server's announcement changes", func(w *small) {
			w.reduce(controlName(1), measured(1, poor))
			changed := announcement("s-1", 1, 2)
			changed.Slots = 4
			w.announce(1, changed)
		}, true},
		{"does not blame servers for what ails one host", func(w *small) {
			e := measured(1, poor)
			for i := range 5 {
				e.Servers = append(e.Servers, reducer.Measurement{Server: identifier.ServerID(fmt.Sprintf("t-%d", i)), Tally: poor})
			}
			w.reduce(controlName(1), e)
		}, false},
		{"ignores servers that it doesn't know", func(w *small) {
			e := measured(1, poor)
			e.Servers[0].Server = "s-9"
			w.reduce(controlName(1), e)
		}, false},
	} {
		ginkgo.It(c.name, func() {
			w := newSmall()
			w.declare(0, source(1, "desk"))
			w.announce(1, announcement("s-1", 1, 1))
			c.play(w)
			w.run(100 * identifier.Millisecond)
			gomega.Expect(w.members[entryName(1)].view.Fleet.Backends["desk"]).To(gomega.HaveLen(1))
			gomega.Expect(w.members[entryName(1)].view.Fleet.Backends["desk"][0].Degraded).To(gomega.Equal(c.degraded))
		})
	}

	ginkgo.It("tells its verdicts to a host that turns to it", func() {
		w := newSmall()
		w.declare(0, source(1, "desk"))
		w.announce(1, announcement("s-1", 1, 1))
		for _, i := range []int{0, 2} {
			w.reduce(controlName(i), measured(i, poor))
		}
		w.run(100 * identifier.Millisecond)
		degraded := func() bool { return w.members[entryName(1)].view.Fleet.Backends["desk"][0].Degraded }
		gomega.Expect(degraded()).To(gomega.BeFalse())
		w.stop(controlName(1), false)
		w.run(4 * identifier.Second)
		gomega.Expect(w.members[entryName(1)].view.Fleet.Source).To(gomega.BeElementOf(controlName(0), controlName(2)))
		gomega.Expect(degraded()).To(gomega.BeTrue())
	})
})

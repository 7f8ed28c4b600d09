package reducer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const coldRate identifier.Rate = 10

// coldBound is how many attempts a cold server may get in a second.
const coldBound = int(coldRate*1.5) + 5

// newColdFleet returns a fleet whose declaration and settings limit cold servers.
func newColdFleet(hostsPerDomain int) *limitedFleet {
	l := newLimitedFleet(hostsPerDomain)
	for _, h := range l.smallFleet.hosts {
		h.parameters.Interpreter = func(text []byte) (*declarer.Declaration, error) {
			d, err := parseDeclaration(text)
			if err != nil {
				return nil, err
			}
			for i := range d.Services {
				d.Services[i].WarmUp, d.Services[i].WarmUpRate = 10*identifier.Second, coldRate
			}
			return d, nil
		}
		switch d := h.parameters.Duty.(type) {
		case reducer.EntryDuty:
			d.WarmUp = true
			h.parameters.Duty = d
		case reducer.ControlDuty:
			d.WarmUp = permitter.Tolerance{Window: identifier.Second, Overage: 0.5, Slack: 5}
			h.parameters.Duty = d
		}
	}
	for i := range 3 {
		l.stop(controlName(i), false)
		l.start(controlName(i))
	}
	for _, id := range l.hosts {
		l.stop(id, false)
		l.start(id)
	}
	l.run(6 * identifier.Second)
	return l
}

// setState lets a server announce another state at once.
func (l *limitedFleet) setState(control int, address identifier.Address, state leaser.ServerState) {
	a := l.servers[address]
	a.State = state
	a.Sequence++
	l.servers[address] = a
	l.announce(control, a)
}

// most returns the highest number of attempts that a server got in any second since an instant.
func (l *limitedFleet) most(address identifier.Address, since identifier.Instant) int {
	var at []identifier.Instant
	for _, a := range l.arrivals[address] {
		if a.at >= since {
			at = append(at, a.at)
		}
	}
	most := 0
	for i, end := range at {
		first, _ := slices.BinarySearch(at, end.Add(1-identifier.Second))
		most = max(most, i-first+1)
	}
	return most
}

var _ = ginkgo.Describe("a server that becomes cold under load", func() {
	const (
		coldTime = 10 * identifier.Second
		// knownAfter is when all hosts in touch know that the server is cold.
		knownAfter = 200 * identifier.Millisecond
	)
	cold := limitedAddress(0, 0)
	for _, c := range []struct {
		name           string
		hostsPerDomain int
		rate           identifier.Rate
		// servers is how many servers of its service are cold.
		servers int
		// least is how many attempts the server gets at least while it is cold. After the loss of a leader, nobody gets
		// any until the next one is elected and the earlier allotments have ended.
		least int
		// disrupt is called each second while the server is cold, with the number of the second.
		disrupt func(l *limitedFleet, second int)
	}{
		{"beside warm ones", 2, 120, 1, 60, nil},
		{"beside warm ones in a fleet of many hosts", 10, 120, 1, 60, nil},
		{"with all of its service", 2, 120, 3, 60, nil},
		{"while leaders are lost", 2, 120, 1, 20, func(l *limitedFleet, second int) {
			leader := l.smallFleet.hosts[controlName(second%3)].view.Control.Leader
			switch {
			case second%3 == 1 && leader != "":
				l.stop(leader, false)
				l.schedule(l.now.Add(1500*identifier.Millisecond), func() { l.start(leader) })
			}
		}},
		{"while a leader is frozen", 2, 120, 1, 50, func(l *limitedFleet, second int) {
			leader := l.smallFleet.hosts[controlName(1)].view.Control.Leader
			if second == 2 && leader != "" {
				l.frozen[leader] = true
				l.schedule(l.now.Add(3*identifier.Second), func() { l.thaw(leader) })
			}
		}},
		{"while an entry host is cut off", 2, 120, 1, 60, func(l *limitedFleet, second int) {
			l.isolated[entryName(0)] = second >= 2 && second < 8
		}},
		{"while an entry host is frozen time and again", 2, 120, 1, 60, func(l *limitedFleet, second int) {
			if second%2 == 0 {
				l.frozen[entryName(0)] = true
				return
			}
			l.thaw(entryName(0))
		}},
	} {
		ginkgo.It("gets no more than its limit, and some work: "+c.name, func() {
			l := newColdFleet(c.hostsPerDomain)
			l.load(c.rate, 5*identifier.Second)
			warm := l.countSince(cold, l.now.Add(-5*identifier.Second))
			gomega.Expect(warm).To(gomega.BeNumerically(">", 5*coldBound), "the load must exceed the limit")
			for d := range c.servers {
				l.setState(d, limitedAddress(0, d), leaser.Starting)
			}
			l.run(knownAfter)
			since := l.now
			for second := range int(coldTime / identifier.Second) {
				if c.disrupt != nil {
					c.disrupt(l, second)
				}
				l.load(c.rate, identifier.Second)
			}
			got := l.countSince(cold, since)
			ginkgo.GinkgoWriter.Printf("%d arrivals in %d s, at most %d in a second, of %d\n", got, coldTime/identifier.Second, l.most(cold, since), coldBound)
			gomega.Expect(l.most(cold, since)).To(gomega.BeNumerically("<=", coldBound))
			gomega.Expect(got).To(gomega.BeNumerically(">=", c.least))
			answered, _ := l.completed()
			gomega.Expect(answered).To(gomega.BeNumerically(">", 0))
			l.setState(0, cold, leaser.Serving)
			l.run(6 * identifier.Second)
			since = l.now
			l.load(c.rate, 5*identifier.Second)
			gomega.Expect(l.countSince(cold, since)).To(gomega.BeNumerically(">", 5*coldBound))
		})
	}
})

var _ = ginkgo.Describe("a cold server in a fleet of hosts with little load", func() {
	// Each host sends less than one request a second, so a credit must stay usable until it sends one, by this host or
	// the next, and hosts must not hold credits that they don't use.
	ginkgo.It("gets a part of what it may get", func() {
		l := newColdFleet(20)
		random := rand.New(rand.NewPCG(1, 1))
		cold := limitedAddress(0, 0)
		l.setState(0, cold, leaser.Starting)
		l.run(identifier.Second)
		since := l.now
		for end := l.now.Add(20 * identifier.Second); l.now < end; l.run(identifier.Micros(random.ExpFloat64() * float64(identifier.Second) / 40)) {
			l.requests++
			l.reduce(l.hosts[random.IntN(len(l.hosts))], reducer.RequestArrived{
				Request: identifier.RequestID(fmt.Sprint(l.requests)), Hostname: "a.example", Path: "/q",
				Payload: reducer.Payload{ClientRequestID: fmt.Sprint(l.requests)},
			})
		}
		ginkgo.GinkgoWriter.Printf("%d arrivals in 20 s\n", l.countSince(cold, since))
		gomega.Expect(l.most(cold, since)).To(gomega.BeNumerically("<=", coldBound))
		gomega.Expect(l.countSince(cold, since)).To(gomega.BeNumerically(">", 40))
	})
})

var _ = ginkgo.Describe("a server that returns from an evacuation", func() {
	// Its cache may be cold although it doesn't say so yet.
	ginkgo.It("counts as cold for the time that its service takes to warm up", func() {
		l := newColdFleet(2)
		cold := limitedAddress(0, 0)
		gomega.Expect(l.sendOrder(0, domain(0), false)).To(gomega.Equal(reducer.Committed{}))
		l.load(120, 5*identifier.Second)
		gomega.Expect(l.sendOrder(1, domain(0), true)).To(gomega.Equal(reducer.Committed{}))
		since := l.now
		l.load(120, 10*identifier.Second)
		gomega.Expect(l.most(cold, since)).To(gomega.BeNumerically("<=", coldBound))
		gomega.Expect(l.countSince(cold, since)).To(gomega.BeNumerically(">=", int(coldRate)*10/3))
		l.run(identifier.Second)
		since = l.now
		l.load(120, 5*identifier.Second)
		gomega.Expect(l.countSince(cold, since)).To(gomega.BeNumerically(">", 5*coldBound))
	})
})

var _ = ginkgo.Describe("an entry host", func() {
	const hold = 300 * identifier.Millisecond
	// local is the server in the failure domain of the host, which warm servers are preferred to.
	const local = identifier.ServerID("archive-0")
	coldView := func(cold ...int) *reducer.FleetView {
		v := entryFleetView()
		v.Services["archive"].WarmUp, v.Services["archive"].WarmUpRate = 10*identifier.Second, 5
		v.ControlHost, v.ControlHosts = leader, []identifier.HostID{"10.0.0.8:70", leader}
		for _, n := range cold {
			v.Backends["archive"][n].State = leaser.Starting
		}
		return v
	}
	asked := func(e *entryHost) (events []reducer.ColdCreditRequested) {
		for _, m := range e.messages {
			if x, ok := m.Event.(reducer.ColdCreditRequested); ok {
				events = append(events, x)
			}
		}
		return events
	}
	answer := func(e *entryHost, retryAfter identifier.Micros) {
		x := asked(e)
		last := x[len(x)-1]
		e.reduce(reducer.ColdCreditAnswered{
			Server: last.Server, Incarnation: last.Incarnation, Asked: last.Asked, Hold: hold, RetryAfter: retryAfter,
		})
	}
	publish := func(e *entryHost, v *reducer.FleetView) {
		e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: v}})
	}
	send := func(e *entryHost) { e.sendRequest(identifier.RequestID(string(rune('a'+len(e.sent)))), "/archive/1") }
	for _, c := range []struct {
		name string
		view *reducer.FleetView
		off  bool
		play func(e *entryHost)
		// toLocal and asks are how many attempts the local server gets, and how many credits are asked for.
		toLocal, asks int
	}{
		{"sends to a warm server without a credit", coldView(), false, func(e *entryHost) { send(e); send(e) }, 2, 0},
		{"sends to a cold server without a credit if the settings don't limit it", coldView(0, 1, 2), true, func(e *entryHost) { send(e) }, 1, 0},
		{"passes a cold server over and asks for one credit at a time", coldView(0), false, func(e *entryHost) { send(e); send(e) }, 0, 1},
		{"asks another control host when the first one doesn't answer", coldView(0), false, func(e *entryHost) {
			send(e)
			e.advance(110 * identifier.Millisecond)
			send(e)
			gomega.Expect(e.messages[0].To).To(gomega.Equal(leader))
			gomega.Expect(e.messages[len(e.messages)-1].To).NotTo(gomega.Equal(leader))
		}, 0, 2},
		{"uses a credit once, until it ends at the server", coldView(0), false, func(e *entryHost) {
			send(e)
			start := e.now
			answer(e, 0)
			send(e)
			gomega.Expect(e.sent[1].ValidUntil).To(gomega.Equal(start.Add(hold)))
			send(e)
		}, 1, 2},
		{"uses a credit once if its answer is repeated", coldView(0), false, func(e *entryHost) {
			send(e)
			answer(e, 0)
			send(e)
			answer(e, 0)
			send(e)
		}, 1, 2},
		{"returns a credit that it doesn't use", coldView(0), false, func(e *entryHost) {
			send(e)
			e.answer(0)
			answer(e, 0)
			e.advance(hold)
			gomega.Expect(e.messages[len(e.messages)-1].Event).To(gomega.And(
				gomega.BeAssignableToTypeOf(reducer.ColdCreditSettled{}), gomega.HaveField("Used", false)))
			send(e)
		}, 0, 2},
		{"asks no more until there may be a credit", coldView(0), false, func(e *entryHost) {
			send(e)
			answer(e, 200*identifier.Millisecond)
			e.advance(150 * identifier.Millisecond)
			send(e)
			e.advance(50 * identifier.Millisecond)
			send(e)
		}, 0, 2},
		{"lets a request wait for a credit if all servers are cold", coldView(0, 1, 2), false, func(e *entryHost) {
			send(e)
			gomega.Expect(e.sent).To(gomega.BeEmpty())
			e.reduce(reducer.ColdCreditAnswered{Server: local, Incarnation: 1, Asked: e.now, Hold: hold})
			e.advance(reducer.ServerRetryInterval)
		}, 1, 3},
		{"refuses a request at once if there is no credit in time", coldView(0, 1, 2), false, func(e *entryHost) {
			send(e)
			for _, x := range asked(e) {
				e.reduce(reducer.ColdCreditAnswered{Server: x.Server, Incarnation: x.Incarnation, Asked: x.Asked, RetryAfter: identifier.Second})
			}
			e.sendRequest("late", "/archive/1")
			gomega.Expect(e.outcomes["late"]).To(gomega.HaveField("Ran", reducer.RanNo))
		}, 0, 3},
		{"counts a server as cold after an evacuation", coldView(), false, func(e *entryHost) {
			v := coldView()
			v.Evacuated, v.Backends["archive"][0].Evacuated = []identifier.DomainID{domain(0)}, true
			publish(e, v)
			publish(e, coldView())
			send(e)
			e.answer(0)
			e.advance(10 * identifier.Second)
			send(e)
		}, 1, 1},
	} {
		ginkgo.It(c.name, func() {
			d := entryDuty()
			d.WarmUp = !c.off
			e := newEntryHostWith(c.view, d)
			e.advance(identifier.Second)
			c.play(e)
			toLocal := 0
			for _, x := range e.sent {
				if x.Server == local {
					toLocal++
				}
			}
			gomega.Expect(toLocal).To(gomega.Equal(c.toLocal))
			gomega.Expect(asked(e)).To(gomega.HaveLen(c.asks))
		})
	}
})

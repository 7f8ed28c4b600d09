package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// lossyFleet is a fleet whose servers lose the first attempt of every request of selected
// hosts. It records when requests and extra attempts were sent.
type lossyFleet struct {
	*smallFleet
	requests      []identifier.Instant
	extraAttempts []identifier.Instant
	requestCount  int
}

func newLossyFleet(loses func(id identifier.HostID) bool) *lossyFleet {
	l := &lossyFleet{smallFleet: newSmallFleet()}
	l.declare(0, declarationSource(1, "desk"))
	for i := range 3 {
		a := announcement(identifier.ServerID(fmt.Sprintf("s-%d", i)), 1, 1)
		a.Domain = domain(i)
		l.announce(i, a)
	}
	first := map[identifier.RequestID]bool{}
	l.exchange = func(id identifier.HostID, e reducer.Exchange) {
		key := identifier.RequestID(string(id)) + e.Attempt.Request
		lost := !first[key] && loses(id)
		if first[key] {
			l.extraAttempts = append(l.extraAttempts, l.now)
		}
		first[key] = true
		l.schedule(l.now.Add(5*identifier.Millisecond), func() {
			if lost {
				l.reduce(id, reducer.ExchangeLost{Attempt: e.Attempt, Server: e.Server, Reason: "reset"})
				return
			}
			l.reduce(id, reducer.ExchangeAnswered{Attempt: e.Attempt, Server: e.Server, Answer: reducer.ServerAnswer{
				Success: true, Signature: string(key) + string(e.Server), Body: make([]byte, 16),
			}})
		})
	}
	return l
}

// load sends a request to each entry host at every interval for the duration.
func (l *lossyFleet) load(interval, duration identifier.Micros) {
	for end := l.now.Add(duration); l.now < end; l.run(interval) {
		for i := range 3 {
			l.requestCount++
			l.requests = append(l.requests, l.now)
			l.reduce(entryName(i), reducer.RequestArrived{
				Request: identifier.RequestID(fmt.Sprint(l.requestCount)), Hostname: "a.example", Path: "/q",
				Payload: reducer.Payload{ClientRequestID: fmt.Sprint(l.requestCount)},
			})
		}
	}
}

// countInWindow counts the instants in the window of extra attempts that ends at end.
func countInWindow(instants []identifier.Instant, end identifier.Instant) int {
	count := 0
	for _, at := range instants {
		if at <= end && end.Since(at) <= extraAttemptLimits.Window {
			count++
		}
	}
	return count
}

var _ = ginkgo.Describe("extra attempts of a fleet", func() {
	const interval = 50 * identifier.Millisecond
	all := func(identifier.HostID) bool { return true }
	one := func(id identifier.HostID) bool { return id == entryName(1) }
	for _, c := range []struct {
		name  string
		loses func(identifier.HostID) bool
		steps func(l *lossyFleet)
		// minExtra is the minimum number of extra attempts that must be sent.
		minExtra int
	}{
		{"stay within the limit when all hosts need them", all, func(l *lossyFleet) { l.load(interval, 30*identifier.Second) }, 300},
		{"may be used by the one host that needs them", one, func(l *lossyFleet) {
			l.load(interval, 2*identifier.Second)
		}, 25},
		{"stay within the limit when a flood begins", all, func(l *lossyFleet) {
			l.load(4*interval, 15*identifier.Second)
			l.load(interval/5, 3*identifier.Second)
		}, 0},
		{"stay within the limit when control hosts restart one after the other", all, func(l *lossyFleet) {
			for i := range 3 {
				l.load(interval, 4*identifier.Second)
				l.stop(controlName(i), false)
				l.start(controlName(i))
			}
			l.load(interval, 8*identifier.Second)
		}, 0},
		{"stay within the limit when all control hosts die", all, func(l *lossyFleet) {
			l.load(interval, 5*identifier.Second)
			for i := range 3 {
				l.stop(controlName(i), false)
			}
			l.load(interval, 10*identifier.Second)
		}, 0},
		{"stay within the limit when hosts restart", all, func(l *lossyFleet) {
			l.load(interval, 5*identifier.Second)
			l.stop(entryName(0), false)
			l.start(entryName(0))
			l.load(interval, 10*identifier.Second)
		}, 0},
	} {
		ginkgo.It(c.name, func() {
			l := newLossyFleet(c.loses)
			l.run(12 * identifier.Second)
			c.steps(l)
			for _, at := range l.extraAttempts {
				limit := float64(extraAttemptLimits.Share)*float64(countInWindow(l.requests, at)) + float64(extraAttemptLimits.Slack)
				gomega.Expect(float64(countInWindow(l.extraAttempts, at))).To(gomega.BeNumerically("<=", limit), "at %d us", at)
			}
			gomega.Expect(len(l.extraAttempts)).To(gomega.BeNumerically(">=", c.minExtra))
		})
	}

	// The control host has not counted such loans yet, so that all hosts together could exceed the limit.
	ginkgo.It("are not lent anew before the last ones are reported", func() {
		e := newEntryHost(entryFleetView())
		lose := func(requests int) {
			for range requests {
				e.sendRequest(identifier.RequestID(fmt.Sprint(len(e.sent))), "/archive/1")
				e.lose(len(e.sent) - 1)
			}
		}
		// The host has saved up 4 extra attempts and may borrow 2 at a time.
		lending := reducer.LendingUpdated{Lending: reducer.Lending{Open: true}}
		e.reduce(lending)
		lose(7)
		gomega.Expect(e.sent).To(gomega.HaveLen(7 + 4 + 2))
		e.reduce(lending)
		lose(1)
		gomega.Expect(e.sent).To(gomega.HaveLen(8 + 4 + 2))
	})

	ginkgo.It("are lent only after a control host has run for a window", func() {
		l := newLossyFleet(one)
		open := map[bool]int{}
		l.onReceive = func(_ identifier.HostID, e reducer.Event) {
			if message, ok := e.(reducer.LendingUpdated); ok {
				open[message.Lending.Open]++
			}
		}
		l.stop(controlName(1), false)
		l.start(controlName(1))
		l.run(extraAttemptLimits.Window / 2)
		gomega.Expect(l.hosts[entryName(1)].view.Fleet.ControlHost).To(gomega.Equal(controlName(1)))
		open = map[bool]int{}
		l.reduce(controlName(1), reducer.ServersMeasured{From: entryName(1)})
		l.run(identifier.Second)
		gomega.Expect(open[false]).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("are reported to the control host together with what was measured", func() {
		l := newLossyFleet(one)
		l.run(12 * identifier.Second)
		borrowed, poor := 0, 0
		l.onReceive = func(_ identifier.HostID, e reducer.Event) {
			report, ok := e.(reducer.ServersMeasured)
			if !ok {
				return
			}
			for _, b := range report.Borrowed {
				borrowed += b.Count
			}
			for _, m := range report.Servers {
				poor += m.Tally.Poor
			}
		}
		l.load(interval, 2*identifier.Second)
		l.run(identifier.Second)
		gomega.Expect(borrowed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(poor).To(gomega.BeNumerically(">", 0))
	})
})

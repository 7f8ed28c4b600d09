package reducer_test

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// orderLate delivers an order about a domain whose sender has gone.
func (f *smallFleet) orderLate(control int, id identifier.DomainID, ended bool) {
	f.ticket++
	f.gone[f.ticket] = true
	f.reduce(controlName(control), reducer.EvacuationRequested{Ticket: f.ticket, Domain: id, Ended: ended})
}

// orderOfAge delivers an order of an age, as far as the host knows, whose sender seems to wait.
func (f *smallFleet) orderOfAge(control int, id identifier.DomainID, ended bool, age identifier.Micros) reducer.Ticket {
	f.ticket++
	f.reduce(controlName(control), reducer.EvacuationRequested{Ticket: f.ticket, Domain: id, Ended: ended, Age: age})
	return f.ticket
}

// heldTime is how long a link holds an order back.
const heldTime = 3500 * identifier.Millisecond

// doLate runs a step: "late-begin" or "late-end" with the number of a control host and a domain, "held-begin" or "held-end" if the
// end of the sender's connection never arrives, or a step of do.
func (f *smallFleet) doLate(step string) {
	words := strings.Fields(step)
	if name, late := strings.CutPrefix(words[0], "late-"); late {
		var i int
		_, err := fmt.Sscan(words[1], &i)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.orderLate(i, identifier.DomainID(words[2]), name == "end")
		return
	}
	if name, held := strings.CutPrefix(words[0], "held-"); held {
		var i int
		_, err := fmt.Sscan(words[1], &i)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		age := heldTime
		if f.frozen[controlName(i)] {
			// The host accepts the connection when it wakes.
			age = 0
		}
		f.orderOfAge(i, identifier.DomainID(words[2]), name == "end", age)
		return
	}
	f.do(step)
}

// Guards against late copies of orders that undo what was acknowledged after their senders gave up.
var _ = ginkgo.Describe("an order about a failure domain whose sender has given up", func() {
	for _, c := range []struct {
		name, steps string
		evacuated   bool
	}{
		{"doesn't end an evacuation ordered again", "begin 1 fd-1,freeze 0,late-end 0 fd-1,end 1 fd-1,begin 2 fd-1,heal", true},
		{"doesn't begin an evacuation that has ended", "freeze 0,late-begin 0 fd-1,begin 1 fd-1,end 2 fd-1,heal", false},
		{"doesn't end an evacuation, at the leader", "begin 1 fd-1,freeze 1,late-end 1 fd-1,end 2 fd-1,begin 0 fd-1,heal", true},
		{"doesn't begin one, at the leader", "freeze 1,late-begin 1 fd-1,begin 0 fd-1,end 2 fd-1,heal", false},
		{"doesn't end an evacuation, at the third host", "begin 1 fd-1,freeze 2,late-end 2 fd-1,end 1 fd-1,begin 0 fd-1,heal", true},
		{"doesn't end an evacuation when only the link was slow", "begin 0 fd-1,end 1 fd-1,begin 2 fd-1,late-end 0 fd-1,wait 1", true},
		{"doesn't begin one when only the link was slow", "begin 0 fd-1,end 1 fd-1,late-begin 2 fd-1,wait 1", false},
		{"doesn't end an evacuation when the end of its connection never comes", "begin 0 fd-1,end 1 fd-1,begin 2 fd-1,held-end 0 fd-1,wait 1", true},
		{"doesn't begin one when the end of its connection never comes", "begin 0 fd-1,end 1 fd-1,held-begin 2 fd-1,wait 1", false},
		{"doesn't end an evacuation, at a host that was frozen, when the end never comes", "begin 1 fd-1,freeze 0,held-end 0 fd-1,end 1 fd-1,begin 2 fd-1,heal", true},
		{"doesn't begin one, at a host that was frozen, when the end never comes", "freeze 0,held-begin 0 fd-1,begin 1 fd-1,end 2 fd-1,heal", false},
		{"doesn't end an evacuation, at a leader that was frozen, when the end never comes", "begin 1 fd-1,freeze 1,held-end 1 fd-1,end 2 fd-1,begin 0 fd-1,heal", true},
		{"has no effect when nothing else was ordered", "late-begin 0 fd-1,wait 1", false},
		{"has no effect after a change of leader", "begin 0 fd-1,freeze 0,late-end 0 fd-1,kill,end 1 fd-1,begin 2 fd-1,heal", true},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			for step := range strings.SplitSeq(c.steps, ",") {
				f.doLate(step)
			}
			f.run(contactPeriod)
			f.expectEvacuated(domain(1), c.evacuated)
		})
	}

	ginkgo.It("has no effect if it gave up after the base was read and another order was acknowledged", func() {
		f := newSmallFleet()
		f.do("begin 0 fd-1")
		f.ticket++
		slow := f.ticket
		f.onEffect = func(id identifier.HostID, e reducer.Effect) {
			if c, ok := e.(reducer.ConfirmCaller); ok && c.Ticket == slow {
				f.frozen[id] = true
			}
		}
		f.reduce(controlName(0), reducer.EvacuationRequested{Ticket: slow, Domain: domain(1), Ended: true})
		// The check finds the sender, and the host stops before it acts on that.
		f.run(10 * identifier.Millisecond)
		gomega.Expect(f.frozen[controlName(0)]).To(gomega.BeTrue())
		f.run(identifier.Second)
		f.onEffect = nil
		f.do("end 1 fd-1")
		f.do("begin 2 fd-1")
		f.do("heal")
		f.run(contactPeriod)
		f.expectEvacuated(domain(1), true)
	})

	ginkgo.It("has no effect if it was received longer ago than its sender waits", func() {
		f := newSmallFleet()
		for _, age := range []identifier.Micros{reducer.OrderTimeout, 20 * identifier.Second} {
			f.ticket++
			f.reduce(controlName(0), reducer.EvacuationRequested{Ticket: f.ticket, Domain: domain(1), Age: age})
			gomega.Expect(f.replies[f.ticket].Reply).To(gomega.Equal(reducer.OrderUnproven{}))
		}
		f.run(identifier.Second)
		f.expectEvacuated(domain(1), false)
	})
})

// Guards against orders that a link has held back while the end of their connection is lost or late.
var _ = ginkgo.Describe("an order whose sender seems to wait", func() {
	answered := func(f *smallFleet, t reducer.Ticket) reducer.Answer {
		f.run(identifier.Second)
		return f.replies[t].Reply
	}
	orders := []struct {
		name string
		// give delivers the order, and reports whether it was executed.
		give func(f *smallFleet, age identifier.Micros) bool
	}{
		{"to begin an evacuation", func(f *smallFleet, age identifier.Micros) bool {
			return answered(f, f.orderOfAge(0, domain(1), false, age)) == reducer.Committed{}
		}},
		{"to end an evacuation", func(f *smallFleet, age identifier.Micros) bool {
			f.do("begin 0 fd-1")
			return answered(f, f.orderOfAge(1, domain(1), true, age)) == reducer.Committed{}
		}},
		{"to withdraw a server", func(f *smallFleet, age identifier.Micros) bool {
			f.announce(0, announcement("s-1", 1, 1))
			f.ticket++
			f.reduce(controlName(0), reducer.ServerWithdrawn{Ticket: f.ticket, Server: "s-1", Age: age})
			f.run(identifier.Second)
			return !f.grants[f.ticket].Declined
		}},
		{"to remove a control host", func(f *smallFleet, age identifier.Micros) bool {
			f.ticket++
			f.reduce(controlName(0), reducer.MembersRequested{
				Ticket: f.ticket, Operation: reducer.RemoveMember{Host: controlName(2)}, Age: age,
			})
			decided, ok := answered(f, f.ticket).(reducer.MembersDecided)
			return ok && decided.Refusal == ""
		}},
		{"to release a request", func(f *smallFleet, age identifier.Micros) bool {
			f.ticket++
			f.reduce(entryName(1), reducer.QuarantineReleased{Ticket: f.ticket, Fingerprint: crashingFingerprint, Age: age})
			return answered(f, f.ticket) == reducer.Committed{}
		}},
	}
	for _, o := range orders {
		for _, c := range []struct {
			name     string
			age      identifier.Micros
			executed bool
		}{
			{"is executed on a new connection", 2 * identifier.Millisecond, true},
			{"is executed half a second after the connection was made", 500 * identifier.Millisecond, true},
			{"isn't executed once its sender may have gone on", reducer.MaxOrderAge, false},
			{"isn't executed after a hold of 3.5 s", heldTime, false},
			{"isn't executed after a hold of 20 s", maxLateness, false},
		} {
			ginkgo.It(c.name+": "+o.name, func() {
				f := newSmallFleet()
				unproven := 0
				f.onEffect = func(_ identifier.HostID, e reducer.Effect) {
					if x, ok := e.(reducer.Count); ok && x.Counter == reducer.UnprovenOrdersCounter {
						unproven++
					}
				}
				gomega.Expect(o.give(f, c.age)).To(gomega.Equal(c.executed))
				gomega.Expect(unproven == 0).To(gomega.Equal(c.executed))
			})
		}
	}

	ginkgo.It("isn't executed if its base was read too late for that", func() {
		f := newSmallFleet()
		f.isolated[controlName(0)] = true
		t := f.orderOfAge(0, domain(1), false, reducer.MaxOrderAge-200*identifier.Millisecond)
		f.run(300 * identifier.Millisecond)
		f.isolated[controlName(0)] = false
		f.run(identifier.Second)
		gomega.Expect(f.replies[t].Reply).To(gomega.Equal(reducer.OrderUnproven{}))
		f.expectEvacuated(domain(1), false)
	})

	ginkgo.It("is executed again some time after a pause", func() {
		f := newSmallFleet()
		f.do("freeze 0")
		f.thaw(controlName(0))
		f.run(reducer.ResumptionPeriod - identifier.Millisecond)
		t := f.orderOfAge(0, domain(1), false, 0)
		f.run(identifier.Second)
		gomega.Expect(f.replies[t].Reply).To(gomega.Equal(reducer.OrderUnproven{}))
		f.do("begin 0 fd-1")
	})
})

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

// doLate runs a step: "late-begin" or "late-end" with the number of a control host and a domain, or a step of do.
func (f *smallFleet) doLate(step string) {
	words := strings.Fields(step)
	if name, late := strings.CutPrefix(words[0], "late-"); late {
		var i int
		_, err := fmt.Sscan(words[1], &i)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.orderLate(i, identifier.DomainID(words[2]), name == "end")
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
		f.reduce(controlName(0), reducer.EvacuationRequested{Ticket: slow, Domain: domain(1), Ended: true})
		f.run(reducer.CallerCheckDelay - identifier.Millisecond)
		// The check finds the sender, and the host stops before it acts on that.
		f.frozen[controlName(0)] = true
		f.run(identifier.Second)
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
			gomega.Expect(f.replies[f.ticket].Reply).To(gomega.Equal(reducer.LeaderMissing{}))
		}
		f.run(identifier.Second)
		f.expectEvacuated(domain(1), false)
	})
})

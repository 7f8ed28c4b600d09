package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// changeMembers sends a change of the control hosts to a control host, and returns its ticket.
func (f *smallFleet) changeMembers(i int, o reducer.Operation, gone bool) reducer.Ticket {
	f.ticket++
	f.gone[f.ticket] = gone
	f.reduce(controlName(i), reducer.MembersRequested{Ticket: f.ticket, Operation: o})
	return f.ticket
}

// Guards against late copies of orders that undo a later change of the control hosts.
var _ = ginkgo.Describe("a change of the control hosts", func() {
	const settlingTime = 20 * identifier.Second
	remove := reducer.RemoveMember{Host: controlName(2)}
	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		// removals is how often the host is removed. It joins again by itself.
		removals int
	}{
		{"is made while its sender waits", func(f *smallFleet) {
			t := f.changeMembers(0, remove, false)
			f.run(settlingTime)
			gomega.Expect(f.replies[t].Reply.(reducer.MembersDecided).Refusal).To(gomega.BeEmpty())
		}, 1},
		{"is dropped if its sender has gone", func(f *smallFleet) { f.changeMembers(1, remove, true) }, 0},
		{"is dropped if it arrives late after a later change", func(f *smallFleet) {
			f.changeMembers(1, remove, false)
			f.run(settlingTime)
			f.changeMembers(0, remove, true)
		}, 1},
		{"is made once if it is sent to all hosts at the same time", func(f *smallFleet) {
			for i := range 3 {
				f.changeMembers(i, remove, false)
			}
		}, 1},
		{"is made once if the network delivers copies later", func(f *smallFleet) {
			var copies []func()
			f.onReceive = func(id identifier.HostID, e reducer.Event) {
				if forwarded, ok := e.(reducer.OperationForwarded); ok {
					copies = append(copies, func() { f.reduce(id, forwarded) })
				}
			}
			for i := range 3 {
				f.changeMembers(i, remove, false)
			}
			f.run(settlingTime)
			f.onReceive = nil
			gomega.Expect(copies).NotTo(gomega.BeEmpty())
			for _, deliver := range copies {
				deliver()
				f.run(identifier.Second)
			}
		}, 1},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			removals := 0
			f.onEffect = func(id identifier.HostID, e reducer.Effect) {
				log, ok := e.(reducer.Log)
				if ok && id == controlName(1) && log.Message == "membership committed" &&
					log.Fields[0].Value == string(controlName(0)+" "+controlName(1)) {
					removals++
				}
			}
			c.steps(f)
			f.run(settlingTime)
			gomega.Expect(removals).To(gomega.Equal(c.removals))
		})
	}
})

package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// withdrawLate delivers a withdrawal whose sender has gone.
func (f *smallFleet) withdrawLate(i int, id identifier.ServerID) {
	f.ticket++
	f.gone[f.ticket] = true
	f.reduce(controlName(i), reducer.ServerWithdrawn{Ticket: f.ticket, Server: id})
}

// withdrawAt withdraws a server and reports whether that was acknowledged.
func (f *smallFleet) withdrawAt(i int, id identifier.ServerID) bool {
	grant, answered := f.leaveAt(i, func(t reducer.Ticket) reducer.Event {
		return reducer.ServerWithdrawn{Ticket: t, Server: id}
	})
	return answered && !grant.Declined
}

// withdrawWhereOutdated has a server start again, known to one host and the third one only, and withdraw at the host that knows the
// former incarnation. If that declines, the server withdraws at the one that knows it.
func withdrawWhereOutdated(outdated, knows int) func(f *smallFleet) {
	return func(f *smallFleet) {
		f.isolated[controlName(outdated)] = true
		f.announce(knows, announcement("s-1", 2, 1))
		f.isolated[controlName(outdated)] = false
		if !f.withdrawAt(outdated, "s-1") {
			gomega.Expect(f.withdrawAt(knows, "s-1")).To(gomega.BeTrue())
		}
	}
}

// Guards against withdrawals that end another incarnation than the one that sent them.
var _ = ginkgo.Describe("a withdrawal of a backend server", func() {
	present, gone := map[identifier.ServerID]bool{"s-1": false}, map[identifier.ServerID]bool{}
	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		// servers are those in use at the end, in all failure domains.
		servers map[identifier.ServerID]bool
	}{
		{"is dropped if a frozen host handles it after the server has started again", func(f *smallFleet) {
			f.do("freeze 0")
			f.withdrawLate(0, "s-1")
			gomega.Expect(f.withdrawAt(1, "s-1")).To(gomega.BeTrue())
			f.announce(1, announcement("s-1", 2, 1))
			f.do("heal")
			f.announce(1, announcement("s-1", 2, 2))
		}, present},
		{"is dropped if it arrives late over a slow link", func(f *smallFleet) {
			gomega.Expect(f.withdrawAt(1, "s-1")).To(gomega.BeTrue())
			f.announce(1, announcement("s-1", 2, 1))
			f.withdrawLate(0, "s-1")
		}, present},
		{"is dropped if it arrives late at the leader", func(f *smallFleet) {
			gomega.Expect(f.withdrawAt(0, "s-1")).To(gomega.BeTrue())
			f.announce(0, announcement("s-1", 2, 1))
			for i := range 3 {
				f.withdrawLate(i, "s-1")
			}
		}, present},
		{"is dropped if its sender has gone, although the server runs on", func(f *smallFleet) {
			f.withdrawLate(2, "s-1")
		}, present},
		{"is declined if it was received longer ago than its sender waits", func(f *smallFleet) {
			f.ticket++
			f.reduce(controlName(0), reducer.ServerWithdrawn{Ticket: f.ticket, Server: "s-1", Age: reducer.OrderTimeout})
			gomega.Expect(f.grants[f.ticket].Declined).To(gomega.BeTrue())
		}, present},
		{"is relayed for the incarnation that sent it only", func(f *smallFleet) {
			var copies []func()
			f.onReceive = func(id identifier.HostID, e reducer.Event) {
				if relayed, ok := e.(reducer.WithdrawalRelayed); ok {
					copies = append(copies, func() { f.reduce(id, relayed) })
				}
			}
			gomega.Expect(f.withdrawAt(1, "s-1")).To(gomega.BeTrue())
			f.onReceive = nil
			f.announce(1, announcement("s-1", 2, 1))
			gomega.Expect(copies).NotTo(gomega.BeEmpty())
			for _, deliver := range copies {
				deliver()
			}
		}, present},
		{"is not listed as an earlier version relays it, since that names no incarnation", func(f *smallFleet) {
			f.reduce(controlName(1), reducer.WithdrawalRelayed{Server: "s-1"})
		}, present},
		{"counts if its sender waits", func(f *smallFleet) {
			gomega.Expect(f.withdrawAt(2, "s-1")).To(gomega.BeTrue())
		}, gone},
		{"is acknowledged again to a sender that lost the answer", func(f *smallFleet) {
			for i := range 3 {
				gomega.Expect(f.withdrawAt(i, "s-1")).To(gomega.BeTrue())
			}
		}, gone},
		{"counts also if no quorum acknowledges it", func(f *smallFleet) {
			f.isolated[controlName(1)], f.isolated[controlName(2)] = true, true
			f.run(2 * identifier.Second)
			f.announce(0, announcement("s-1", 1, 7))
			gomega.Expect(f.withdrawAt(0, "s-1")).To(gomega.BeFalse())
			f.do("heal")
			f.run(identifier.Second)
		}, gone},
		{"is declined where only the departure of the former incarnation is known, by a host out of touch", func(f *smallFleet) {
			gomega.Expect(f.withdrawAt(1, "s-1")).To(gomega.BeTrue())
			f.isolated[controlName(0)] = true
			f.announce(1, announcement("s-1", 2, 1))
			gomega.Expect(f.withdrawAt(0, "s-1")).To(gomega.BeFalse())
			f.do("heal")
			f.announce(1, announcement("s-1", 2, 2))
		}, present},
		{"ends the latest incarnation where only the departure of the former one is known", func(f *smallFleet) {
			gomega.Expect(f.withdrawAt(1, "s-1")).To(gomega.BeTrue())
			withdrawWhereOutdated(0, 1)(f)
		}, gone},
		{"ends the latest incarnation, also at a follower that still knows the former one", withdrawWhereOutdated(1, 2), gone},
		{"ends the latest incarnation, also at a leader that still knows the former one", withdrawWhereOutdated(0, 1), gone},
		{"ends the latest incarnation, also at the third host", withdrawWhereOutdated(2, 0), gone},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(0, announcement("s-1", 1, 1))
			c.steps(f)
			f.run(300 * identifier.Millisecond)
			for i := range 3 {
				gomega.Expect(f.backends(i)).To(gomega.Equal(c.servers))
			}
		})
	}
})

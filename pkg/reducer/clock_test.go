package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Guards against announcements that seem older the longer two processes run, since their clocks drift apart.
var _ = ginkgo.Describe("a server announced to a host whose clock drifts", func() {
	for _, c := range []struct {
		name string
		// drift is by how much the clock of the host that relays the announcements is slow, in microseconds a second.
		drift identifier.Micros
	}{
		{"is present without a drift", 0},
		{"is present where the clock is slow", 200},
		{"is present where the clock is fast", -200},
	} {
		ginkgo.It(c.name, func() {
			p := newHostPair()
			announced := leaser.Announcement{
				Server: "s-1", Incarnation: 1, Sequence: 1, Service: "desk", Domain: "fd-2", State: leaser.Serving,
			}
			leases := leaser.New(identifier.Second)
			leases.Receive(p.now, announced)
			renewal, _ := leases.Renewal("s-1")
			// Only the stamps of a host's messages tell its clock.
			relay := func(e reducer.Event) {
				if r, ok := e.(reducer.RenewalsRelayed); ok {
					r.Stamp.Sent = r.Stamp.Sent.Add(-c.drift * identifier.Micros(p.now) / identifier.Second)
					e = r
				}
				p.reduce("h-2", e)
			}
			p.reduce("h-1", reducer.ServerAnnounced{Announcement: announced})
			for n := range identifier.Sequence(3 * 3600 * 2) {
				p.now = p.now.Add(500 * identifier.Millisecond)
				renewal.Sequence = n + 2
				relay(reducer.RenewalsRelayed{From: "h-1", Stamp: reducer.Stamp{Sent: p.now}, Renewals: []reducer.AgedRenewal{{Renewal: renewal}}})
				p.reduce("h-2", reducer.Woken{})
				gomega.Expect(p.views["h-2"].Servers).To(gomega.HaveKey(identifier.ServerID("s-1")), "after %v", p.now)
			}
		})
	}
})

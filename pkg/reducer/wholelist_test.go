package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// fleetWithRestartedControlHost returns a fleet with one server, whose list the first control host has held since it
// restarted: a list from the fleet's first instant counts as held by everyone.
func fleetWithRestartedControlHost() *smallFleet {
	f := newSmallFleet()
	f.stop(controlName(0), false)
	f.start(controlName(0))
	f.run(5 * identifier.Second)
	f.announce(0, announcement("s-1", 1, 1))
	return f
}

// Guards against a control host that stays overloaded: hosts that wait for its whole list ask again, and each got
// another list for each time it asked.
var _ = ginkgo.Describe("the whole server list", func() {
	for _, c := range []struct {
		name string
		// asked are the times at which a host that holds no list asks for it.
		asked []identifier.Micros
		// disconnected is when the connection to the host ends; 0 if it doesn't.
		disconnected identifier.Micros
		// changed is when a subscriber is to be notified of another server; 0 if there is none.
		changed identifier.Micros
		lists   int
	}{
		{"is sent once to a host that asks again", []identifier.Micros{0, 300 * identifier.Millisecond, 600 * identifier.Millisecond, 900 * identifier.Millisecond}, 0, 0, 1},
		{"is sent again after the time in which it must have arrived", []identifier.Micros{0, 300 * identifier.Millisecond, 1100 * identifier.Millisecond, 1400 * identifier.Millisecond}, 0, 0, 2},
		{"is sent again if it may have been lost", []identifier.Micros{0, 300 * identifier.Millisecond, 600 * identifier.Millisecond}, 200 * identifier.Millisecond, 0, 2},
		{"isn't repeated by a change meanwhile", []identifier.Micros{0, 300 * identifier.Millisecond}, 0, 350 * identifier.Millisecond, 1},
	} {
		ginkgo.It(c.name, func() {
			f := fleetWithRestartedControlHost()
			asking := identifier.HostID("10.0.0.9:70")
			lists := 0
			f.onEffect = func(_ identifier.HostID, e reducer.Effect) {
				if send, ok := e.(reducer.Send); ok && send.To == asking {
					if sent, ok := send.Event.(reducer.ServerListSent); ok && sent.Complete {
						lists++
						gomega.Expect(sent.Servers).NotTo(gomega.BeEmpty())
					}
				}
			}
			for _, at := range c.asked {
				f.schedule(f.now.Add(at), func() {
					f.reduce(controlName(0), reducer.ServerListRequested{Host: asking, Domain: domain(0), Subscribes: c.changed > 0})
				})
			}
			if c.disconnected > 0 {
				f.schedule(f.now.Add(c.disconnected), func() { f.reduce(controlName(0), reducer.PeerDisconnected{Host: asking}) })
			}
			if c.changed > 0 {
				f.schedule(f.now.Add(c.changed), func() {
					f.reduce(controlName(0), reducer.ServerAnnounced{Announcement: announcement("s-2", 1, 1)})
				})
			}
			f.run(2 * identifier.Second)
			gomega.Expect(lists).To(gomega.Equal(c.lists))
		})
	}

	ginkgo.It("is sent once to a host that begins to subscribe, with the verdicts on degraded servers", func() {
		f := fleetWithRestartedControlHost()
		lists := map[identifier.HostID]int{}
		f.onReceive = func(id identifier.HostID, e reducer.Event) {
			if sent, ok := e.(reducer.ServerListSent); ok && id == entryName(0) && sent.Complete {
				lists[sent.From]++
			}
		}
		f.stop(entryName(0), false)
		f.start(entryName(0))
		f.run(2 * identifier.Second)
		gomega.Expect(lists).To(gomega.HaveKeyWithValue(controlName(0), 1))
	})
})

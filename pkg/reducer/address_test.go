package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// keepAnnouncing announces a server at one control host after the other, once a second, until the
// returned function is called.
func (f *smallFleet) keepAnnouncing(a leaser.Announcement) (stop func()) {
	stopped := false
	var next func()
	next = func() {
		if stopped {
			return
		}
		f.ticket++
		f.reduce(controlName(int(a.Sequence)%3), reducer.ServerAnnounced{Ticket: f.ticket, Announcement: a})
		a.Sequence++
		f.schedule(f.now.Add(identifier.Second), next)
	}
	next()
	return func() { stopped = true }
}

// listed returns the announcement with which an entry host lists a server, and whether the server is listed and
// not silent.
func (f *smallFleet) listed(i int, id identifier.ServerID) (leaser.Announcement, bool) {
	if fleet := f.hosts[entryName(i)].view.Fleet; fleet != nil {
		for _, backends := range fleet.Backends {
			for _, b := range backends {
				if b.Server == id {
					return b.Announcement, !b.Silent
				}
			}
		}
	}
	return leaser.Announcement{}, false
}

// A server that announces itself must not be moved, ended or hidden by announcements that it hasn't sent.
var _ = ginkgo.Describe("another writer's announcement", func() {
	// change returns the announcement of the server s-1 with some fields changed.
	change := func(edit func(a *leaser.Announcement)) leaser.Announcement {
		a := announcement("s-1", 3, 1)
		edit(&a)
		return a
	}
	writers := []struct {
		name         string
		announcement leaser.Announcement
	}{
		{"at its address, for an unknown service, with a later start", change(func(a *leaser.Announcement) {
			a.Server, a.Service, a.Incarnation = "w-1", "watch", 9
		})},
		{"at its address, for an unknown service, without a start", change(func(a *leaser.Announcement) {
			a.Server, a.Service, a.Incarnation = "w-1", "watch", 0
		})},
		{"at its address, for another known service, with a later start", change(func(a *leaser.Announcement) {
			a.Server, a.Service, a.Incarnation = "w-1", "hall", 9
		})},
		{"at its address, for another known service, without a start", change(func(a *leaser.Announcement) {
			a.Server, a.Service, a.Incarnation = "w-1", "hall", 0
		})},
		{"at its address, for its own service, with a later start", change(func(a *leaser.Announcement) {
			a.Server, a.Incarnation = "w-1", 9
		})},
		{"at its address, draining", change(func(a *leaser.Announcement) {
			a.Server, a.Incarnation, a.State = "w-1", 9, leaser.Draining
		})},
		{"under its ID, for an unknown service", change(func(a *leaser.Announcement) {
			a.Service, a.Sequence = "watch", 1e6
		})},
		{"under its ID, for an unknown service, with a later start", change(func(a *leaser.Announcement) {
			a.Service, a.Incarnation = "watch", 9
		})},
		{"under its ID, for an unknown service, draining", change(func(a *leaser.Announcement) {
			a.Service, a.Sequence, a.State = "watch", 1e6, leaser.Draining
		})},
		{"under its ID, without a start", change(func(a *leaser.Announcement) {
			a.Incarnation, a.Sequence, a.Address = 0, 1e6, "10.9.9.9:1"
		})},
		{"under its ID, with another address", change(func(a *leaser.Announcement) {
			a.Sequence, a.Address = 1e6, "10.9.9.9:1"
		})},
		{"under its ID, with another known service", change(func(a *leaser.Announcement) {
			a.Sequence, a.Service = 1e6, "hall"
		})},
	}
	doses := []struct {
		name string
		// announce sends the writer's announcement while the server announces itself.
		announce func(f *smallFleet, a leaser.Announcement)
	}{
		{"once", func(f *smallFleet, a leaser.Announcement) { f.announce(1, a) }},
		{"at all control hosts", func(f *smallFleet, a leaser.Announcement) {
			for i := range 3 {
				f.announce(i, a)
			}
		}},
		{"again and again", func(f *smallFleet, a leaser.Announcement) { f.keepAnnouncing(a) }},
		{"when all hosts restart", func(f *smallFleet, a leaser.Announcement) {
			f.announce(1, a)
			f.run(3 * identifier.Second)
			f.restart(0, 1, 2)
		}},
	}
	for _, w := range writers {
		for _, d := range doses {
			ginkgo.It("leaves a live server as it is: "+w.name+", "+d.name, func() {
				f := newSmallFleet()
				f.declare(0, declarationSource(1, "desk,hall"))
				f.keepAnnouncing(announcement("s-1", 3, 1))
				f.run(4 * identifier.Second)
				d.announce(f, w.announcement)
				for range 100 {
					f.run(100 * identifier.Millisecond)
					for i := range 3 {
						a, used := f.listed(i, "s-1")
						gomega.Expect(used).To(gomega.BeTrue())
						gomega.Expect(a.SameForRouting(announcement("s-1", 3, 1))).To(gomega.BeTrue())
					}
				}
			})
		}
		ginkgo.It("doesn't keep a server out that starts after it: "+w.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk,hall"))
			f.announce(1, w.announcement)
			f.keepAnnouncing(announcement("s-1", 3, 2))
			// The lease of the writer's announcement ends at most four intervals after it.
			f.run(5 * identifier.Second)
			for range 50 {
				f.run(100 * identifier.Millisecond)
				a, used := f.listed(0, "s-1")
				gomega.Expect(used).To(gomega.BeTrue())
				gomega.Expect(a.Address).To(gomega.Equal(announcement("s-1", 3, 1).Address))
				gomega.Expect(a.Service).To(gomega.Equal(announcement("s-1", 3, 1).Service))
			}
		})
	}
})

var _ = ginkgo.Describe("an address that goes to another server", func() {
	other := func(service identifier.ServiceID, incarnation identifier.Incarnation) leaser.Announcement {
		a := announcement("t-1", incarnation, 1)
		a.Service = service
		return a
	}
	for _, c := range []struct {
		name string
		// ended is how long the server that had the address has ended when the other one starts.
		ended identifier.Micros
		other leaser.Announcement
		// within is how long both may be listed.
		within identifier.Micros
	}{
		{"is the other one's at once, 2 s after the end", 2 * identifier.Second, other("hall", 9), 100 * identifier.Millisecond},
		{"is the other one's at once, 2 s after the end, without a start", 2 * identifier.Second, other("hall", 3), 100 * identifier.Millisecond},
		{"is the other one's at once in the same service", 2 * identifier.Second, other("desk", 9), 100 * identifier.Millisecond},
		{"is the other one's after two intervals, if it starts at once", 0, other("hall", 9), 2100 * identifier.Millisecond},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk,hall"))
			stop := f.keepAnnouncing(announcement("s-1", 3, 1))
			f.run(4*identifier.Second + identifier.Millisecond)
			stop()
			f.run(c.ended)
			f.keepAnnouncing(c.other)
			f.run(50 * identifier.Millisecond)
			for i := range 3 {
				_, used := f.listed(i, "t-1")
				gomega.Expect(used).To(gomega.BeTrue())
			}
			f.run(c.within - 50*identifier.Millisecond)
			for range 20 {
				for i := range 3 {
					_, listed := f.listed(i, "s-1")
					gomega.Expect(listed).To(gomega.BeFalse())
				}
				f.run(300 * identifier.Millisecond)
				// Announcements from before the end arrive late.
				f.announce(0, announcement("s-1", 3, 3))
			}
			_, used := f.listed(0, "t-1")
			gomega.Expect(used).To(gomega.BeTrue())
		})
	}

	ginkgo.It("is not the other one's while no declaration names its service", func() {
		f := newSmallFleet()
		f.declare(0, declarationSource(1, "desk"))
		stop := f.keepAnnouncing(announcement("s-1", 3, 1))
		f.run(4 * identifier.Second)
		stop()
		f.keepAnnouncing(other("hall", 9))
		f.run(8 * identifier.Second)
		gomega.Expect(f.backends(0)).To(gomega.Equal(map[identifier.ServerID]bool{"s-1": true}))
		f.declare(0, declarationSource(2, "desk,hall"))
		f.run(2 * identifier.Second)
		gomega.Expect(f.backends(0)).To(gomega.BeEmpty())
		_, used := f.listed(0, "t-1")
		gomega.Expect(used).To(gomega.BeTrue())
	})

	ginkgo.It("goes back to a server that only paused its announcements", func() {
		f := newSmallFleet()
		f.declare(0, declarationSource(1, "desk,hall"))
		stop := f.keepAnnouncing(announcement("s-1", 3, 1))
		f.run(4 * identifier.Second)
		stop()
		f.run(3 * identifier.Second)
		f.announce(1, other("hall", 9))
		gomega.Expect(f.backends(0)).To(gomega.BeEmpty())
		f.keepAnnouncing(announcement("s-1", 3, 8))
		f.run(100 * identifier.Millisecond)
		gomega.Expect(f.backends(0)).To(gomega.Equal(map[identifier.ServerID]bool{"s-1": false}))
		f.run(4 * identifier.Second)
		_, used := f.listed(0, "t-1")
		gomega.Expect(used).To(gomega.BeFalse())
	})
})

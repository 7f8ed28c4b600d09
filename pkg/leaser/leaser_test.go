package leaser_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

var _ = ginkgo.Describe("Leaser", func() {
	const term = 100 * identifier.Millisecond
	for seed := range uint64(10) {
		ginkgo.It(fmt.Sprintf("expires each lease once and in time, seed %d", seed), func() {
			r := rand.New(rand.NewPCG(seed, 0))
			l := leaser.New(term)
			expected := map[identifier.ServerID]identifier.Instant{}
			var now identifier.Instant
			for i := range 2000 {
				now = now.Add(identifier.Micros(r.IntN(10)) * identifier.Millisecond)
				var expired []identifier.ServerID
				next := identifier.Never
				for id, at := range expected {
					if at <= now {
						expired = append(expired, id)
						delete(expected, id)
						continue
					}
					next = min(next, at)
				}
				slices.Sort(expired)
				gomega.Expect(l.Expire(now)).To(gomega.Equal(expired))
				gomega.Expect(l.NextExpiry()).To(gomega.Equal(next))
				id := identifier.ServerID(fmt.Sprintf("s-%d", r.IntN(30)))
				_, known := expected[id]
				a := leaser.Announcement{Server: id, Sequence: identifier.Sequence(i + 1)}
				gomega.Expect(l.Receive(now, a)).To(gomega.Equal(!known))
				expected[id] = now.Add(term)
				gomega.Expect(l.Expiry(id)).To(gomega.Equal(expected[id]))
			}
		})
	}

	base := leaser.Announcement{
		Server: "s-1", Incarnation: 1, Sequence: 1, Service: "desk", Domain: "fd-1", Address: "127.0.0.1:1",
		Slots: 3, Connections: 30, Holdings: []leaser.Holding{{Epoch: 1, Versions: []identifier.IndexVersion{1}}},
	}
	cases := []struct {
		name    string
		change  func(*leaser.Announcement)
		changed bool
	}{
		{"nothing", func(*leaser.Announcement) {}, false},
		{"load", func(a *leaser.Announcement) { a.Load = 9 }, false},
		{"incarnation", func(a *leaser.Announcement) { a.Incarnation = 2 }, true},
		{"service", func(a *leaser.Announcement) { a.Service = "other" }, true},
		{"domain", func(a *leaser.Announcement) { a.Domain = "fd-2" }, true},
		{"address", func(a *leaser.Announcement) { a.Address = "127.0.0.1:2" }, true},
		{"slots", func(a *leaser.Announcement) { a.Slots = 4 }, true},
		{"connections", func(a *leaser.Announcement) { a.Connections = 4 }, true},
		{"state", func(a *leaser.Announcement) { a.State = leaser.Draining }, true},
		{"no holding", func(a *leaser.Announcement) { a.Holdings = nil }, true},
		{"epoch", func(a *leaser.Announcement) { a.Holdings[0].Epoch = 2 }, true},
		{"range", func(a *leaser.Announcement) { a.Holdings[0].Range.To = 2 }, true},
		{"versions", func(a *leaser.Announcement) { a.Holdings[0].Versions = []identifier.IndexVersion{1, 2} }, true},
	}
	for _, c := range cases {
		ginkgo.It("reports whether routing depends on a change of "+c.name, func() {
			l := leaser.New(term)
			l.Receive(0, base)
			a := base
			a.Sequence++
			a.Holdings = slices.Clone(base.Holdings)
			c.change(&a)
			gomega.Expect(l.Receive(0, a)).To(gomega.Equal(c.changed))
		})
	}
})

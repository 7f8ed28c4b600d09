package chooser_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("a server of the own failure domain", func() {
	const (
		usual = 10 * ms
		// gap is the time between two attempts of a host on a server where many hosts share few requests.
		gap = 800 * ms
	)
	for _, c := range []struct {
		name string
		// near are the latencies of the near server, gap apart; busy is how many
		// attempts are in flight there.
		near   []identifier.Micros
		gap    identifier.Micros
		busy   int
		chosen identifier.ServerID
	}{
		{"is taken when nothing is known", nil, 0, 0, "near"},
		{"is taken with its slots in use", []identifier.Micros{usual, usual}, gap, 3, "near"},
		{"is left with work waiting for all of its slots many times over", []identifier.Micros{usual, usual}, gap, 12, "far"},
		{"is taken after one slow answer", []identifier.Micros{usual, 150 * ms}, gap, 0, "near"},
		{"is taken after one slow answer with work in flight", []identifier.Micros{usual, 150 * ms}, gap, 1, "near"},
		{"is taken after one slow answer since long ago", []identifier.Micros{usual, 150 * ms}, 5 * gap, 1, "near"},
		{"is taken after two pauses", []identifier.Micros{usual, 150 * ms, usual, usual, usual, 150 * ms}, gap, 1, "near"},
		{"is taken when its first answer was slow", []identifier.Micros{150 * ms}, gap, 0, "near"},
		{"is left when it stays slow", []identifier.Micros{80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms}, gap, 0, "far"},
	} {
		ginkgo.It(c.name, func() {
			x := chooser.New()
			candidates := []chooser.Candidate{
				{Server: "near", Slots: 3}, {Server: "far", Slots: 3, Detour: 25 * ms},
			}
			// The greatest draw neither holds a cold server back nor breaks a tie.
			greatest := func(n int) int { return n - 1 }
			var now identifier.Instant
			choose := func() identifier.ServerID {
				id, ok := x.Choose(now, candidates, greatest)
				gomega.Expect(ok).To(gomega.BeTrue())
				return id
			}
			choose()
			x.ServeAmong(now, "far", usual, usual)
			for _, latency := range c.near {
				now = now.Add(c.gap)
				x.ServeAmong(now, "near", latency, usual)
			}
			for range c.busy {
				x.Begin("near", identifier.Urgent)
			}
			gomega.Expect(choose()).To(gomega.Equal(c.chosen))
		})
	}

	ginkgo.It("is taken again some time after its only answer was slow", func() {
		x := chooser.New()
		candidates := []chooser.Candidate{{Server: "near", Slots: 3}, {Server: "far", Slots: 3, Detour: 25 * ms}}
		choose := func(now identifier.Instant) identifier.ServerID {
			id, _ := x.Choose(now, candidates, func(n int) int { return n - 1 })
			return id
		}
		choose(0)
		x.Serve(0, "near", 150*ms)
		var now identifier.Instant
		for range 40 {
			now = now.Add(gap)
			x.ServeAmong(now, "far", usual, usual)
		}
		gomega.Expect(choose(now)).To(gomega.Equal(identifier.ServerID("near")))
	})
})

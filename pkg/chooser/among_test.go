package chooser_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("a server of the own failure domain", func() {
	const usual = 10 * ms
	for _, c := range []struct {
		name string
		// near are the latencies of the near server, one each 800 ms; busy is how many
		// attempts are in flight there.
		near   []identifier.Micros
		busy   int
		chosen identifier.ServerID
	}{
		{"is taken when nothing is known", nil, 0, "near"},
		{"is taken with its slots in use", []identifier.Micros{usual, usual}, 3, "near"},
		{"is left with work waiting for all of its slots many times over", []identifier.Micros{usual, usual}, 12, "far"},
		{"is taken after one slow answer", []identifier.Micros{usual, 150 * ms}, 0, "near"},
		{"is taken when its first answer was slow", []identifier.Micros{150 * ms}, 0, "near"},
		{"is left when it stays slow", []identifier.Micros{80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms, 80 * ms}, 0, "far"},
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
				now = now.Add(800 * ms)
				x.ServeAmong(now, "near", latency, usual)
			}
			for range c.busy {
				x.Begin("near", identifier.Urgent)
			}
			gomega.Expect(choose()).To(gomega.Equal(c.chosen))
		})
	}
})

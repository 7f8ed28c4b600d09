package limiter_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/limiter"
)

var _ = ginkgo.Describe("limit", func() {
	const step = identifier.Instant(limiter.GrowthInterval)
	type look struct {
		at     identifier.Instant
		limit  int
		extra  int
		growth identifier.Instant
	}
	cases := []struct {
		name  string
		lower func(*limiter.Limiter)
		looks []look
	}{
		{"is the slots at first", func(*limiter.Limiter) {}, []look{{0, 3, 1, identifier.Never}}},
		{"is one after a takeover, then grows", func(l *limiter.Limiter) { l.Restrict(5 * step) }, []look{
			{0, 1, 0, 6 * step}, {6*step - 1, 1, 0, 6 * step}, {6 * step, 2, 0, 7 * step}, {7 * step, 3, 1, identifier.Never},
		}},
		{"falls to what still runs when the server sheds", func(l *limiter.Limiter) { l.Shed(step, 2) }, []look{
			{step, 2, 0, 2 * step}, {2 * step, 3, 0, identifier.Never}, {101 * step, 3, 1, identifier.Never},
		}},
		{"is at least one", func(l *limiter.Limiter) { l.Shed(0, 0) }, []look{{0, 1, 0, step}}},
		{"does not grow during a takeover when the server sheds", func(l *limiter.Limiter) {
			l.Restrict(5 * step)
			l.Shed(step, 1)
		}, []look{{4 * step, 1, 0, 6 * step}}},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			l := limiter.New()
			c.lower(l)
			for _, k := range c.looks {
				gomega.Expect(l.Limit(k.at, 3)).To(gomega.Equal(k.limit))
				gomega.Expect(l.Extra(k.at)).To(gomega.Equal(k.extra))
				gomega.Expect(l.NextGrowth(k.at)).To(gomega.Equal(k.growth))
			}
		})
	}
})

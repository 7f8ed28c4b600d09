package limiter_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/limiter"
)

var _ = ginkgo.Describe("limit", func() {
	const interval = identifier.Instant(limiter.GrowthInterval)
	type state struct {
		at         identifier.Instant
		limit      int
		extra      int
		nextGrowth identifier.Instant
	}
	cases := []struct {
		name   string
		lower  func(*limiter.Limiter)
		states []state
	}{
		{"is the number of slots at first", func(*limiter.Limiter) {}, []state{{0, 3, 1, identifier.Never}}},
		{"is one after a takeover, then grows", func(l *limiter.Limiter) { l.Restrict(5 * interval) }, []state{
			{0, 1, 0, 6 * interval}, {6*interval - 1, 1, 0, 6 * interval}, {6 * interval, 2, 0, 7 * interval}, {7 * interval, 3, 1, identifier.Never},
		}},
		{"falls to the calls in flight when the server sheds", func(l *limiter.Limiter) { l.RecordShed(interval, 2) }, []state{
			{interval, 2, 0, 2 * interval}, {2 * interval, 3, 0, identifier.Never}, {101 * interval, 3, 1, identifier.Never},
		}},
		{"is at least one", func(l *limiter.Limiter) { l.RecordShed(0, 0) }, []state{{0, 1, 0, interval}}},
		{"does not grow during a takeover when the server sheds", func(l *limiter.Limiter) {
			l.Restrict(5 * interval)
			l.RecordShed(interval, 1)
		}, []state{{4 * interval, 1, 0, 6 * interval}}},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			l := limiter.New()
			c.lower(l)
			for _, s := range c.states {
				gomega.Expect(l.Limit(s.at, 3)).To(gomega.Equal(s.limit))
				gomega.Expect(l.ExtraCalls(s.at)).To(gomega.Equal(s.extra))
				gomega.Expect(l.NextGrowth(s.at)).To(gomega.Equal(s.nextGrowth))
			}
		})
	}
})

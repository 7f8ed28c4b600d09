package estimator_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("estimate", func() {
	const ms = identifier.Millisecond
	floors := [identifier.RankCount]identifier.Ratio{0.5, 0.1, 0.1}
	cases := []struct {
		name string
		// calls is the number of calls of 10 ms by rank within the first window.
		calls   [identifier.RankCount]int
		backlog [identifier.RankCount]int
		steps   [identifier.RankCount]identifier.Micros
	}{
		{"gives each rank all slots of an idle server", [3]int{0, 0, 0}, [3]int{}, [3]identifier.Micros{2500, 2500, 2500}},
		{"gives less urgent ranks the share that urgent jobs do not use", [3]int{20, 0, 0}, [3]int{}, [3]identifier.Micros{5000, 10000, 10000}},
		{"gives less urgent ranks their floors in a flood of urgent jobs", [3]int{40, 1, 1}, [3]int{4, 5, 6}, [3]identifier.Micros{5250, 50000, 50000}},
		{"counts no slot as free while jobs wait", [3]int{18, 1, 1}, [3]int{4, 5, 6}, [3]identifier.Micros{5555, 50000, 50000}},
		{"counts a flood of deferrable jobs only up to its floor for more urgent ranks", [3]int{0, 0, 40}, [3]int{0, 0, 6}, [3]identifier.Micros{5555, 5555, 5000}},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			e := estimator.New()
			end := identifier.Instant(0).Add(estimator.Window) - 1
			for r, count := range c.calls {
				for range count {
					e.RecordCall(end, identifier.Rank(r), 10*ms, true)
				}
			}
			estimate := e.Estimate(end, 2, c.backlog, floors)
			for r, step := range c.steps {
				gomega.Expect(float64(estimate.Step[r])).To(gomega.BeNumerically("~", float64(step), float64(step)/100))
			}
			gomega.Expect(estimate.Wait(1, 2)).To(gomega.Equal(identifier.Micros(c.backlog[1]+2) * estimate.Step[1]))
		})
	}

	ginkgo.It("does not count a cancelled call as fast", func() {
		e := estimator.New()
		e.RecordCall(0, identifier.Urgent, 10*ms, true)
		e.RecordCall(0, identifier.Urgent, 1*ms, false)
		gomega.Expect(e.Estimate(0, 1, [3]int{}, floors).Service).To(gomega.Equal(10 * ms))
		e.RecordCall(0, identifier.Urgent, 26*ms, false)
		gomega.Expect(e.Estimate(0, 1, [3]int{}, floors).Service).To(gomega.Equal(11 * ms))
	})
})

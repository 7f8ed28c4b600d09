package throttler_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/throttler"
)

var _ = ginkgo.Describe("a throttler that is refilled over time", func() {
	for _, c := range []struct {
		name   string
		refill []float64
		limit  float64
		spent  uint64
	}{
		{"holds the refilled tokens", []float64{0.5, 0.5, 2}, 10, 3},
		{"holds no more tokens than its burst", []float64{50}, 10, 10},
		{"discards tokens above a lower burst", []float64{8}, 3, 3},
	} {
		ginkgo.It(c.name, func() {
			t := throttler.New(10, 0)
			for _, tokens := range c.refill {
				t.Refill(tokens)
			}
			t.SetBurst(c.limit)
			for t.Spend() {
			}
			gomega.Expect(t.Spent()).To(gomega.Equal(c.spent))
			gomega.Expect(t.WithinBudget()).To(gomega.BeTrue())
		})
	}
})

package throttler_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/throttler"
)

var _ = ginkgo.Describe("a throttler", func() {
	for _, c := range []struct {
		name           string
		burst, reserve float64
		firstAttempts  int
		share          identifier.Ratio
		spent          uint64
	}{
		{"has no tokens at first", 10, 0, 0, 0.05, 0},
		{"earns a token for every twenty first attempts", 10, 0, 60, 0.05, 3},
		{"holds no more tokens than its burst", 10, 0, 10000, 0.05, 10},
		{"can spend its reserve", 10, 4, 0, 0.05, 4},
		{"earns nothing without a share", 10, 0, 1000, 0, 0},
	} {
		ginkgo.It(c.name, func() {
			t := throttler.New(c.burst, c.reserve)
			for range c.firstAttempts {
				t.Earn(c.share)
			}
			for range 100 {
				t.Spend()
			}
			gomega.Expect(t.Spent()).To(gomega.Equal(c.spent))
			gomega.Expect(t.WithinBudget()).To(gomega.BeTrue())
		})
	}
})

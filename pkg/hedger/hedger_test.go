package hedger_test

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	ms     = identifier.Millisecond
	budget = identifier.Ratio(0.05)
)

// phase is a series of attempts on a service.
type phase struct {
	attempts int
	// mean is the mean of the exponential latencies.
	mean identifier.Micros
	// slowShare is the share of attempts that take ten times as long.
	slowShare    float64
	refusedShare float64
}

var _ = ginkgo.Describe("a hedger", func() {
	for _, c := range []struct {
		name       string
		phases     []phase
		overloaded bool
		// minDelay and maxDelay are the limits of the delay.
		minDelay, maxDelay identifier.Micros
	}{
		{"uses the default delay without samples", nil, false, hedger.DefaultDelay, hedger.DefaultDelay},
		{"waits for a high quantile", []phase{{5000, 6 * ms, 0, 0}}, false, 18 * ms, 30 * ms},
		{"limits the effect of slow servers on the delay", []phase{{5000, 6 * ms, 0.3, 0}}, false, 18 * ms, 50 * ms},
		{"reports a slow service as overloaded", []phase{{5000, 6 * ms, 0, 0}, {1000, 60 * ms, 0, 0}}, true, 100 * ms, 400 * ms},
		{"reports a service that refuses attempts as overloaded", []phase{{5000, 6 * ms, 0, 0.2}}, true, 18 * ms, 30 * ms},
		{"no longer reports an overload that has ended", []phase{{5000, 6 * ms, 0, 0}, {1000, 60 * ms, 0, 0.3}, {2000, 6 * ms, 0, 0}}, false, 18 * ms, 40 * ms},
	} {
		ginkgo.It(c.name, func() {
			random := rand.New(rand.NewPCG(1, 0))
			h := hedger.New()
			for _, p := range c.phases {
				for range p.attempts {
					h.Earn(budget)
					if random.Float64() < p.refusedShare {
						h.RecordRefusal()
						continue
					}
					latency := identifier.Micros(random.ExpFloat64() * float64(p.mean))
					if random.Float64() < p.slowShare {
						latency *= 10
					}
					h.Observe(identifier.Urgent, latency)
				}
			}
			delay, ok := h.Delay(identifier.Urgent, budget)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(delay).To(gomega.And(gomega.BeNumerically(">=", c.minDelay), gomega.BeNumerically("<=", c.maxDelay)))
			gomega.Expect(h.Overloaded(identifier.Urgent)).To(gomega.Equal(c.overloaded))
			gomega.Expect(h.Spend(identifier.Urgent)).To(gomega.Equal(len(c.phases) > 0 && !c.overloaded))
			gomega.Expect(h.WithinBudget()).To(gomega.BeTrue())
		})
	}

	ginkgo.It("returns no delay without a budget", func() {
		_, ok := hedger.New().Delay(identifier.Urgent, 0)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

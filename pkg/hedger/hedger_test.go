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

// phase is a stretch of attempts on a service.
type phase struct {
	attempts int
	// mean is the mean of the exponential latencies.
	mean identifier.Micros
	// slow is the share of attempts that take ten times as long.
	slow float64
	// refused is the share of attempts that are refused.
	refused float64
}

var _ = ginkgo.Describe("a hedger", func() {
	for _, c := range []struct {
		name       string
		phases     []phase
		overloaded bool
		// least and most bound the delay.
		least, most identifier.Micros
	}{
		{"waits for long while it knows little", nil, false, hedger.UnknownDelay, hedger.UnknownDelay},
		{"waits for a high quantile", []phase{{5000, 6 * ms, 0, 0}}, false, 18 * ms, 30 * ms},
		{"is not misled by slow servers", []phase{{5000, 6 * ms, 0.3, 0}}, false, 18 * ms, 50 * ms},
		{"sees a slow service as overloaded", []phase{{5000, 6 * ms, 0, 0}, {1000, 60 * ms, 0, 0}}, true, 100 * ms, 400 * ms},
		{"sees refusals as overload", []phase{{5000, 6 * ms, 0, 0.2}}, true, 18 * ms, 30 * ms},
		{"forgets an overload", []phase{{5000, 6 * ms, 0, 0}, {1000, 60 * ms, 0, 0.3}, {2000, 6 * ms, 0, 0}}, false, 18 * ms, 40 * ms},
	} {
		ginkgo.It(c.name, func() {
			random := rand.New(rand.NewPCG(1, 0))
			h := hedger.New()
			for _, p := range c.phases {
				for range p.attempts {
					h.Need(budget)
					if random.Float64() < p.refused {
						h.Refuse()
						continue
					}
					latency := identifier.Micros(random.ExpFloat64() * float64(p.mean))
					if random.Float64() < p.slow {
						latency *= 10
					}
					h.Observe(identifier.Urgent, latency)
				}
			}
			delay, ok := h.Delay(identifier.Urgent, budget)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(delay).To(gomega.And(gomega.BeNumerically(">=", c.least), gomega.BeNumerically("<=", c.most)))
			gomega.Expect(h.Overloaded(identifier.Urgent)).To(gomega.Equal(c.overloaded))
			gomega.Expect(h.Spend(identifier.Urgent)).To(gomega.Equal(len(c.phases) > 0 && !c.overloaded))
			gomega.Expect(h.Kept()).To(gomega.BeTrue())
		})
	}

	ginkgo.It("gives no delay without a budget", func() {
		_, ok := hedger.New().Delay(identifier.Urgent, 0)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

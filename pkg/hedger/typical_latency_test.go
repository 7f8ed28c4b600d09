package hedger_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("the typical latency of a service", func() {
	for _, c := range []struct {
		name string
		// latencies are repeated up to 200 samples.
		latencies       []identifier.Micros
		median, typical identifier.Micros
	}{
		{"is unknown without samples", nil, 0, 0},
		{"is the common latency of all answers", []identifier.Micros{10 * ms}, 10 * ms, 10 * ms},
		{"excludes rare slow answers", []identifier.Micros{
			10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms,
			10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 500 * ms,
		}, 10 * ms, 10 * ms},
		{"is limited when many answers are slow", []identifier.Micros{10 * ms, 10 * ms, 10 * ms, 900 * ms}, 10 * ms, 60 * ms},
	} {
		ginkgo.It(c.name, func() {
			h := hedger.New()
			for i := 0; len(c.latencies) > 0 && i < 200; i++ {
				h.Observe(identifier.Urgent, c.latencies[i%len(c.latencies)])
			}
			median, typical := h.TypicalLatency(identifier.Urgent)
			// Each doubling of the latency has four buckets.
			gomega.Expect(float64(median)).To(gomega.BeNumerically("~", float64(c.median), 0.25*float64(c.median)))
			gomega.Expect(float64(typical)).To(gomega.BeNumerically("~", float64(c.typical), 0.25*float64(c.typical)))
		})
	}
})

package hedger_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("what is usual for a service", func() {
	for _, c := range []struct {
		name string
		// latencies are repeated until there are 200.
		latencies    []identifier.Micros
		median, high identifier.Micros
	}{
		{"is unknown at first", nil, 0, 0},
		{"is what all take", []identifier.Micros{10 * ms}, 10 * ms, 10 * ms},
		{"leaves out what few exceed", []identifier.Micros{
			10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms,
			10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 500 * ms,
		}, 10 * ms, 10 * ms},
		{"is bounded when many are slow", []identifier.Micros{10 * ms, 10 * ms, 10 * ms, 900 * ms}, 10 * ms, 60 * ms},
	} {
		ginkgo.It(c.name, func() {
			h := hedger.New()
			for i := 0; len(c.latencies) > 0 && i < 200; i++ {
				h.Observe(identifier.Urgent, c.latencies[i%len(c.latencies)])
			}
			median, high := h.Usual(identifier.Urgent)
			// Buckets are a quarter of a doubling wide.
			gomega.Expect(float64(median)).To(gomega.BeNumerically("~", float64(c.median), 0.25*float64(c.median)))
			gomega.Expect(float64(high)).To(gomega.BeNumerically("~", float64(c.high), 0.25*float64(c.high)))
		})
	}
})

package admitter_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/admitter"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("pressure", func() {
	const ms = identifier.Millisecond
	estimate := func(backlog uint32) estimator.Estimate {
		return estimator.Estimate{
			Backlog: [identifier.RankCount]uint32{backlog, 0, 0},
			Step:    [identifier.RankCount]identifier.Micros{2 * ms, 2 * ms, 2 * ms},
			Service: 5 * ms,
		}
	}
	one := []identifier.ServerID{"s-1"}
	both := []identifier.ServerID{"s-1", "s-2"}
	cases := []struct {
		name      string
		backlogs  []uint32
		submitted int
		at        identifier.Instant
		servers   []identifier.ServerID
		rank      identifier.Rank
		remaining identifier.Micros
		pressure  float64
	}{
		{"is zero without an estimate", nil, 3, 0, one, identifier.Urgent, 100 * ms, 0},
		{"is zero without servers", []uint32{40}, 0, 0, nil, identifier.Urgent, 100 * ms, 0},
		{"is zero for a rank without waiting jobs", []uint32{40}, 0, 0, one, identifier.Standard, 100 * ms, 0},
		{"is the expected wait as a share of the time available for it", []uint32{20}, 0, 0, one, identifier.Urgent, 100 * ms, 0.5},
		{"includes jobs submitted since the estimate", []uint32{20}, 20, 0, one, identifier.Urgent, 100 * ms, 1},
		{"is that of the server with the lowest one", []uint32{80, 10}, 0, 0, both, identifier.Urgent, 100 * ms, 0.25},
		{"is zero when the estimate has expired", []uint32{80}, 0, identifier.Instant(admitter.EstimateLifetime) + 1, one, identifier.Urgent, 100 * ms, 0},
		{"is limited while few jobs wait", []uint32{2}, 0, 0, one, identifier.Urgent, 25 * ms, 0.4 * 2 / 6},
		{"is not limited when few jobs wait too long", []uint32{4}, 0, 0, one, identifier.Urgent, 28 * ms, 1},
		{"is high when the queue is nearly full", []uint32{90}, 0, 0, one, identifier.Urgent, 100000 * ms, 0.9},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			a := admitter.New(100)
			for i, backlog := range c.backlogs {
				a.UpdateEstimate(0, both[i], estimate(backlog))
			}
			for range c.submitted {
				a.RecordSubmission("s-1", identifier.Urgent)
			}
			gomega.Expect(a.Pressure(c.at, c.servers, c.rank, c.remaining)).To(gomega.BeNumerically("~", c.pressure, 1e-9))
		})
	}

	ginkgo.It("reports a server as flooded when several jobs wait that an attempt may delay", func() {
		a := admitter.New(100)
		a.UpdateEstimate(0, "s-1", estimate(3))
		a.UpdateEstimate(0, "s-2", estimate(4))
		gomega.Expect(a.Flooded(0, "s-1", identifier.Standard)).To(gomega.BeFalse())
		gomega.Expect(a.Flooded(0, "s-2", identifier.Standard)).To(gomega.BeTrue())
		a.UpdateEstimate(0, "s-3", estimator.Estimate{Backlog: [identifier.RankCount]uint32{0, 0, 9}, Service: 1})
		gomega.Expect(a.Flooded(0, "s-3", identifier.Urgent)).To(gomega.BeFalse())
		gomega.Expect(a.Flooded(0, "s-3", identifier.Deferrable)).To(gomega.BeTrue())
		gomega.Expect(a.Flooded(identifier.Instant(admitter.EstimateLifetime)+1, "s-2", identifier.Standard)).To(gomega.BeFalse())
	})

	ginkgo.It("raises the probability of a refusal linearly", func() {
		for _, c := range []struct{ pressure, probability float64 }{{0, 0}, {0.1, 0}, {0.25, 0.5}, {0.4, 1}, {7, 1}} {
			gomega.Expect(admitter.RefusalProbability(c.pressure)).To(gomega.BeNumerically("~", c.probability, 1e-9))
		}
	})
})

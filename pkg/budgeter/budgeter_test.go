package budgeter_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func TestBudgeter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "budgeter")
}

func ExampleBurnRate() {
	b := budgeter.New(0)
	desk := budgeter.Series{Customer: "desk", Rank: identifier.Urgent}
	objective := budgeter.Objective{Target: 100 * identifier.Millisecond, Share: 0.5}
	for _, v := range []budgeter.Verdict{budgeter.Good, budgeter.Late, budgeter.Good, budgeter.Good} {
		b.Add(0, desk, objective, v)
	}
	t := b.Histories()[0].Sum(0, identifier.Instant(identifier.Minute))
	burn, ok := budgeter.BurnRate(t.Bad(), t.Total, objective.Share)
	fmt.Println(burn, ok)
	// Output: 0.5 true
}

var _ = ginkgo.Describe("Burn", func() {
	cases := []struct {
		name       string
		bad, total uint64
		objective  identifier.Ratio
		burn       identifier.Ratio
		known      bool
	}{
		{"no queries", 0, 0, 0.99, 0, false},
		{"no error budget", 1, 2, 1, 0, false},
		{"only good queries", 0, 10, 0.9, 0, true},
		{"the share of bad queries that is allowed", 5, 10, 0.5, 1, true},
		{"only bad queries", 10, 10, 0.75, 4, true},
	}
	for _, c := range cases {
		ginkgo.It("returns the burn rate for "+c.name, func() {
			burn, known := budgeter.BurnRate(c.bad, c.total, c.objective)
			gomega.Expect(known).To(gomega.Equal(c.known))
			gomega.Expect(burn).To(gomega.Equal(c.burn))
		})
	}
})

var _ = ginkgo.Describe("Book", func() {
	ginkgo.It("keeps only the newest buckets, up to its limit", func() {
		b := budgeter.New(0)
		for i := range budgeter.MaxBuckets + 10 {
			at := identifier.Instant(i) * identifier.Instant(budgeter.BucketDuration)
			b.Add(at, budgeter.Series{Customer: "desk"}, budgeter.Objective{}, budgeter.Good)
		}
		buckets := b.Histories()[0].Buckets
		gomega.Expect(buckets).To(gomega.HaveLen(budgeter.MaxBuckets))
		gomega.Expect(buckets[0].Start).To(gomega.Equal(10 * identifier.Instant(budgeter.BucketDuration)))
	})
})

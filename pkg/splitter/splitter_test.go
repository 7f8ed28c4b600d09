package splitter_test

import (
	"math"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/splitter"
)

var _ = ginkgo.Describe("a splitter", func() {
	for _, c := range []struct {
		name    string
		weights []declarer.Weight
	}{
		{"with one target", []declarer.Weight{3}},
		{"with even weights", []declarer.Weight{1, 1, 1}},
		{"with uneven weights", []declarer.Weight{9, 1}},
		{"with a weight of 0", []declarer.Weight{0, 2, 3}},
		{"with fractions", []declarer.Weight{0.85, 0.1, 0.05}},
	} {
		ginkgo.It(c.name+" keeps each target within one request of its share at every step", func() {
			var targets []declarer.Target
			sum := 0.0
			for i, w := range c.weights {
				targets = append(targets, declarer.Target{Service: identifier.ServiceID(rune('a' + i)), Weight: w})
				sum += float64(w)
			}
			s := splitter.New(targets)
			counts := map[identifier.ServiceID]float64{}
			for n := 1.0; n <= 500; n++ {
				counts[s.Next()]++
				for _, t := range targets {
					share := n * float64(t.Weight) / sum
					gomega.Expect(math.Abs(counts[t.Service] - share)).To(gomega.BeNumerically("<=", 1.0001))
				}
			}
		})
	}

	ginkgo.It("reports whether it was created for the same targets", func() {
		s := splitter.New([]declarer.Target{{Service: "a", Weight: 1}})
		gomega.Expect(s.SameTargets([]declarer.Target{{Service: "a", Weight: 1}})).To(gomega.BeTrue())
		gomega.Expect(s.SameTargets([]declarer.Target{{Service: "a", Weight: 2}})).To(gomega.BeFalse())
	})
})

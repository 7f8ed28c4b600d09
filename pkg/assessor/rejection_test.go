package assessor_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("estimated rejections", func() {
	const interval = 100 * identifier.Millisecond
	repeat := func(count int, t assessor.Tally) []assessor.Tally {
		var tallies []assessor.Tally
		for range count {
			tallies = append(tallies, t)
		}
		return tallies
	}
	half, accepted := assessor.Tally{Accepted: 2, Rejected: 2}, assessor.Tally{Accepted: 2}
	for _, c := range []struct {
		name    string
		tallies []assessor.Tally
		// minRatio and maxRatio limit the listed ratio, and changes is how often it changed.
		minRatio, maxRatio float64
		changes            int
	}{
		{"are not listed for a server that accepts all", repeat(50, accepted), 0, 0, 0},
		{"are not listed for a single rejection", append(repeat(1, assessor.Tally{Rejected: 1}), repeat(10, accepted)...), 0, 0, 0},
		{"are not listed for a few rejections among many attempts", repeat(50, assessor.Tally{Accepted: 40, Rejected: 2}), 0, 0, 0},
		{"are listed within three reports", repeat(3, half), 0.45, 0.55, 1},
		{"count good answers of hosts that saw no rejection", repeat(20, assessor.Tally{Answers: 3, Rejected: 1}), 0.2, 0.3, 1},
		{"are not listed anew while the ratio stays", repeat(50, half), 0.45, 0.55, 1},
		{"follow a ratio that rises", append(repeat(20, half), repeat(20, assessor.Tally{Rejected: 4})...), 0.85, 1, 4},
		{"end within a second after the server accepts all", append(repeat(20, half), repeat(9, accepted)...), 0, 0, 2},
		{"don't end after a few accepted attempts", append(repeat(20, half), repeat(2, accepted)...), 0.3, 0.55, 1},
	} {
		ginkgo.It(c.name, func() {
			r := assessor.NewRejections()
			ratio, changes := identifier.Ratio(0), 0
			for i, t := range c.tallies {
				var changed bool
				if ratio, changed = r.Add(identifier.Instant(0).Add(identifier.Micros(i)*interval), "s", t); changed {
					changes++
				}
			}
			gomega.Expect(float64(ratio)).To(gomega.And(gomega.BeNumerically(">=", c.minRatio), gomega.BeNumerically("<=", c.maxRatio)))
			gomega.Expect(changes).To(gomega.Equal(c.changes))
		})
	}

	// A server that gets no attempt since it rejects all would be listed forever.
	ginkgo.It("expire without measurements", func() {
		r := assessor.NewRejections()
		r.Add(0, "s", assessor.Tally{Rejected: 9})
		gomega.Expect(r.Expire(identifier.Instant(identifier.Second))).To(gomega.BeEmpty())
		gomega.Expect(r.Expire(identifier.Instant(3 * identifier.Second))).To(gomega.ConsistOf(identifier.ServerID("s")))
		gomega.Expect(r.Rejects("s")).To(gomega.BeFalse())
	})
})

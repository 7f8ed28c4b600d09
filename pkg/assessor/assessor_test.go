package assessor_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("an assessor", func() {
	const interval = 100 * identifier.Millisecond
	// repeat returns equal tallies, one for each interval.
	repeat := func(count int, t assessor.Tally) []assessor.Tally {
		tallies := make([]assessor.Tally, count)
		for i := range tallies {
			tallies[i] = t
		}
		return tallies
	}
	good, mixed := assessor.Tally{Answers: 4}, assessor.Tally{Answers: 4, Poor: 2}
	for _, c := range []struct {
		name    string
		tallies []assessor.Tally
		// degraded is the result after the last tally, and changes is how often it changed.
		degraded bool
		changes  int
	}{
		{"doesn't mark a server as degraded after good answers", repeat(50, good), false, 0},
		{"doesn't mark a server as degraded after a few poor answers", []assessor.Tally{{Answers: 3, Poor: 3}}, false, 0},
		{"doesn't mark a server as degraded after a pause", append(append(repeat(20, good), repeat(2, assessor.Tally{Answers: 4, Poor: 4})...), good), false, 0},
		{"doesn't mark a server as degraded after repeated pauses", append(append(append(append(repeat(20, good),
			repeat(2, assessor.Tally{Answers: 4, Poor: 4})...), repeat(28, good)...),
			repeat(2, assessor.Tally{Answers: 4, Poor: 4})...), good), false, 0},
		{"marks a slow server as degraded within a second", append(repeat(20, good), repeat(9, assessor.Tally{Answers: 4, Poor: 4})...), true, 1},
		{"marks a server as degraded if half of its answers are poor", append(repeat(20, good), repeat(20, mixed)...), true, 1},
		{"marks a server as degraded if it fails a quarter of its attempts", append(repeat(20, good), repeat(10, assessor.Tally{Answers: 4, Poor: 1, Failed: 1})...), true, 1},
		{"doesn't mark a server as degraded after occasional failures", repeat(40, assessor.Tally{Answers: 40, Poor: 2, Failed: 2}), false, 0},
		{"doesn't mark a server as degraded if a quarter of its answers are late", append(repeat(20, good), repeat(40, assessor.Tally{Answers: 4, Poor: 1})...), false, 0},
		{"keeps a server degraded after poor answers to probes", append(repeat(9, mixed), repeat(10, assessor.Tally{Answers: 3, Poor: 1})...), true, 1},
		{"ends the degradation after good answers to probes", append(repeat(9, mixed), repeat(3, assessor.Tally{Answers: 1})...), false, 2},
		{"doesn't end the degradation of a failing server after too few good answers to probes", append(repeat(9, assessor.Tally{Answers: 4, Poor: 2, Failed: 2}), repeat(5, assessor.Tally{Answers: 1})...), true, 1},
		{"ends the degradation of a failing server after enough good answers to probes", append(repeat(9, assessor.Tally{Answers: 4, Poor: 2, Failed: 2}), repeat(6, assessor.Tally{Answers: 1})...), false, 2},
		{"marks a server as degraded again if it is slow again", append(append(repeat(9, mixed), repeat(3, assessor.Tally{Answers: 1})...), repeat(9, mixed)...), true, 3},
	} {
		ginkgo.It(c.name, func() {
			a := assessor.New()
			degraded, changes := false, 0
			for i, t := range c.tallies {
				var changed bool
				degraded, changed = a.Add(identifier.Instant(0).Add(identifier.Micros(i)*interval), "s", t)
				if changed {
					changes++
				}
			}
			gomega.Expect(degraded).To(gomega.Equal(c.degraded))
			gomega.Expect(changes).To(gomega.Equal(c.changes))
		})
	}

	for _, c := range []struct {
		name      string
		tallies   []assessor.Tally
		hostFault bool
	}{
		{"detects a fault of a host whose servers are all poor", repeat(6, assessor.Tally{Answers: 1, Poor: 1}), true},
		{"detects no fault of a host that has few poor servers", append(repeat(6, good), mixed), false},
		{"detects no fault of a host that uses few servers", repeat(3, assessor.Tally{Answers: 1, Poor: 1}), false},
	} {
		ginkgo.It(c.name, func() {
			gomega.Expect(assessor.IndicatesHostFault(c.tallies)).To(gomega.Equal(c.hostFault))
		})
	}

	ginkgo.It("removes the tallies of a server", func() {
		a := assessor.New()
		_, changed := a.Add(0, "s", assessor.Tally{Answers: 9, Poor: 9})
		gomega.Expect(changed).To(gomega.BeTrue())
		a.Remove("s")
		degraded, _ := a.Add(0, "s", good)
		gomega.Expect(degraded).To(gomega.BeFalse())
	})
})

package assessor_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("the evidence of many hosts", func() {
	const step = 100 * identifier.Millisecond
	// steady is so many equal tallies, one for each step.
	steady := func(count int, t assessor.Tally) []assessor.Tally {
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
		// degraded is the verdict after the last tally, and changes how often it changed.
		degraded bool
		changes  int
	}{
		{"of good answers means nothing", steady(50, good), false, 0},
		{"of a few poor answers means nothing", []assessor.Tally{{Answers: 3, Poor: 3}}, false, 0},
		{"of a pause means nothing", append(append(steady(20, good), steady(2, assessor.Tally{Answers: 4, Poor: 4})...), good), false, 0},
		{"of pauses one after the other means nothing", append(append(append(append(steady(20, good),
			steady(2, assessor.Tally{Answers: 4, Poor: 4})...), steady(28, good)...),
			steady(2, assessor.Tally{Answers: 4, Poor: 4})...), good), false, 0},
		{"of a slow server shows within a second", append(steady(20, good), steady(9, assessor.Tally{Answers: 4, Poor: 4})...), true, 1},
		{"of a server that fails half of its work shows", append(steady(20, good), steady(20, mixed)...), true, 1},
		{"of a server that fails a quarter of its work shows", append(steady(20, good), steady(10, assessor.Tally{Answers: 4, Poor: 1, Failed: 1})...), true, 1},
		{"of failures now and then means nothing", steady(40, assessor.Tally{Answers: 40, Poor: 2, Failed: 2}), false, 0},
		{"of a quarter of late answers means nothing", append(steady(20, good), steady(40, assessor.Tally{Answers: 4, Poor: 1})...), false, 0},
		{"of poor answers among probes keeps the verdict", append(steady(9, mixed), steady(10, assessor.Tally{Answers: 3, Poor: 1})...), true, 1},
		{"of good probes clears the server", append(steady(9, mixed), steady(3, assessor.Tally{Answers: 1})...), false, 2},
		{"of few good probes does not clear a failing server", append(steady(9, assessor.Tally{Answers: 4, Poor: 2, Failed: 2}), steady(5, assessor.Tally{Answers: 1})...), true, 1},
		{"of many good probes clears a failing server", append(steady(9, assessor.Tally{Answers: 4, Poor: 2, Failed: 2}), steady(6, assessor.Tally{Answers: 1})...), false, 2},
		{"of a server that is slow again shows again", append(append(steady(9, mixed), steady(3, assessor.Tally{Answers: 1})...), steady(9, mixed)...), true, 3},
	} {
		ginkgo.It(c.name, func() {
			a := assessor.New()
			degraded, changes := false, 0
			for i, t := range c.tallies {
				var changed bool
				degraded, changed = a.Add(identifier.Instant(0).Add(identifier.Micros(i)*step), "s", t)
				if changed {
					changes++
				}
			}
			gomega.Expect(degraded).To(gomega.Equal(c.degraded))
			gomega.Expect(changes).To(gomega.Equal(c.changes))
		})
	}

	for _, c := range []struct {
		name    string
		tallies []assessor.Tally
		ailing  bool
	}{
		{"of a host to which all servers look poor is about the host", steady(6, assessor.Tally{Answers: 1, Poor: 1}), true},
		{"of a host to which few look poor is about them", append(steady(6, good), mixed), false},
		{"of a host with few servers is taken as it is", steady(3, assessor.Tally{Answers: 1, Poor: 1}), false},
	} {
		ginkgo.It(c.name, func() {
			gomega.Expect(assessor.Ailing(c.tallies)).To(gomega.Equal(c.ailing))
		})
	}

	ginkgo.It("is forgotten with its server", func() {
		a := assessor.New()
		_, changed := a.Add(0, "s", assessor.Tally{Answers: 9, Poor: 9})
		gomega.Expect(changed).To(gomega.BeTrue())
		a.Forget("s")
		degraded, _ := a.Add(0, "s", good)
		gomega.Expect(degraded).To(gomega.BeFalse())
	})
})

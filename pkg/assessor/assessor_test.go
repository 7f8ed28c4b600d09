package assessor_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("the tallies of many hosts", func() {
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
		{"of good answers don't mark a server as degraded", repeat(50, good), false, 0},
		{"of a few poor answers don't mark a server as degraded", []assessor.Tally{{Answers: 3, Poor: 3}}, false, 0},
		{"of a pause don't mark a server as degraded", append(append(repeat(20, good), repeat(2, assessor.Tally{Answers: 4, Poor: 4})...), good), false, 0},
		{"of repeated pauses don't mark a server as degraded", append(append(append(append(repeat(20, good),
			repeat(2, assessor.Tally{Answers: 4, Poor: 4})...), repeat(28, good)...),
			repeat(2, assessor.Tally{Answers: 4, Poor: 4})...), good), false, 0},
		{"of a slow server mark it as degraded within a second", append(repeat(20, good), repeat(9, assessor.Tally{Answers: 4, Poor: 4})...), true, 1},
		{"of a server with half of its answers poor mark it as degraded", append(repeat(20, good), repeat(20, mixed)...), true, 1},
		{"of a server that fails a quarter of its attempts mark it as degraded", append(repeat(20, good), repeat(10, assessor.Tally{Answers: 4, Poor: 1, Failed: 1})...), true, 1},
		{"of occasional failures don't mark a server as degraded", repeat(40, assessor.Tally{Answers: 40, Poor: 2, Failed: 2}), false, 0},
		{"of late answers to a quarter of the attempts don't mark a server as degraded", append(repeat(20, good), repeat(40, assessor.Tally{Answers: 4, Poor: 1})...), false, 0},
		{"of poor answers to probes keep the server degraded", append(repeat(9, mixed), repeat(10, assessor.Tally{Answers: 3, Poor: 1})...), true, 1},
		{"of good answers to probes end the degradation", append(repeat(9, mixed), repeat(3, assessor.Tally{Answers: 1})...), false, 2},
		{"of too few good answers to probes don't end the degradation of a failing server", append(repeat(9, assessor.Tally{Answers: 4, Poor: 2, Failed: 2}), repeat(5, assessor.Tally{Answers: 1})...), true, 1},
		{"of enough good answers to probes end the degradation of a failing server", append(repeat(9, assessor.Tally{Answers: 4, Poor: 2, Failed: 2}), repeat(6, assessor.Tally{Answers: 1})...), false, 2},
		{"of a server that is slow again mark it as degraded again", append(append(repeat(9, mixed), repeat(3, assessor.Tally{Answers: 1})...), repeat(9, mixed)...), true, 3},
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
		{"of a host that finds all servers poor indicate a fault of the host", repeat(6, assessor.Tally{Answers: 1, Poor: 1}), true},
		{"of a host that finds few servers poor indicate no fault of the host", append(repeat(6, good), mixed), false},
		{"of a host with few servers indicate no fault of the host", repeat(3, assessor.Tally{Answers: 1, Poor: 1}), false},
	} {
		ginkgo.It(c.name, func() {
			gomega.Expect(assessor.IndicatesHostFault(c.tallies)).To(gomega.Equal(c.hostFault))
		})
	}

	ginkgo.It("are removed with their server", func() {
		a := assessor.New()
		_, changed := a.Add(0, "s", assessor.Tally{Answers: 9, Poor: 9})
		gomega.Expect(changed).To(gomega.BeTrue())
		a.Remove("s")
		degraded, _ := a.Add(0, "s", good)
		gomega.Expect(degraded).To(gomega.BeFalse())
	})
})

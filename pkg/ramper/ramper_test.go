package ramper_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/ramper"
)

var _ = ginkgo.Describe("a ramper", func() {
	type report struct{ answers, poor int }
	good := report{answers: 4}
	// Guards against servers that are flooded after a start, and against those that stay idle.
	for _, c := range []struct {
		name    string
		reports []report
		share   identifier.Ratio
	}{
		{"starts low", nil, ramper.InitialShare},
		{"grows with answers in time", []report{good, good}, 4 * ramper.InitialShare},
		{"ends at the full share", []report{good, good, good}, ramper.FullShare},
		{"grows by one step for one report", []report{{answers: 100}}, 2 * ramper.InitialShare},
		{"adds up small reports", []report{{answers: 1}, {answers: 1}, {answers: 1}}, 2 * ramper.InitialShare},
		{"stays with a few answers", []report{{answers: 2}}, ramper.InitialShare},
		{"falls with a poor answer", []report{good, good, {1, 1}}, 2 * ramper.InitialShare},
		{"doesn't fall below its start", []report{{2, 2}, {2, 2}}, ramper.InitialShare},
		{"doesn't grow while a third of the answers are poor", []report{{3, 1}, {3, 1}, {3, 1}, {3, 1}, {3, 1}}, ramper.InitialShare},
		{"grows in spite of a pause", []report{good, {8, 1}}, 4 * ramper.InitialShare},
		{"doesn't resume a ramp that has ended", []report{good, good, good, {9, 9}}, ramper.FullShare},
	} {
		ginkgo.It(c.name, func() {
			r := ramper.New()
			share := r.Share()
			for _, x := range c.reports {
				share = r.Add(x.answers, x.poor)
			}
			gomega.Expect(share).To(gomega.Equal(c.share))
		})
	}
})

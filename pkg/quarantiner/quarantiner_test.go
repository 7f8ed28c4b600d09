package quarantiner_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

const (
	marked = identifier.Fingerprint(7)
	second = identifier.Instant(identifier.Second)
	minute = identifier.Instant(identifier.Minute)
)

// step is something that happens to the marked request.
type step func(*quarantiner.Quarantiner)

func lost(at identifier.Instant) step {
	return func(q *quarantiner.Quarantiner) { q.Suspect(at, marked, "desk") }
}

func crashed(at identifier.Instant, server identifier.ServerID, probe bool) step {
	return func(q *quarantiner.Quarantiner) {
		q.Crash(at, marked, quarantiner.Crash{Server: server, Service: "desk", Probe: probe, At: at})
	}
}

func cleared(at identifier.Instant) step {
	return func(q *quarantiner.Quarantiner) { q.Clear(at, marked) }
}

var _ = ginkgo.Describe("a request", func() {
	for _, c := range []struct {
		name     string
		steps    []step
		at       identifier.Instant
		standing quarantiner.Standing
	}{
		{"is clear at first", nil, 0, quarantiner.Clear},
		{"is suspect after a lost call", []step{lost(0)}, second, quarantiner.Suspected},
		{"is clear again without a crash", []step{lost(0)}, minute, quarantiner.Clear},
		{"is suspect for long after a crash", []step{lost(0), crashed(0, "s-1", false)}, minute, quarantiner.Suspected},
		{"is suspect after any number of crashes without a probe", []step{
			crashed(0, "s-1", false), crashed(0, "s-2", false), crashed(0, "s-3", false),
		}, second, quarantiner.Suspected},
		{"is quarantined after a crash and a crashed probe", []step{
			crashed(0, "s-1", false), crashed(0, "s-2", true),
		}, second, quarantiner.Quarantined},
		{"is quarantined whichever news comes first", []step{
			crashed(0, "s-2", true), crashed(0, "s-1", false),
		}, second, quarantiner.Quarantined},
		{"counts a crash once", []step{crashed(0, "s-1", true), crashed(0, "s-1", true)}, second, quarantiner.Suspected},
		{"is suspect after the quarantine", []step{
			crashed(0, "s-1", false), crashed(0, "s-2", true),
		}, 11 * minute, quarantiner.Suspected},
		{"is cleared by a served probe", []step{crashed(0, "s-1", false), cleared(1)}, second, quarantiner.Clear},
		{"stays clear when the proof of an older crash arrives", []step{
			lost(0), cleared(second), crashed(0, "s-1", false),
		}, 2 * second, quarantiner.Clear},
		{"is suspect again after a later crash", []step{
			lost(0), cleared(second), crashed(2*second, "s-1", false),
		}, 3 * second, quarantiner.Suspected},
	} {
		ginkgo.It(c.name, func() {
			q := quarantiner.New()
			for _, do := range c.steps {
				do(q)
			}
			gomega.Expect(q.Standing(c.at, marked)).To(gomega.Equal(c.standing))
		})
	}
})

var _ = ginkgo.Describe("an arbiter", func() {
	one := quarantiner.Asker{Host: "h-1", Request: "r-1", Remaining: identifier.Second}
	two := quarantiner.Asker{Host: "h-2", Request: "r-2", Remaining: identifier.Second}

	ginkgo.It("hands out one permit at a time, in order of asking", func() {
		a := quarantiner.NewArbiter()
		gomega.Expect(a.Ask(0, marked, one)).To(gomega.BeTrue())
		gomega.Expect(a.Ask(0, marked, two)).To(gomega.BeFalse())
		gomega.Expect(a.Ask(0, marked, one)).To(gomega.BeTrue())
		next, ok := a.Return(second, marked, one)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(next).To(gomega.Equal(two))
	})

	ginkgo.It("hands out none until a lost probe had time to be proved a crash", func() {
		a := quarantiner.NewArbiter()
		a.Ask(0, marked, one)
		a.Block(second, marked)
		gomega.Expect(a.Ask(second, marked, two)).To(gomega.BeFalse())
		_, ok := a.Return(second, marked, one)
		gomega.Expect(ok).To(gomega.BeFalse())
		next, ok := a.Next(5*second, marked)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(next).To(gomega.Equal(two))
	})
})

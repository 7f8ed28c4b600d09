package quarantiner_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

const (
	suspect = identifier.Fingerprint(7)
	second  = identifier.Instant(identifier.Second)
	minute  = identifier.Instant(identifier.Minute)
)

// event records one event for the suspect fingerprint.
type event func(*quarantiner.Quarantiner)

func callLost(at identifier.Instant) event {
	return func(q *quarantiner.Quarantiner) { q.RecordLostCall(at, suspect, "desk") }
}

func serverCrashed(at identifier.Instant, server identifier.ServerID, probe bool) event {
	return func(q *quarantiner.Quarantiner) {
		q.RecordCrash(at, suspect, quarantiner.Crash{Server: server, Service: "desk", Probe: probe, At: at})
	}
}

func fingerprintCleared(at identifier.Instant) event {
	return func(q *quarantiner.Quarantiner) { q.Clear(at, suspect) }
}

func crashesCleared(at identifier.Instant, servers ...identifier.ServerID) event {
	return func(q *quarantiner.Quarantiner) {
		var crashes []quarantiner.Crash
		for _, id := range servers {
			crashes = append(crashes, quarantiner.Crash{Server: id})
		}
		q.ClearCrashes(at, suspect, crashes)
	}
}

var _ = ginkgo.Describe("a request", func() {
	for _, c := range []struct {
		name   string
		events []event
		at     identifier.Instant
		status quarantiner.Status
	}{
		{"is clear at first", nil, 0, quarantiner.Clear},
		{"is suspect after a lost call", []event{callLost(0)}, second, quarantiner.Suspected},
		{"is clear again a minute after a lost call without a crash", []event{callLost(0)}, minute, quarantiner.Clear},
		{"is still suspect a minute after a crash", []event{callLost(0), serverCrashed(0, "s-1", false)}, minute, quarantiner.Suspected},
		{"is suspect after any number of crashes without a probe", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", false), serverCrashed(0, "s-3", false),
		}, second, quarantiner.Suspected},
		{"is quarantined after two crashes, one of them during a probe", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", true),
		}, second, quarantiner.Quarantined},
		{"is quarantined whichever crash is recorded first", []event{
			serverCrashed(0, "s-2", true), serverCrashed(0, "s-1", false),
		}, second, quarantiner.Quarantined},
		{"counts a crash once", []event{serverCrashed(0, "s-1", true), serverCrashed(0, "s-1", true)}, second, quarantiner.Suspected},
		{"is suspect after the quarantine", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", true),
		}, 11 * minute, quarantiner.Suspected},
		{"is clear once all of its crashes are cleared", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", true), crashesCleared(1, "s-1", "s-2", "s-3"),
		}, second, quarantiner.Clear},
		{"stays quarantined when other crashes are cleared", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", true), crashesCleared(1, "s-3"),
		}, second, quarantiner.Quarantined},
		{"stays quarantined when one of three crashes is cleared", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", true), serverCrashed(0, "s-3", true), crashesCleared(1, "s-2"),
		}, second, quarantiner.Quarantined},
		{"is suspect when one of two crashes is cleared", []event{
			serverCrashed(0, "s-1", false), serverCrashed(0, "s-2", true), crashesCleared(1, "s-1"),
		}, second, quarantiner.Suspected},
		{"is clear after a lost call when no crash is cleared", []event{callLost(0), crashesCleared(1)}, second, quarantiner.Clear},
		{"is cleared by a served probe", []event{serverCrashed(0, "s-1", false), fingerprintCleared(1)}, second, quarantiner.Clear},
		{"stays clear when an older crash is recorded", []event{
			callLost(0), fingerprintCleared(second), serverCrashed(0, "s-1", false),
		}, 2 * second, quarantiner.Clear},
		{"is suspect again after a later crash", []event{
			callLost(0), fingerprintCleared(second), serverCrashed(2*second, "s-1", false),
		}, 3 * second, quarantiner.Suspected},
	} {
		ginkgo.It(c.name, func() {
			q := quarantiner.New()
			for _, apply := range c.events {
				apply(q)
			}
			gomega.Expect(q.Status(c.at, suspect)).To(gomega.Equal(c.status))
		})
	}
})

var _ = ginkgo.Describe("a suspect request without an arbiter", func() {
	probeLost := func(at identifier.Instant) event {
		return func(q *quarantiner.Quarantiner) { q.BlockProbes(at, suspect) }
	}
	for _, c := range []struct {
		name   string
		events []event
		until  identifier.Instant
	}{
		{"may be probed after a lost call", []event{callLost(0)}, 0},
		{"is refused for 10 s after a lost probe", []event{callLost(0), probeLost(second)}, 11 * second},
		{"is refused until the end of its quarantine", []event{
			probeLost(0), serverCrashed(0, "s-1", false), serverCrashed(second, "s-2", true),
		}, 10*minute + second},
		{"may be probed again once it is cleared", []event{callLost(0), probeLost(0), fingerprintCleared(second)}, 0},
	} {
		ginkgo.It(c.name, func() {
			q := quarantiner.New()
			for _, apply := range c.events {
				apply(q)
			}
			gomega.Expect(q.RefusedUntil(suspect)).To(gomega.Equal(c.until))
		})
	}
})

var _ = ginkgo.Describe("an arbiter", func() {
	one := quarantiner.Requester{Host: "h-1", Request: "r-1", Remaining: identifier.Second}
	two := quarantiner.Requester{Host: "h-2", Request: "r-2", Remaining: identifier.Second}

	ginkgo.It("grants one permit at a time, in order of requests", func() {
		a := quarantiner.NewArbiter()
		gomega.Expect(a.Acquire(0, suspect, one)).To(gomega.BeTrue())
		gomega.Expect(a.Acquire(0, suspect, two)).To(gomega.BeFalse())
		gomega.Expect(a.Acquire(0, suspect, one)).To(gomega.BeTrue())
		next, ok := a.Release(second, suspect, one)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(next).To(gomega.Equal(two))
	})

	ginkgo.It("grants no permit after a lost probe until the time to confirm a crash has passed", func() {
		a := quarantiner.NewArbiter()
		a.Acquire(0, suspect, one)
		a.Block(second, suspect)
		gomega.Expect(a.Acquire(second, suspect, two)).To(gomega.BeFalse())
		_, ok := a.Release(second, suspect, one)
		gomega.Expect(ok).To(gomega.BeFalse())
		next, ok := a.GrantNext(5*second, suspect)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(next).To(gomega.Equal(two))
	})
})

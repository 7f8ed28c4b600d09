package deduplicator_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func TestDeduplicator(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "deduplicator")
}

type ledger = deduplicator.Ledger[string]

var limits = deduplicator.Limits{Window: 100, Tolerance: 10, Capacity: 3}

func intent(key, request string, issued, at identifier.Instant) deduplicator.Intent {
	return deduplicator.Intent{
		Key:     deduplicator.Key{Customer: "c", Key: identifier.IdempotencyKey(key)},
		Request: identifier.RequestID(request), IssuedAt: issued, Fingerprint: 1, At: at,
	}
}

func withOtherFingerprint(i deduplicator.Intent) deduplicator.Intent {
	i.Fingerprint = 2
	return i
}

var cases = []struct {
	name   string
	before func(l *ledger)
	intent deduplicator.Intent
	want   deduplicator.Decision
}{
	{"a first send", func(*ledger) {}, intent("k", "1", 100, 100), deduplicator.Granted{}},
	{"a duplicated record of one send", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
	}, intent("k", "1", 100, 101), deduplicator.Granted{}},
	{"a resend before the outcome", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
	}, intent("k", "2", 100, 101), deduplicator.Unsettled{}},
	{"a resend after the outcome", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
		l.Settle(intent("k", "1", 100, 102), "out")
	}, intent("k", "2", 100, 103), deduplicator.Settled{}},
	{"a resend after abandonment", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
		l.Abandon(intent("k", "1", 100, 101))
	}, intent("k", "2", 100, 102), deduplicator.Granted{}},
	{"a record that arrives after its own abandonment", func(l *ledger) {
		l.Abandon(intent("k", "1", 100, 100))
	}, intent("k", "1", 100, 101), deduplicator.Withdrawn{}},
	{"an abandonment by another send", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
		l.Abandon(intent("k", "2", 100, 101))
	}, intent("k", "3", 100, 102), deduplicator.Unsettled{}},
	{"an abandonment after the outcome", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
		l.Settle(intent("k", "1", 100, 101), "out")
		l.Abandon(intent("k", "1", 100, 102))
	}, intent("k", "2", 100, 102), deduplicator.Settled{}},
	{"another body", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
	}, withOtherFingerprint(intent("k", "2", 100, 101)), deduplicator.Mismatched{}},
	{"another issued-at", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
	}, intent("k", "2", 105, 105), deduplicator.Mismatched{}},
	{"the last instant of the window", func(*ledger) {}, intent("k", "1", 100, 200), deduplicator.Granted{}},
	{"an instant after the window", func(*ledger) {}, intent("k", "1", 100, 201), deduplicator.Expired{}},
	{"a clock that steps back", func(l *ledger) {
		l.Record(intent("k", "1", 100, 100))
		l.Record(intent("x", "2", 201, 201))
	}, intent("k", "3", 100, 110), deduplicator.Expired{}},
	{"a send issued in the future", func(*ledger) {}, intent("k", "1", 111, 100), deduplicator.Early{}},
	{"a full ledger", func(l *ledger) {
		for _, k := range []string{"a", "b", "c"} {
			l.Record(intent(k, k, 100, 100))
		}
	}, intent("k", "1", 100, 100), deduplicator.Full{}},
	{"a ledger whose entries have expired", func(l *ledger) {
		for _, k := range []string{"a", "b", "c"} {
			l.Record(intent(k, k, 100, 100))
		}
	}, intent("k", "1", 201, 201), deduplicator.Granted{}},
}

var _ = ginkgo.Describe("a ledger", func() {
	for _, c := range cases {
		ginkgo.It("decides "+c.name, func() {
			l := deduplicator.New[string](limits)
			c.before(l)
			gomega.Expect(l.Record(c.intent)).To(gomega.Equal(c.want))
		})
	}

	ginkgo.It("returns the first outcome stored", func() {
		l := deduplicator.New[string](limits)
		l.Record(intent("k", "1", 100, 100))
		_, stored := l.Outcome(intent("k", "1", 100, 100).Key)
		gomega.Expect(stored).To(gomega.BeFalse())
		l.Settle(intent("k", "1", 100, 101), "first")
		l.Settle(intent("k", "1", 100, 102), "second")
		outcome, stored := l.Outcome(intent("k", "1", 100, 100).Key)
		gomega.Expect(stored).To(gomega.BeTrue())
		gomega.Expect(outcome).To(gomega.Equal("first"))
	})

	ginkgo.It("grants each key to one send at a time", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) { checkResends(t) })
	})
})

// checkResends draws sends with duplicated and reordered records, clocks that step back, and a
// second ledger that is restored from its own snapshots. It checks that at most one send runs
// per key, not counting abandoned sends, and that both ledgers agree.
func checkResends(t *rapid.T) {
	l := deduplicator.New[string](limits)
	restored := deduplicator.New[string](limits)
	keys := rapid.SampledFrom([]string{"a", "b"})
	runs := map[string]identifier.RequestID{}
	for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
		at := identifier.Instant(max(0, step*4+rapid.IntRange(-20, 20).Draw(t, "clock")))
		key := keys.Draw(t, "key")
		i := intent(key, fmt.Sprint(key, rapid.IntRange(0, 6).Draw(t, "request")), 10, at)
		switch rapid.IntRange(0, 4).Draw(t, "action") {
		case 0, 1, 2:
			decision := l.Record(i)
			if fmt.Sprint(restored.Record(i)) != fmt.Sprint(decision) {
				t.Fatal("decisions of the two ledgers differ")
			}
			if _, granted := decision.(deduplicator.Granted); !granted {
				continue
			}
			if previous, ok := runs[key]; ok && previous != i.Request {
				t.Fatalf("%s is granted although %s may run", i.Request, previous)
			}
			runs[key] = i.Request
		case 3:
			l.Settle(i, "out")
			restored.Settle(i, "out")
		case 4:
			if runs[key] == i.Request && rapid.Bool().Draw(t, "ran") {
				continue
			}
			before := l.Snapshot()
			l.Abandon(i)
			restored.Abandon(i)
			if runs[key] == i.Request && !doneOrExpired(before, i) {
				delete(runs, key)
			}
		}
		restored = deduplicator.Restore(limits, restored.Snapshot())
	}
	if fmt.Sprint(l.Snapshot()) != fmt.Sprint(restored.Snapshot()) {
		t.Fatal("snapshots of the two ledgers differ")
	}
}

// doneOrExpired reports whether the key of the intent has an outcome, or no entry, in the
// snapshot.
func doneOrExpired(s deduplicator.Snapshot[string], i deduplicator.Intent) bool {
	for _, e := range s.Entries {
		if e.Intent.Key == i.Key {
			return e.Stage == deduplicator.Done
		}
	}
	return true
}

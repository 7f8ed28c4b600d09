package lender_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/lender"
)

var _ = ginkgo.Describe("a lender", func() {
	const window = 10 * identifier.Second
	type loan struct {
		at    identifier.Micros
		count int
	}
	for _, c := range []struct {
		name      string
		loans     []loan
		at        identifier.Micros
		exhausted bool
	}{
		{"is not exhausted below its limit", []loan{{0, 4}}, 0, false},
		{"is exhausted at its limit", []loan{{0, 5}}, 0, true},
		{"adds up loans", []loan{{0, 2}, {3 * identifier.Second, 3}}, 4 * identifier.Second, true},
		{"counts loans for the whole window", []loan{{0, 5}}, window, true},
		{"removes loans after the window", []loan{{0, 5}}, window + identifier.Second, false},
		{"removes loans bucket by bucket", []loan{{0, 3}, {9 * identifier.Second, 2}}, 11 * identifier.Second, false},
		{"removes loans after a long time without calls", []loan{{0, 5}}, 100 * window, false},
	} {
		ginkgo.It(c.name, func() {
			l := lender.New(window)
			for _, x := range c.loans {
				l.RecordLoans(identifier.Instant(0).Add(x.at), "s", x.count)
			}
			gomega.Expect(len(l.Exhausted(identifier.Instant(0).Add(c.at), 5)) > 0).To(gomega.Equal(c.exhausted))
		})
	}

	ginkgo.It("never lends more than its limit in any window", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			const limit = 6
			l := lender.New(window)
			now := identifier.Instant(0)
			var lent []identifier.Instant
			for range rapid.IntRange(1, 200).Draw(t, "requests") {
				now = now.Add(identifier.Micros(rapid.Int64Range(0, int64(identifier.Second)).Draw(t, "pause")))
				if len(l.Exhausted(now, limit)) > 0 {
					continue
				}
				l.RecordLoans(now, "s", 1)
				lent = append(lent, now)
			}
			for i := range lent {
				if i >= limit && lent[i].Since(lent[i-limit]) < window {
					t.Fatalf("%d loans within %d us", limit+1, lent[i].Since(lent[i-limit]))
				}
			}
		})
	})
})

package reducer_test

import (
	"flag"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// The short set runs in CI; a long one is go test ./pkg/reducer -args -seeds 200.
var (
	seeds = flag.Uint64("seeds", 6, "how many seeds the randomised runs take")
	first = flag.Uint64("first-seed", 1, "the first seed of the randomised runs")
)

// faults are what a randomised run draws from.
var faults = []struct {
	name string
	do   func(w *world)
}{
	{"a straggler", func(w *world) {
		b := w.servers[w.random.IntN(len(w.servers))]
		b.slow = 10
		w.after(2*identifier.Second, func() { b.slow = 1 })
	}},
	{"a server crashes", func(w *world) {
		w.crash(w.servers[w.random.IntN(len(w.servers))], identifier.Micros(w.random.Int64N(int64(3*identifier.Second))))
	}},
	{"an index change", func(w *world) {
		w.version++
		for _, b := range w.servers {
			w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second))), func() { w.hold(b) })
		}
	}},
	{"a repartition", func(w *world) {
		w.epoch++
		w.configuration++
		for _, n := range w.hosts {
			w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second))), func() { w.load(n) })
		}
		for _, b := range w.servers {
			w.after(identifier.Micros(w.random.Int64N(int64(2*identifier.Second))), func() { w.hold(b) })
		}
	}},
	{"a domain is cut off", func(w *world) {
		w.isolate(domain(w.random.IntN(worldDomains)), identifier.Micros(w.random.Int64N(int64(3*identifier.Second))))
	}},
	{"a host is killed", func(w *world) {
		w.kill(w.random.IntN(len(w.hosts)), identifier.Micros(w.random.Int64N(int64(2*identifier.Second))))
	}},
	{"a host freezes", func(w *world) {
		w.hosts[w.random.IntN(len(w.hosts))].frozen = w.now.Add(identifier.Micros(w.random.Int64N(int64(2 * identifier.Second))))
	}},
	{"connections break", func(w *world) { w.disconnect(w.hosts[w.random.IntN(len(w.hosts))]) }},
	{"a flood", func(w *world) {
		rank := identifier.Rank(w.random.IntN(identifier.RankCount))
		for range 600 {
			w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second/2))), func() {
				w.ask(w.random.IntN(len(w.hosts)), rank, identifier.Fingerprint(w.random.IntN(50)+1))
			})
		}
	}},
	{"a crash request is resent", func(w *world) {
		for i := range 10 {
			w.after(identifier.Micros(i)*300*identifier.Millisecond, func() {
				w.ask(w.random.IntN(len(w.hosts)), identifier.Urgent, markedPrint)
			})
		}
	}},
}

// check compares what callers were told with what the fakes did.
func (w *world) check() {
	for id, r := range w.requests {
		n := w.hosts[r.host]
		if n.life == r.life && n.state != nil {
			gomega.Expect(r.replies).To(gomega.HaveLen(1), "replies to %s", id)
		}
		gomega.Expect(len(r.replies)).To(gomega.BeNumerically("<=", 1), "replies to %s", id)
		for _, o := range r.replies {
			if _, answered := o.(reducer.Answered); answered && r.key != "" {
				// The answer may be that of an earlier send; its run is checked by key.
				continue
			}
			r.check(id, o)
		}
	}
}

func (r *request) check(id identifier.RequestID, outcome reducer.Outcome) {
	switch o := outcome.(type) {
	case reducer.Answered:
		var width identifier.HashPoint
		seen := map[identifier.HashRange]bool{}
		for _, p := range o.Parts {
			gomega.Expect(p.Body).To(gomega.Equal(bodyOf(id, o.Snapshot)))
			gomega.Expect(seen[p.Range]).To(gomega.BeFalse())
			seen[p.Range] = true
			width += p.Range.Width()
		}
		gomega.Expect(o.Coverage).To(gomega.Equal(identifier.Ratio(width) / identifier.Ratio(identifier.HashSpace)))
	case reducer.Failed:
		if o.Ran == reducer.RanNo {
			gomega.Expect(r.runs).To(gomega.BeZero(), "%s was reported as not run", id)
		}
	}
}

var _ = ginkgo.Describe("a randomised run", func() {
	for seed := *first; seed < *first+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("keeps every promise with seed %d", seed), func() {
			w := newWorld(seed, 6, 4)
			for range 24 {
				for range 100 {
					w.after(identifier.Micros(w.random.Int64N(int64(identifier.Second/2))), func() {
						rank := identifier.Rank(w.random.IntN(identifier.RankCount))
						w.ask(w.random.IntN(len(w.hosts)), rank, identifier.Fingerprint(w.random.IntN(200)+1000))
					})
				}
				if w.random.IntN(2) == 0 {
					faults[w.random.IntN(len(faults))].do(w)
				}
				w.run(identifier.Second / 2)
			}
			w.run(5 * identifier.Second)
			w.check()
			ginkgo.GinkgoWriter.Printf("seed %d: %d events, %d queries, counts %v\n", seed, w.events, len(w.requests), w.counts)
		})
	}
})

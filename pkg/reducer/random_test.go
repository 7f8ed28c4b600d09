package reducer_test

import (
	"flag"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// CI runs the default seeds; for more, run go test ./pkg/reducer -args -seeds 200.
var (
	seeds     = flag.Uint64("seeds", 6, "number of seeds of the randomised runs")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the randomised runs")
)

// faults are the faults that a randomised run injects.
var faults = []struct {
	name   string
	inject func(s *simulation)
}{
	{"a straggler", func(s *simulation) {
		b := s.servers[s.random.IntN(len(s.servers))]
		b.slowdown = 10
		s.after(2*identifier.Second, func() { b.slowdown = 1 })
	}},
	{"a server crashes", func(s *simulation) {
		s.crash(s.servers[s.random.IntN(len(s.servers))], identifier.Micros(s.random.Int64N(int64(3*identifier.Second))))
	}},
	{"an index change", func(s *simulation) {
		s.version++
		for _, b := range s.servers {
			s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second))), func() { s.updateHoldings(b) })
		}
	}},
	{"a repartition", func(s *simulation) {
		s.epoch++
		s.configuration++
		for _, n := range s.hosts {
			s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second))), func() { s.loadConfiguration(n) })
		}
		for _, b := range s.servers {
			s.after(identifier.Micros(s.random.Int64N(int64(2*identifier.Second))), func() { s.updateHoldings(b) })
		}
	}},
	{"a domain is cut off", func(s *simulation) {
		s.isolate(domain(s.random.IntN(domainCount)), identifier.Micros(s.random.Int64N(int64(3*identifier.Second))))
	}},
	{"a host is killed", func(s *simulation) {
		s.kill(s.random.IntN(len(s.hosts)), identifier.Micros(s.random.Int64N(int64(2*identifier.Second))))
	}},
	{"a host freezes", func(s *simulation) {
		s.hosts[s.random.IntN(len(s.hosts))].frozenUntil = s.now.Add(identifier.Micros(s.random.Int64N(int64(2 * identifier.Second))))
	}},
	{"connections break", func(s *simulation) { s.disconnect(s.hosts[s.random.IntN(len(s.hosts))]) }},
	{"a flood", func(s *simulation) {
		rank := identifier.Rank(s.random.IntN(identifier.RankCount))
		for range 600 {
			s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second/2))), func() {
				s.sendQuery(s.random.IntN(len(s.hosts)), rank, identifier.Fingerprint(s.random.IntN(50)+1))
			})
		}
	}},
	{"a crash request is resent", func(s *simulation) {
		for i := range 10 {
			s.after(identifier.Micros(i)*300*identifier.Millisecond, func() {
				s.sendQuery(s.random.IntN(len(s.hosts)), identifier.Urgent, crashFingerprint)
			})
		}
	}},
}

// checkReplies compares the replies to callers with what the simulated servers did.
func (s *simulation) checkReplies() {
	for id, r := range s.requests {
		n := s.hosts[r.host]
		if n.generation == r.hostGeneration && n.state != nil {
			gomega.Expect(r.replies).To(gomega.HaveLen(1), "replies to %s", id)
		}
		gomega.Expect(len(r.replies)).To(gomega.BeNumerically("<=", 1), "replies to %s", id)
		for _, o := range r.replies {
			if _, answered := o.(reducer.Answered); answered && r.key != "" {
				// The answer may be that of an earlier send; recordRun checks its run by key.
				continue
			}
			r.checkOutcome(id, o)
		}
	}
}

// checkOutcome checks the parts and coverage of an answer, and that a request reported as not
// run has not run.
func (r *request) checkOutcome(id identifier.RequestID, outcome reducer.Outcome) {
	switch o := outcome.(type) {
	case reducer.Answered:
		var width identifier.HashPoint
		seen := map[identifier.HashRange]bool{}
		for _, p := range o.Parts {
			gomega.Expect(p.Body).To(gomega.Equal(partBody(id, o.Snapshot)))
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
	for seed := *firstSeed; seed < *firstSeed+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("keeps its guarantees with seed %d", seed), func() {
			s := newSimulation(seed, 6, 4)
			for range 24 {
				for range 100 {
					s.after(identifier.Micros(s.random.Int64N(int64(identifier.Second/2))), func() {
						rank := identifier.Rank(s.random.IntN(identifier.RankCount))
						s.sendQuery(s.random.IntN(len(s.hosts)), rank, identifier.Fingerprint(s.random.IntN(200)+1000))
					})
				}
				if s.random.IntN(2) == 0 {
					faults[s.random.IntN(len(faults))].inject(s)
				}
				s.run(identifier.Second / 2)
			}
			s.run(5 * identifier.Second)
			s.checkReplies()
			ginkgo.GinkgoWriter.Printf("seed %d: %d events, %d queries, counts %v\n", seed, s.events, len(s.requests), s.counts)
		})
	}
})

package chooser_test

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/ramper"
)

const (
	faultStart = 25 * identifier.Second
	faultEnd   = 35 * identifier.Second
	coldTime   = 3 * identifier.Second
	// shareWindow is the time over which the work of a server is counted.
	shareWindow = identifier.Second
	// recoveryWindow is the time after a fault over which late and failed requests are counted.
	recoveryWindow = 15 * identifier.Second
	// probeShare is that of the pieces that may go to a degraded server.
	probeShare = 0.05
)

// fault is the fault of the first domain's server.
type fault int

const (
	// startsCold is a new incarnation at the end of the fault, 1.6 times slower for coldTime.
	startsCold fault = iota
	failsHalf
	tenTimesSlow
)

// recovery is a server that starts or recovers, and the verdicts of a control host about it.
type recovery struct {
	fault fault
	// ramps is set if a Ramper finds the server's share of work.
	ramps    bool
	assessor *assessor.Assessor
	ramper   *ramper.Ramper
	tallies  map[int]assessor.Tally
	next     int
	degraded bool
	started  bool
	share    identifier.Ratio
	result   recoveryResult
}

// recoveryResult counts what happened after the end of the fault.
type recoveryResult struct {
	// starts counts the first attempts on the server in each shareWindow, and late the requests that
	// missed the target or were refused.
	starts         [int(recoveryWindow / shareWindow)]int
	requests, late int
}

func newRecovery(f fault, ramps bool) *recovery {
	return &recovery{fault: f, ramps: ramps, assessor: assessor.New(), tallies: map[int]assessor.Tally{}, share: ramper.FullShare}
}

func (r *recovery) apply(now identifier.Instant, d int, c *chooser.Candidate) {
	if r == nil || d != 0 || r.fault != startsCold || now < identifier.Instant(faultEnd) {
		return
	}
	c.Incarnation, c.Ramped = 2, r.ramps
	c.Starting = now < identifier.Instant(faultEnd+coldTime)
	if r.started {
		return
	}
	r.started, r.degraded = true, false
	r.assessor.Remove("s")
	if r.ramps {
		r.ramper = ramper.New()
		r.share = r.ramper.Share()
	}
}

func (r *recovery) avoids(q *playedRequest, d int) bool {
	if r == nil || d != 0 || len(q.tried) > 1 {
		return false
	}
	return (r.degraded && q.draw >= probeShare) || q.draw >= float64(r.share)
}

func (r *recovery) fails(now identifier.Instant, d int, random *rand.Rand) bool {
	if r == nil || d != 0 || now < identifier.Instant(faultStart) || now >= identifier.Instant(faultEnd) {
		return false
	}
	return r.fault == startsCold || (r.fault == failsHalf && random.IntN(2) == 0)
}

func (r *recovery) slowness(now identifier.Instant, d int) float64 {
	switch {
	case r == nil || d != 0:
	case r.fault == startsCold && now >= identifier.Instant(faultEnd) && now < identifier.Instant(faultEnd+coldTime):
		return 1.6
	case r.fault == tenTimesSlow && now >= identifier.Instant(faultStart) && now < identifier.Instant(faultEnd):
		return 10
	}
	return 1
}

func (r *recovery) index(now identifier.Instant) int {
	if r == nil || now < identifier.Instant(faultEnd) || now >= identifier.Instant(faultEnd+recoveryWindow) {
		return -1
	}
	return int(now.Since(identifier.Instant(faultEnd)) / shareWindow)
}

func (r *recovery) recordStart(now identifier.Instant, q *playedRequest, d int) {
	i := r.index(now)
	if i < 0 || len(q.tried) > 1 {
		return
	}
	r.result.requests++
	r.result.late++
	if d == 0 {
		r.result.starts[i]++
	}
}

func (r *recovery) recordDone(now identifier.Instant, q *playedRequest) {
	if r.index(q.start) >= 0 && now.Since(q.start) <= playedTarget {
		r.result.late--
	}
}

// recordEnd adds an answer of the server to the tally of a host in its domain.
func (r *recovery) recordEnd(q *playedRequest, d int, latency identifier.Micros, refused bool) {
	if r == nil || d != 0 || q.host%3 != 0 {
		return
	}
	t := r.tallies[q.host]
	t.Answers++
	if refused {
		t.Failed++
	}
	if refused || latency > 75*ms {
		t.Poor++
	}
	r.tallies[q.host] = t
}

// report sends the tally of the next host to the control host.
func (r *recovery) report(now identifier.Instant, hosts int) {
	r.next = (r.next + 1) % hosts
	t := r.tallies[r.next]
	delete(r.tallies, r.next)
	if t.Answers == 0 {
		return
	}
	degraded, changed := r.assessor.Add(now, "s", t)
	if changed {
		r.degraded = degraded
		r.ramper, r.share = nil, ramper.FullShare
		if !degraded && r.ramps {
			r.ramper = ramper.New()
			r.share = r.ramper.Share()
		}
		return
	}
	if r.ramper != nil {
		r.share = r.ramper.Add(t.Answers, t.Poor)
	}
}

// time returns how long after the fault the server first got nine tenths of the work that it got in
// the last third of the window.
func (r recoveryResult) time() identifier.Micros {
	last := r.starts[len(r.starts)*2/3:]
	usual := 0
	for _, n := range last {
		usual += n
	}
	for i, n := range r.starts {
		if n*len(last)*10 >= usual*9 {
			return identifier.Micros(i) * shareWindow
		}
	}
	return recoveryWindow
}

var _ = ginkgo.Describe("a server that has started or recovered", func() {
	// minLastShare is the least share of the work in the last second of a server that has its share again: a third,
	// with some room for chance.
	const minLastShare = 0.28
	// Guards against servers that stay idle after a start. The rows with ramps after failing and slowness are
	// the reason why hosts use no ramp then: the share returns later and no fewer requests are late.
	for _, c := range []struct {
		name  string
		fault fault
		ramps bool
		// full is whether the server has its share at the end of the window; within limits the time until then.
		full   bool
		within identifier.Micros
		// late limits the share of late and failed requests.
		late float64
	}{
		{"stays idle when it starts cold and each host judges for itself", startsCold, false, false, recoveryWindow, 0.002},
		{"soon has its share when it starts cold and ramps up", startsCold, true, true, 5 * identifier.Second, 0.002},
		{"has its share after failing", failsHalf, false, true, 9 * identifier.Second, 0.003},
		{"has its share after failing and a ramp", failsHalf, true, true, 11 * identifier.Second, 0.003},
		{"has its share after being slow", tenTimesSlow, false, true, 6 * identifier.Second, 0.002},
		{"has its share after being slow and a ramp", tenTimesSlow, true, true, 8 * identifier.Second, 0.002},
	} {
		ginkgo.It(c.name, func() {
			var sum recoveryResult
			const seeds = 30
			for seed := range uint64(seeds) {
				r := newRecovery(c.fault, c.ramps)
				play{hosts: 60, work: 25 * ms, oneWay: 900, rate: 100, own: true, roundTrip: true, recovery: r}.run(seed)
				for i, n := range r.result.starts {
					sum.starts[i] += n
				}
				sum.requests += r.result.requests
				sum.late += r.result.late
			}
			last := float64(sum.starts[len(sum.starts)-1]) * float64(len(sum.starts)) / float64(sum.requests)
			late := float64(sum.late) / float64(sum.requests)
			ginkgo.GinkgoWriter.Printf("starts %v late %.4f time %v last %.3f\n", sum.starts, late, sum.time(), last)
			gomega.Expect(last >= minLastShare).To(gomega.Equal(c.full))
			if c.full {
				gomega.Expect(sum.time()).To(gomega.BeNumerically("<=", c.within))
			}
			gomega.Expect(late).To(gomega.BeNumerically("<=", c.late))
		})
	}
})

package chooser_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// play is a played load: hosts in three failure domains send the requests of one service to its
// server in each domain.
type play struct {
	hosts int
	// work is the mean time that a request takes in a slot, oneWay the latency between domains.
	work, oneWay identifier.Micros
	// rate is the number of requests a second; local demand swings by swing of its mean.
	rate, swing float64
	// slowShare is the share of time in which a machine is 2.5 times slower, for 0.6 s at a time.
	slowShare float64
	// own makes hosts record the loads in their answers.
	own bool
	// roundTrip is set if hosts know the round trip to remote domains.
	roundTrip bool
	// recovery is a fault of the first domain's server and its end; nil for none.
	recovery *recovery
	// states changes what the server of a domain states.
	states func(domain int, l chooser.Load) chooser.Load
}

const (
	playedDuration = 60 * identifier.Second
	playedSlots    = 4
	playedQueue    = 24
	playedDetour   = 25 * ms
	playedTarget   = 150 * ms
	// reportInterval is that of reports to control hosts.
	reportInterval = 400 * ms
)

// result is what a play measured.
type result struct {
	p99          identifier.Micros
	late, remote float64
	hedges       float64
	shares       [3]float64
}

type playedRequest struct {
	host, first  int
	start        identifier.Instant
	tried        []int
	hedged, done bool
	// draw decides whether the request may go to a server that gets a part of its work.
	draw float64
}

// step is an event of the play, ordered by time.
type step struct {
	at  identifier.Instant
	run func(now identifier.Instant)
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// playedServer runs requests in slots; the others wait in order.
type playedServer struct {
	speed   float64
	pauses  func(at identifier.Instant) identifier.Instant
	running int
	waiting []func(now identifier.Instant)
}

var playedNames = []identifier.ServerID{"a", "b", "c"}

func (p play) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	var queue steps
	at := func(t identifier.Instant, run func(identifier.Instant)) { heap.Push(&queue, step{t, run}) }
	servers := [3]*playedServer{}
	slowUntil := [3]identifier.Instant{}
	for d := range servers {
		period := identifier.Micros(3000+random.IntN(600)) * ms
		phase := identifier.Micros(random.Int64N(int64(period)))
		length := identifier.Micros(120+random.IntN(30)) * ms
		servers[d] = &playedServer{speed: 0.8 + 0.25*float64(d), pauses: func(t identifier.Instant) identifier.Instant {
			if into := (identifier.Micros(t) + phase) % period; into < length {
				return t.Add(length - into)
			}
			return t
		}}
		if p.slowShare > 0 {
			const slowTime = 600 * ms
			var slow func(identifier.Instant)
			slow = func(now identifier.Instant) {
				slowUntil[d] = now.Add(slowTime)
				at(now.Add(slowTime+identifier.Micros(random.ExpFloat64()*float64(slowTime)*(1-p.slowShare)/p.slowShare)), slow)
			}
			at(identifier.Instant(random.ExpFloat64()*float64(slowTime)/p.slowShare), slow)
		}
	}
	choosers := make([]*chooser.Chooser, p.hosts)
	for h := range choosers {
		choosers[h] = chooser.New()
	}
	stated := func(d int, now identifier.Instant) chooser.Load {
		l := chooser.Load{Running: servers[d].running, Waiting: len(servers[d].waiting), Slots: playedSlots, Pace: 1}
		if slowUntil[d] > now {
			l.Pace = 2.5
		}
		if p.states != nil {
			l = p.states(d, l)
		}
		return l
	}
	var latencies []identifier.Micros
	var r result
	total := 0
	var start func(now identifier.Instant, d int)
	start = func(now identifier.Instant, d int) {
		s := servers[d]
		for s.running < playedSlots && len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.running++
			next(now)
		}
	}
	var send func(now identifier.Instant, q *playedRequest)
	send = func(now identifier.Instant, q *playedRequest) {
		var candidates []chooser.Candidate
		for d := range servers {
			if slices.Contains(q.tried, d) {
				continue
			}
			// Local servers that state a load have their full share, as control hosts list it.
			c := chooser.Candidate{Server: playedNames[d], Incarnation: 1, Slots: playedSlots, Ramped: p.own && d == q.host%3}
			p.recovery.apply(now, d, &c)
			if d != q.host%3 {
				c.Detour = playedDetour
				if p.roundTrip {
					c.RoundTrip = 2 * p.oneWay
				}
			}
			if !p.recovery.avoids(q, d) {
				candidates = append(candidates, c)
			}
		}
		x := choosers[q.host]
		id, ok := x.Choose(now, candidates, random.IntN)
		if !ok {
			return
		}
		d := slices.Index(playedNames, id)
		q.tried = append(q.tried, d)
		p.recovery.recordStart(now, q, d)
		if !q.hedged {
			r.shares[d]++
		}
		if d != q.host%3 {
			r.remote++
		}
		oneWay := 200 * identifier.Microsecond
		if d != q.host%3 {
			oneWay = p.oneWay
		}
		x.RecordStart(id, identifier.Urgent)
		sent := now
		finish := func(now identifier.Instant, refused bool) {
			l := stated(d, now)
			at(now.Add(oneWay), func(now identifier.Instant) {
				x.RecordEnd(id, identifier.Urgent)
				p.recovery.recordEnd(q, d, now.Since(sent), refused)
				if refused {
					x.RecordFailure(now, id)
					if !q.done && len(q.tried) < 3 {
						send(now, q)
					}
				} else {
					x.RecordLatencyWithPrior(now, id, now.Since(sent), p.work)
				}
				// A refusal is evidence of a full queue, whatever time it took.
				took := now.Since(sent)
				if refused {
					took = 0
				}
				if p.own {
					x.RecordLoad(now, id, l, took)
				}
				if !refused && !q.done {
					q.done = true
					p.recovery.recordDone(now, q)
					latencies = append(latencies, now.Since(q.start))
				}
			})
		}
		at(now.Add(oneWay), func(now identifier.Instant) {
			s := servers[d]
			if s.running+len(s.waiting) >= playedSlots+playedQueue || p.recovery.fails(now, d, random) {
				finish(now, true)
				return
			}
			s.waiting = append(s.waiting, func(now identifier.Instant) {
				work := float64(p.work) * s.speed * (0.5 + 0.5*random.ExpFloat64())
				if slowUntil[d] > now {
					work *= 2.5
				}
				work *= p.recovery.slowness(now, d)
				// A paused server neither begins nor ends work.
				end := s.pauses(s.pauses(now).Add(identifier.Micros(work)))
				at(end, func(now identifier.Instant) {
					s.running--
					finish(now, false)
					start(now, d)
				})
			})
			start(now, d)
		})
	}
	for h := range p.hosts {
		var arrive func(identifier.Instant)
		next := func(now identifier.Instant) identifier.Instant {
			swing := 1 + p.swing*math.Sin(2*math.Pi*(float64(now)/float64(20*identifier.Second)+float64(h%3)/3))
			return now.Add(identifier.Micros(random.ExpFloat64() * float64(identifier.Second) * float64(p.hosts) / (p.rate * swing)))
		}
		arrive = func(now identifier.Instant) {
			if now > identifier.Instant(playedDuration) {
				return
			}
			total++
			q := &playedRequest{host: h, start: now, draw: random.Float64()}
			send(now, q)
			at(now.Add(playedTarget-2*p.work-4*ms), func(now identifier.Instant) {
				if !q.done {
					r.hedges++
					q.hedged = true
					send(now, q)
				}
			})
			at(next(now), arrive)
		}
		at(next(0), arrive)
	}
	if p.recovery != nil {
		var report func(identifier.Instant)
		report = func(now identifier.Instant) {
			p.recovery.report(now, p.hosts)
			at(now.Add(reportInterval/identifier.Micros(p.hosts)), report)
		}
		at(0, report)
	}
	for queue.Len() > 0 && queue[0].at < identifier.Instant(playedDuration+identifier.Second) {
		x := heap.Pop(&queue).(step)
		x.run(x.at)
	}
	slices.Sort(latencies)
	r.p99 = latencies[len(latencies)*99/100]
	for _, l := range latencies {
		if l > playedTarget {
			r.late++
		}
	}
	n := float64(total)
	r.late = (r.late + n - float64(len(latencies))) / n
	r.remote /= n
	r.hedges /= n
	for d := range r.shares {
		r.shares[d] /= n
	}
	return r
}

// mean returns the mean of the results of a few seeds.
func (p play) mean() result {
	const seeds = 16
	var sum result
	for seed := range uint64(seeds) {
		r := p.run(seed)
		sum.p99 += r.p99 / seeds
		sum.late += r.late / seeds
		sum.remote += r.remote / seeds
		sum.hedges += r.hedges / seeds
		for d := range sum.shares {
			sum.shares[d] += r.shares[d] / seeds
		}
	}
	return sum
}

// uneven is the load of a deployment with 87 hosts, slow machines and a swinging demand.
var uneven = play{hosts: 87, work: 25 * ms, oneWay: 4400, rate: 120, swing: 0.55, slowShare: 0.15}

var _ = ginkgo.Describe("a chooser on many hosts whose servers pause and slow down", func() {
	stating := func(own, roundTrip bool, states func(int, chooser.Load) chooser.Load) play {
		p := uneven
		p.own, p.roundTrip, p.states = own, roundTrip, states
		return p
	}
	fixed := func(figure chooser.Load) func(int, chooser.Load) chooser.Load {
		return func(d int, l chooser.Load) chooser.Load {
			if d == 0 {
				return figure
			}
			return l
		}
	}
	without := sync.OnceValue(uneven.mean)
	// Guards against stated loads that do harm: late answers, work that leaves its domain without need,
	// and work herded onto a server or away from it by figures that are false.
	for _, c := range []struct {
		name string
		play play
		// late and hedges limit the ratio to the shares without stated loads; remote limits the
		// difference of the share of attempts that leave their domain.
		late, hedges, remote float64
		// minShare and maxShare limit the share of first attempts of the first domain's server.
		minShare, maxShare float64
	}{
		{"does better with the loads in its own answers", stating(true, false, nil), 0.95, 0.95, 0.015, 0.28, 0.40},
		{"does better still with the round trip known", stating(true, true, nil), 0.8, 0.9, 0.03, 0.28, 0.40},
		{"keeps work at a server that always states a full queue", stating(true, true, fixed(chooser.Load{Running: 4, Waiting: 24, Slots: 4, Pace: 2.5})), 1.05, 1.05, 0.06, 0.25, 0.40},
		{"sends no more work to a server that always states to be idle", stating(true, true, fixed(chooser.Load{Slots: 4, Pace: 1})), 1, 1, 0.04, 0.28, 0.40},
		{"is not misled by a server that states a random load", stating(true, true, func(d int, l chooser.Load) chooser.Load {
			if d == 0 {
				l.Waiting = (l.Waiting*7 + l.Running*11 + 5) % 24
			}
			return l
		}), 1.05, 1.05, 0.06, 0.25, 0.40},
	} {
		ginkgo.It(c.name, func() {
			without, with := without(), c.play.mean()
			ginkgo.GinkgoWriter.Printf("without loads: %+v\nwith loads: %+v\n", without, with)
			gomega.Expect(with.late).To(gomega.BeNumerically("<=", c.late*without.late))
			gomega.Expect(with.hedges).To(gomega.BeNumerically("<=", c.hedges*without.hedges))
			gomega.Expect(with.remote).To(gomega.BeNumerically("<=", without.remote+c.remote))
			gomega.Expect(with.shares[0]).To(gomega.And(gomega.BeNumerically(">=", c.minShare), gomega.BeNumerically("<=", c.maxShare)))
		})
	}

	for _, c := range []struct {
		name string
		load chooser.Load
		// latency is that of the answer that stated the load.
		latency identifier.Micros
		// age is that of the load when a server with a detour of 13 ms is the alternative.
		age    identifier.Micros
		chosen identifier.ServerID
	}{
		{"is chosen with a free slot", chooser.Load{Running: 3, Slots: 4, Pace: 1}, 50 * ms, 0, "busy"},
		{"is not chosen with a queue", chooser.Load{Running: 4, Waiting: 8, Slots: 4}, 50 * ms, 0, "other"},
		{"is not chosen on a slow machine", chooser.Load{Running: 1, Slots: 4, Pace: 2.5}, 50 * ms, 0, "other"},
		{"is chosen when its queue was stated a half-life ago", chooser.Load{Running: 4, Waiting: 8, Slots: 4}, 50 * ms, 200 * ms, "busy"},
		{"is chosen when its full queue was stated long ago", chooser.Load{Running: 4, Waiting: 24, Slots: 4, Pace: 4}, 50 * ms, 600 * ms, "busy"},
		{"is chosen when it answered too fast for the queue that it states", chooser.Load{Running: 4, Waiting: 24, Slots: 4}, 10 * ms, 0, "busy"},
		{"is not chosen when it refused with a full queue", chooser.Load{Running: 4, Waiting: 24, Slots: 4}, 0, 0, "other"},
		{"is chosen when it states no slots", chooser.Load{Waiting: 24, Pace: 4}, 50 * ms, 0, "busy"},
	} {
		ginkgo.It("a server "+c.name, func() {
			x := chooser.New()
			candidates := []chooser.Candidate{{Server: "busy", Slots: 4}, {Server: "other", Slots: 4, Detour: 13 * ms}}
			highest := func(n int) int { return n - 1 }
			_, ok := x.Choose(0, candidates, highest)
			gomega.Expect(ok).To(gomega.BeTrue())
			x.RecordLatency(0, "busy", 10*ms)
			x.RecordLatency(0, "other", 10*ms)
			x.RecordLoad(0, "busy", c.load, c.latency)
			id, _ := x.Choose(identifier.Instant(c.age), candidates, highest)
			gomega.Expect(id).To(gomega.Equal(c.chosen))
		})
	}
})

package reducer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	rejectingEntryHosts = 60
	rejectingShards     = 36
	// rejectingInterval is the mean interval of the requests: 1.9 a second for each host.
	rejectingInterval = identifier.Micros(8700)
	remoteRoundTrip   = 4 * identifier.Millisecond
	incidentDuration  = 9 * identifier.Second
)

// rejectingLimits limits the extra attempts of the fleet.
var rejectingLimits = reducer.ExtraAttempts{Share: 0.2, Slack: 214, Window: 10 * identifier.Second}

// rejectingFleet is a fleet in which a part of the servers rejects some attempts.
type rejectingFleet struct {
	*smallFleet
	random  *rand.Rand
	servers []leaser.Announcement
	// rejection is the ratio of attempts that each server rejects.
	rejection map[identifier.ServerID]float64
	// first holds when each request's first attempt reached a service; firsts and extras hold the times of
	// first and extra attempts of each service.
	first          map[string]bool
	firsts, extras map[identifier.ServiceID][]identifier.Instant
	remote         int
	messages       int
	requestCount   int
}

func newRejectingFleet(coverage float64) *rejectingFleet {
	r := &rejectingFleet{
		smallFleet: newSmallFleet(), random: rand.New(rand.NewPCG(7, 1)), rejection: map[identifier.ServerID]float64{},
		first: map[string]bool{}, firsts: map[identifier.ServiceID][]identifier.Instant{}, extras: map[identifier.ServiceID][]identifier.Instant{},
	}
	seeds := []identifier.HostID{controlName(0), controlName(1), controlName(2)}
	for i := range 3 {
		d := r.hosts[controlName(i)].parameters.Duty.(reducer.ControlDuty)
		d.ExtraAttempts = rejectingLimits
		r.hosts[controlName(i)].parameters.Duty = d
		r.start(controlName(i))
	}
	for i := 3; i < rejectingEntryHosts; i++ {
		r.addHost(entryName(i), i, reducer.EntryDuty{Seeds: seeds})
	}
	for i := range rejectingEntryHosts {
		h := r.hosts[entryName(i)]
		h.parameters.Duty = reducer.EntryDuty{Seeds: seeds, ExtraAttempts: rejectingLimits, Detour: 25 * identifier.Millisecond}
		r.start(entryName(i))
	}
	var services []string
	for i := range rejectingShards {
		services = append(services, fmt.Sprintf("shard-%02d", i))
		for n := range domainCount {
			a := announcement(identifier.ServerID(fmt.Sprintf("shard-%02d-%d", i, n)), 1, 1)
			a.Service, a.Domain, a.Slots, a.Address = identifier.ServiceID(services[i]), domain(n), 4, identifier.Address(fmt.Sprintf("10.1.%d.%d:80", i, n))
			r.servers = append(r.servers, a)
		}
	}
	source, err := declarer.NewSource(1, fmt.Appendf(nil, "1 %s %g", strings.Join(services, ","), coverage))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.declare(0, source)
	r.announceAll()
	r.exchange = r.serve
	r.onEffect = func(id identifier.HostID, e reducer.Effect) {
		if x, ok := e.(reducer.Send); ok && x.To != id {
			r.messages++
		}
	}
	r.run(12 * identifier.Second)
	return r
}

// announceAll announces all servers each second.
func (r *rejectingFleet) announceAll() {
	for i := range r.servers {
		r.servers[i].Sequence++
		r.reduce(controlName(i%domainCount), reducer.ServerAnnounced{Announcement: r.servers[i]})
	}
	r.schedule(r.now.Add(identifier.Second), r.announceAll)
}

// serve answers or rejects an attempt.
func (r *rejectingFleet) serve(id identifier.HostID, e reducer.Exchange) {
	service := identifier.ServiceID(e.Server[:len(e.Server)-2])
	key := e.Payload.ClientRequestID + " " + string(service)
	if r.first[key] {
		r.extras[service] = append(r.extras[service], r.now)
	} else {
		r.first[key] = true
		r.firsts[service] = append(r.firsts[service], r.now)
	}
	delay := 200 + identifier.Micros(r.random.Int64N(300))
	if r.hosts[id].parameters.Domain != domain(int(e.Server[len(e.Server)-1]-'0')) {
		r.remote++
		delay += remoteRoundTrip
	}
	if r.random.Float64() < r.rejection[e.Server] {
		r.schedule(r.now.Add(delay), func() {
			r.reduce(id, reducer.ExchangeRefused{Attempt: e.Attempt, Server: e.Server, Reason: reducer.ExchangeShed})
		})
		return
	}
	work := 4*identifier.Millisecond + identifier.Micros(r.random.Int64N(int64(11*identifier.Millisecond)))
	r.schedule(r.now.Add(delay+work), func() {
		r.reduce(id, reducer.ExchangeAnswered{Attempt: e.Attempt, Server: e.Server, Answer: reducer.ServerAnswer{
			Success: true, Signature: key + string(e.Server), Body: make([]byte, 16),
		}})
	})
}

// load sends requests to random entry hosts for the duration and returns how many of them had each kind of
// outcome a timeout later.
func (r *rejectingFleet) load(duration identifier.Micros) map[string]int {
	var sent []identifier.RequestID
	for end := r.now.Add(duration); r.now < end; r.run(identifier.Micros(r.random.ExpFloat64() * float64(rejectingInterval))) {
		r.requestCount++
		id := identifier.RequestID(fmt.Sprint(r.requestCount))
		sent = append(sent, id)
		r.reduce(entryName(r.random.IntN(rejectingEntryHosts)), reducer.RequestArrived{
			Request: id, Hostname: "a.example", Path: "/q", Payload: reducer.Payload{ClientRequestID: string(id)},
		})
	}
	r.run(2 * identifier.Second)
	counts := map[string]int{"sent": len(sent)}
	for _, id := range sent {
		switch o := r.outcomes[id].(type) {
		case reducer.Gathered:
			counts["whole"]++
		case reducer.Declined:
			counts[string(o.Reason)+" ran="+string(o.Ran)]++
		}
	}
	return counts
}

// reject makes a share of the servers, chosen at random, reject a ratio of their attempts.
func (r *rejectingFleet) reject(share, ratio float64) {
	clear(r.rejection)
	for _, i := range r.random.Perm(len(r.servers))[:int(share*float64(len(r.servers)))] {
		r.rejection[r.servers[i].Server] = ratio
	}
}

// expectWithinLimit expects the extra attempts of each service to be within the limit in each window, and
// returns the greatest part of the limit that a service has used.
func (r *rejectingFleet) expectWithinLimit() float64 {
	used := 0.0
	for service, extras := range r.extras {
		for _, at := range extras {
			limit := float64(rejectingLimits.Share)*float64(countInWindow(r.firsts[service], at)) + float64(rejectingLimits.Slack)
			count := float64(countInWindow(extras, at))
			gomega.Expect(count).To(gomega.BeNumerically("<=", limit), "%s at %d us", service, at)
			used = max(used, count/limit)
		}
	}
	return used
}

func (r *rejectingFleet) extraCount() int {
	count := 0
	for _, extras := range r.extras {
		count += len(extras)
	}
	return count
}

var _ = ginkgo.Describe("a fleet whose servers reject a part of the attempts", func() {
	for _, c := range []struct {
		name         string
		share, ratio float64
		coverage     float64
		// minWhole is the least share of whole queries during the incident.
		minWhole float64
	}{
		{"half of them 0.45 of the attempts, with a coverage of 35 of 36", 0.5, 0.45, 0.95, 0.4},
		{"half of them 0.45 of the attempts, with a coverage of 31 of 36", 0.5, 0.45, 0.85, 0.95},
		{"0.8 of them 0.6 of the attempts, with a coverage of 35 of 36", 0.8, 0.6, 0.95, 0},
		{"0.8 of them 0.6 of the attempts, with a coverage of 31 of 36", 0.8, 0.6, 0.85, 0.25},
	} {
		ginkgo.It("answers as many queries as the extra attempts can carry: "+c.name, func() {
			r := newRejectingFleet(c.coverage)
			for _, phase := range []string{"before", "incident", "after"} {
				if phase == "incident" {
					r.reject(c.share, c.ratio)
				} else {
					clear(r.rejection)
				}
				remote, messages, extras := r.remote, r.messages, r.extraCount()
				counts := r.load(incidentDuration)
				fmt.Fprintln(ginkgo.GinkgoWriter, phase, counts, c.share, c.coverage, "remote", r.remote-remote, "messages", r.messages-messages, "extra", r.extraCount()-extras, "used", r.expectWithinLimit())
				if phase == "incident" {
					gomega.Expect(float64(counts["whole"]) / float64(counts["sent"])).To(gomega.BeNumerically(">=", c.minWhole))
				}
			}
		})
	}
})

var _ = ginkgo.Describe("a request to services whose servers all reject", func() {
	for _, c := range []struct {
		name string
		// rejection is the listed ratio of the servers of the first shards, of which there are rejecting.
		rejection identifier.Ratio
		rejecting int
		steps     func(e *entryHost)
		exchanges int
		// outcome is nil for a request that has not completed.
		outcome gomega.OmegaMatcher
	}{
		{"is not begun without a chance", 1, 2, func(*entryHost) {}, 0, gomega.And(
			gomega.HaveField("Reason", reducer.ServersRejecting), gomega.HaveField("Ran", reducer.RanNo),
			gomega.HaveField("RetryAfter", gomega.BeNumerically(">=", identifier.Second)))},
		{"is begun if it can do without them", 1, 1, func(*entryHost) {}, shardCount, nil},
		{"waits for further rejections before it repeats a piece", 0.5, 2, func(e *entryHost) {
			e.refuse(0, reducer.ExchangeShed)
			e.advance(7 * identifier.Millisecond)
		}, shardCount, nil},
		{"repeats the pieces together", 0.5, 2, func(e *entryHost) {
			e.refuse(0, reducer.ExchangeShed)
			e.refuse(1, reducer.ExchangeShed)
			e.advance(9 * identifier.Millisecond)
		}, shardCount + 2, nil},
		{"ends at once if it needs more extra attempts than its share", 0.95, 2, func(e *entryHost) {
			e.refuse(0, reducer.ExchangeShed)
			e.refuse(1, reducer.ExchangeShed)
			e.advance(9 * identifier.Millisecond)
			gomega.Expect(e.cancelled).To(gomega.HaveLen(shardCount - 2))
		}, shardCount, gomega.HaveField("Reason", reducer.TooFewParts)},
		{"is answered at once without the pieces that it can do without", 0.95, 1, func(e *entryHost) {
			for i := 1; i < shardCount; i++ {
				e.answer(i)
			}
			e.refuse(0, reducer.ExchangeShed)
			// Extra attempts for it are left to others once fewer than two remain of the four saved ones.
			for i, wait := range []identifier.Micros{9, 9, 9 + reducer.ServerRetryInterval/identifier.Millisecond} {
				e.advance(wait * identifier.Millisecond)
				e.refuse(shardCount+i, reducer.ExchangeShed)
			}
			e.advance(9 * identifier.Millisecond)
		}, shardCount + 3, gomega.HaveField("Missing", 1)},
	} {
		ginkgo.It(c.name, func() {
			v := entryFleetView()
			for i := range c.rejecting {
				for n := range v.Backends[identifier.ServiceID(fmt.Sprintf("shard-%d", i))] {
					v.Backends[identifier.ServiceID(fmt.Sprintf("shard-%d", i))][n].Rejection = c.rejection
				}
			}
			e := newEntryHost(v)
			e.sendRequest("q", "/search/1")
			c.steps(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(c.exchanges))
			if c.outcome == nil {
				gomega.Expect(e.outcomes).To(gomega.BeEmpty())
				return
			}
			gomega.Expect(e.outcomes["q"]).To(c.outcome)
		})
	}
})

var _ = ginkgo.Describe("a rejection", func() {
	newHost := func(change func(*reducer.FleetView)) *entryHost {
		v := entryFleetView()
		v.ControlHost = controlName(0)
		change(v)
		e := newEntryHost(v)
		e.sendRequest("q", "/search/1")
		return e
	}
	listed := func(v *reducer.FleetView) { v.Backends["shard-0"][1].Rejection = 0.5 }
	for _, c := range []struct {
		name   string
		change func(*reducer.FleetView)
		steps  func(e *entryHost)
		// rejected and accepted are the reported attempts of all servers.
		rejected, accepted int
	}{
		{"is reported", func(*reducer.FleetView) {}, func(e *entryHost) { e.refuse(0, reducer.ExchangeShed) }, 1, 0},
		{"of a remote server is reported, and what a listed one accepts", listed, func(e *entryHost) {
			e.refuse(0, reducer.ExchangeShed)
			e.refuse(shardCount, reducer.ExchangeShed)
			e.answer(shardCount + 1)
		}, 2, 1},
		{"is not reported for a server that is unreachable", func(*reducer.FleetView) {}, func(e *entryHost) { e.refuse(0, reducer.ExchangeUnreachable) }, 0, 0},
	} {
		ginkgo.It(c.name, func() {
			e := newHost(c.change)
			c.steps(e)
			e.advance(2 * reducer.MeasurementInterval)
			rejected, accepted := 0, 0
			for _, m := range e.messages {
				for _, x := range m.Event.(reducer.ServersMeasured).Servers {
					rejected += x.Tally.Rejected
					accepted += x.Tally.Accepted
				}
			}
			gomega.Expect([]int{rejected, accepted}).To(gomega.Equal([]int{c.rejected, c.accepted}))
		})
	}

	measured := func(rejected, accepted int) reducer.ServersMeasured {
		return reducer.ServersMeasured{From: entryName(1), Servers: []reducer.Measurement{
			{Server: "s-1", Tally: assessor.Tally{Rejected: rejected, Accepted: accepted}},
		}}
	}
	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		ratio identifier.Ratio
	}{
		{"is listed by all control hosts", func(f *smallFleet) { f.reduce(controlName(1), measured(5, 5)) }, 0.5},
		{"is listed until the server accepts attempts", func(f *smallFleet) {
			f.reduce(controlName(1), measured(5, 5))
			f.run(identifier.Second)
			f.reduce(controlName(1), measured(0, 8))
		}, 0},
		{"is listed no longer without measurements", func(f *smallFleet) {
			f.reduce(controlName(1), measured(5, 5))
			f.run(3 * identifier.Second)
		}, 0},
		{"is listed no longer when the server restarts", func(f *smallFleet) {
			f.reduce(controlName(1), measured(5, 5))
			f.run(200 * identifier.Millisecond)
			for i := range 3 {
				f.announce(i, announcement("s-1", 2, 1))
			}
		}, 0},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(1, announcement("s-1", 1, 1))
			f.run(identifier.Second)
			c.steps(f)
			f.run(300 * identifier.Millisecond)
			for i := range 3 {
				gomega.Expect(f.hosts[entryName(i)].view.Fleet.Backends["desk"][0].Rejection).To(gomega.Equal(c.ratio))
			}
		})
	}
})

package reducer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// The played load is that of 60 entry hosts and a slack of 200 extra attempts, scaled to the slack of the
// small fleet: each host has the same share of the slack and of the requests.
const (
	rejectingEntryHosts = 18
	rejectingShards     = 36
	// rejectingInterval is the mean interval of the requests: 1.9 a second for each host.
	rejectingInterval = 29 * identifier.Millisecond
	remoteRoundTrip   = 4 * identifier.Millisecond
	incidentDuration  = 9 * identifier.Second
)

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
	for i := 3; i < rejectingEntryHosts; i++ {
		r.addHost(entryName(i), i, reducer.EntryDuty{Seeds: seeds})
	}
	for i := range rejectingEntryHosts {
		h := r.hosts[entryName(i)]
		h.parameters.Duty = reducer.EntryDuty{Seeds: seeds, ExtraAttempts: extraAttemptLimits, Detour: 25 * identifier.Millisecond}
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
			limit := float64(extraAttemptLimits.Share)*float64(countInWindow(r.firsts[service], at)) + float64(extraAttemptLimits.Slack)
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
		{"half of them 0.45 of the attempts, with a coverage of 35 of 36", 0.5, 0.45, 0.95, 0},
		{"half of them 0.45 of the attempts, with a coverage of 31 of 36", 0.5, 0.45, 0.85, 0},
		{"0.8 of them 0.6 of the attempts, with a coverage of 35 of 36", 0.8, 0.6, 0.95, 0},
		{"0.8 of them 0.6 of the attempts, with a coverage of 31 of 36", 0.8, 0.6, 0.85, 0},
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
				fmt.Fprintln(ginkgo.GinkgoWriter, phase, counts, "remote", r.remote-remote, "messages", r.messages-messages, "extra", r.extraCount()-extras, "used", r.expectWithinLimit())
				if phase == "incident" {
					gomega.Expect(float64(counts["whole"])/float64(counts["sent"])).To(gomega.BeNumerically(">=", c.minWhole))
				}
			}
		})
	}
})

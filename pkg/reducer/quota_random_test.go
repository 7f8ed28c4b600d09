package reducer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

var quotaFleets = flag.Int("quota-fleets", 6, "number of random fleets of the tests of quotas")

var (
	quotaTolerance = permitter.Tolerance{Window: 5 * identifier.Second, Overage: 0.1, Slack: 20}
	quotaCustomers = []declarer.Customer{{ID: "small", Rate: 1.2, Burst: 1.2}, {ID: "large", Rate: 34, Burst: 34}}
)

// parseKeyedDeclaration adds customers to a declaration. The version is part of their keys, so that each
// declaration withdraws the keys of the one before.
func parseKeyedDeclaration(text []byte) (*declarer.Declaration, error) {
	d, err := parseDeclaration(text)
	if err != nil {
		return nil, err
	}
	d.Customers = slices.Clone(quotaCustomers)
	for i := range d.Customers {
		d.Customers[i].Keys = []declarer.KeyDigest{versionKey(d.Customers[i].ID, d.Version)}
	}
	return d, nil
}

func versionKey(id identifier.CustomerID, v identifier.Version) declarer.KeyDigest {
	return declarer.DigestKey(fmt.Sprintf("%s-%d", id, v))
}

// quotaFleet is a fleet whose customers have keys and quotas, with random faults.
type quotaFleet struct {
	*smallFleet
	random *rand.Rand
	// version is the newest declaration, acknowledged when each was acknowledged.
	version      identifier.Version
	acknowledged map[identifier.Version]identifier.Instant
	requests     map[string]quotaRequest
	// ran holds when the latest requests of each customer reached a server.
	ran map[identifier.CustomerID][]identifier.Instant
	// fullest is the greatest ratio of the limit that was used in a window.
	fullest float64
}

type quotaRequest struct {
	customer identifier.CustomerID
	version  identifier.Version
	sent     identifier.Instant
	ran      bool
}

func newQuotaFleet(seed uint64) *quotaFleet {
	q := &quotaFleet{
		smallFleet: newSmallFleet(), random: rand.New(rand.NewPCG(seed, 0)),
		acknowledged: map[identifier.Version]identifier.Instant{}, requests: map[string]quotaRequest{},
		ran: map[identifier.CustomerID][]identifier.Instant{},
	}
	for id, h := range q.hosts {
		h.parameters.Interpreter = parseKeyedDeclaration
		switch d := h.parameters.Duty.(type) {
		case reducer.ControlDuty:
			d.Quotas = quotaTolerance
			h.parameters.Duty = d
		case reducer.EntryDuty:
			d.Quotas, d.Revocation = true, revocation
			h.parameters.Duty = d
		}
		q.stop(id, false)
	}
	for i := range 3 {
		q.start(controlName(i))
		q.start(entryName(i))
	}
	q.exchange = q.serve
	q.run(3 * identifier.Second)
	q.declareNext()
	for i := range 3 {
		a := announcement(identifier.ServerID(fmt.Sprintf("s-%d", i)), 1, 1)
		a.Domain = domain(i)
		q.keepAnnouncing(a)
	}
	q.run(5 * identifier.Second)
	return q
}

// declareNext sends another declaration to a control host, which withdraws all keys of the one before.
func (q *quotaFleet) declareNext() {
	q.version++
	q.ticket++
	ticket, version := q.ticket, q.version
	q.reduce(controlName(q.random.IntN(3)), reducer.DeclarationRequested{Ticket: ticket, Source: declarationSource(version, "desk")})
	var poll func()
	poll = func() {
		if r, ok := q.replies[ticket]; !ok {
			q.schedule(q.now.Add(identifier.Millisecond), poll)
		} else if _, ok := r.Reply.(reducer.Committed); ok {
			q.acknowledged[version] = q.now
		}
	}
	poll()
}

// serve answers an attempt, and checks that its key was valid and that its customer was within the limit.
func (q *quotaFleet) serve(id identifier.HostID, e reducer.Exchange) {
	q.schedule(q.now.Add(5*identifier.Millisecond), func() {
		q.reduce(id, reducer.ExchangeAnswered{Attempt: e.Attempt, Server: e.Server, Answer: reducer.ServerAnswer{
			Success: true, Signature: e.Payload.ClientRequestID + string(e.Server), Body: make([]byte, 16),
		}})
	})
	r := q.requests[e.Payload.ClientRequestID]
	gomega.Expect(e.Customer).To(gomega.Equal(r.customer))
	for version, at := range q.acknowledged {
		if version > r.version {
			gomega.Expect(r.sent).To(gomega.BeNumerically("<=", at.Add(revocation)), "request with the key of version %d, withdrawn by %d", r.version, version)
		}
	}
	if r.ran {
		return
	}
	r.ran = true
	q.requests[e.Payload.ClientRequestID] = r
	recent := slices.DeleteFunc(q.ran[r.customer], func(at identifier.Instant) bool { return q.now.Since(at) >= quotaTolerance.Window })
	q.ran[r.customer] = append(recent, q.now)
	c := quotaCustomers[slices.IndexFunc(quotaCustomers, func(c declarer.Customer) bool { return c.ID == r.customer })]
	limit := (float64(c.Rate)*5+c.Burst)*(1+float64(quotaTolerance.Overage)) + quotaTolerance.Slack
	q.fullest = max(q.fullest, float64(len(q.ran[r.customer]))/limit)
	gomega.Expect(float64(len(q.ran[r.customer]))).To(gomega.BeNumerically("<=", limit), "requests of %s in 5 s at %d", r.customer, q.now)
}

// load sends requests of each customer at a multiple of its rate for the duration, and returns them.
func (q *quotaFleet) load(multiple float64, duration identifier.Micros) []identifier.RequestID {
	var sent []identifier.RequestID
	end := q.now.Add(duration)
	for _, c := range quotaCustomers {
		var next func()
		next = func() {
			if q.now >= end {
				return
			}
			id := identifier.RequestID(fmt.Sprint(len(q.requests)))
			version := q.version
			if q.random.IntN(8) == 0 && multiple > 1 {
				version = max(1, version-1)
			}
			sent = append(sent, id)
			q.requests[string(id)] = quotaRequest{customer: c.ID, version: version, sent: q.now}
			q.reduce(entryName(q.random.IntN(3)), reducer.RequestArrived{
				Request: id, Hostname: "a.example", Path: "/q", Credential: versionKey(c.ID, version),
				Payload: reducer.Payload{ClientRequestID: string(id)},
			})
			q.schedule(q.now.Add(identifier.Micros(q.random.ExpFloat64()*float64(identifier.Second)/(float64(c.Rate)*multiple))), next)
		}
		q.schedule(q.now, next)
	}
	q.run(duration)
	return sent
}

// fault begins a random fault of a host, which ends by itself.
func (q *quotaFleet) fault() {
	id := controlName(q.random.IntN(3))
	if q.random.IntN(3) == 0 {
		id = entryName(q.random.IntN(3))
	}
	end := func(within identifier.Micros, action func()) {
		q.schedule(q.now.Add(identifier.Micros(q.random.Int64N(int64(within)))), action)
	}
	switch q.random.IntN(4) {
	case 0:
		if q.hosts[id].running && !q.frozen[id] {
			q.stop(id, false)
			end(3*identifier.Second, func() { q.start(id) })
		}
	case 1:
		if !q.frozen[id] && q.hosts[id].running {
			q.frozen[id] = true
			end(5*identifier.Second, func() { q.thaw(id) })
		}
	case 2:
		if !q.isolated[id] {
			q.isolated[id] = true
			end(8*identifier.Second, func() { q.isolated[id] = false })
		}
	case 3:
		q.declareNext()
	}
}

var _ = ginkgo.Describe("customers of a fleet with faults", func() {
	// More requests than a limit allows reached servers when a frozen host reused its session, and withdrawn
	// keys must not be used by hosts that are cut off.
	for seed := range uint64(6) {
		ginkgo.It(fmt.Sprintf("stay within their limits and are served afterwards, with seed %d", seed), func() {
			for n := range uint64(max(1, *quotaFleets/6)) {
				q := newQuotaFleet(seed + 1000*n)
				for range 20 {
					q.fault()
					q.load(3*q.random.Float64()+0.3, identifier.Micros(q.random.Int64N(int64(6*identifier.Second))))
				}
				// The play must come close enough to the limits to test them.
				gomega.Expect(q.fullest).To(gomega.BeNumerically(">", 0.6))
				q.run(9 * identifier.Second)
				q.declareNext()
				// A declaration is in force after 4 s, and the level of a customer is refilled within a window.
				q.run(6 * identifier.Second)
				counts := map[string]int{}
				sent := q.load(0.6, 10*identifier.Second)
				q.run(2 * identifier.Second)
				for _, id := range sent {
					switch o := q.outcomes[id].(type) {
					case reducer.Gathered:
						counts["answered"]++
					case reducer.Declined:
						counts[string(o.Reason)]++
					}
				}
				gomega.Expect(counts["answered"]).To(gomega.BeNumerically(">=", len(sent)*98/100), "%v of %d", counts, len(sent))
			}
		})
	}
})

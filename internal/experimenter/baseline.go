package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/caller"
	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// reportInterval separates the load reports that the hosts of a baseline see.
const reportInterval = 500 * time.Millisecond

// choice is how a host of a baseline picks a server. It is sealed.
type choice interface {
	isChoice()
	fmt.Stringer
}

type (
	// twoRandom takes two servers at random and of them the one with the lower reported load.
	twoRandom struct{}
	// leastOwn takes the server with the fewest attempts of this host in flight.
	leastOwn struct{}
)

func (twoRandom) isChoice() {}
func (leastOwn) isChoice()  {}

// String names the baseline.
func (twoRandom) String() string { return "two random, reported load" }

// String names the baseline.
func (leastOwn) String() string { return "least own in flight" }

// alone is a baseline: hosts that call backend servers directly, choose alone,
// admit everything and never hedge. Each host has an even share of a server's connections.
type alone struct {
	choice      choice
	domains     []identifier.DomainID
	domainDelay time.Duration
	services    map[identifier.ServiceID][]*faker.Server
	hosts       []*soloHost
	cancel      context.CancelFunc
	group       sync.WaitGroup
}

// soloHost is one host of a baseline.
type soloHost struct {
	domain identifier.DomainID
	caller *caller.Caller

	mutex       sync.Mutex
	random      *rand.Rand
	outstanding map[identifier.ServerID]int
	reported    map[identifier.ServerID]int
}

// newAlone returns a baseline over running backend servers.
func newAlone(c choice, p demonstrator.Plan, servers []*faker.Server) *alone {
	ctx, cancel := context.WithCancel(context.Background())
	a := &alone{
		choice: c, domains: p.Domains, domainDelay: p.DomainDelay,
		services: map[identifier.ServiceID][]*faker.Server{}, cancel: cancel,
	}
	for _, s := range servers {
		service := s.Parameters().Service
		a.services[service] = append(a.services[service], s)
	}
	for i := range len(p.Domains) * p.HostsPerDomain {
		a.hosts = append(a.hosts, &soloHost{
			domain: p.Domains[i/p.HostsPerDomain], caller: caller.New(),
			random:      rand.New(rand.NewPCG(p.Seed, uint64(i))),
			outstanding: map[identifier.ServerID]int{}, reported: map[identifier.ServerID]int{},
		})
	}
	a.group.Go(func() { a.report(ctx, servers) })
	return a
}

func (a *alone) close() {
	a.cancel()
	a.group.Wait()
	a.rest()
}

// rest ends the idle connections, since the baselines share backend servers.
func (a *alone) rest() {
	for _, h := range a.hosts {
		h.caller.Close()
	}
}

// report hands the servers' reported loads to all hosts at each interval.
func (a *alone) report(ctx context.Context, servers []*faker.Server) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		for _, s := range servers {
			id, load := s.Parameters().Server, s.ReportedLoad()
			for _, h := range a.hosts {
				h.mutex.Lock()
				h.reported[id] = load
				h.mutex.Unlock()
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// ask calls one server of each shard and waits for all of them or the timeout.
func (a *alone) ask(ctx context.Context, q query) reply {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	shards := q.customer.Partition.Shards
	served := make(chan identifier.HashRange, len(shards))
	var group sync.WaitGroup
	for i, s := range shards {
		group.Go(func() {
			if a.call(ctx, q, identifier.AttemptID{
				Request: identifier.RequestID(q.token), Sequence: uint32(i),
			}, s.Range, a.services[s.Service]) {
				served <- s.Range
			}
		})
	}
	group.Wait()
	close(served)
	r := reply{kind: answered}
	var covered identifier.HashPoint
	for held := range served {
		r.parts++
		covered += held.Width()
	}
	r.coverage = identifier.Ratio(covered) / identifier.Ratio(identifier.HashSpace)
	if r.coverage < q.minCoverage {
		return reply{kind: failed}
	}
	return r
}

// call runs one attempt on a server of the host's choice.
func (a *alone) call(
	ctx context.Context, q query, id identifier.AttemptID, held identifier.HashRange, servers []*faker.Server,
) bool {
	h := a.hosts[q.host]
	server := h.choose(a.choice, servers)
	p := server.Parameters()
	defer h.release(p.Server)
	var delay time.Duration
	if p.Domain != h.domain {
		delay = a.domainDelay
	}
	time.Sleep(delay)
	deadline, _ := ctx.Deadline()
	event := h.caller.Do(ctx, reducer.Call{
		Server: p.Server, Address: server.Address(), Connections: max(1, p.Connections/identifier.Connections(len(a.hosts))),
		Attempt: id, Customer: q.customer.ID, Work: q.work,
		Snapshot: identifier.Snapshot{Epoch: p.Holdings[0].Epoch, Version: p.Holdings[0].Versions[0]},
		Range:    held, Body: fmt.Appendf(nil, "%q", q.token),
	}, identifier.MicrosOf(time.Until(deadline)))
	time.Sleep(delay)
	_, ok := event.(reducer.CallServed)
	return ok
}

// choose picks a server and counts the attempt as in flight.
func (h *soloHost) choose(c choice, servers []*faker.Server) *faker.Server {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	order := h.random.Perm(len(servers))
	var weight map[identifier.ServerID]int
	switch c.(type) {
	case twoRandom:
		order = order[:min(2, len(order))]
		weight = h.reported
	case leastOwn:
		weight = h.outstanding
	}
	best := servers[order[0]]
	for _, i := range order[1:] {
		if weight[servers[i].Parameters().Server] < weight[best.Parameters().Server] {
			best = servers[i]
		}
	}
	h.outstanding[best.Parameters().Server]++
	return best
}

func (h *soloHost) release(id identifier.ServerID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.outstanding[id]--
}

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

// loadReportInterval is the time between two load reports to the hosts of a baseline.
const loadReportInterval = 500 * time.Millisecond

// loadBalancing is the method by which a baseline's hosts pick a server. It is sealed.
type loadBalancing interface {
	isLoadBalancing()
	fmt.Stringer
}

type (
	// powerOfTwoChoices picks two random servers and uses the one with the lower
	// reported load.
	powerOfTwoChoices struct{}
	// leastOutstanding picks the server with the fewest attempts in flight from the
	// picking host.
	leastOutstanding struct{}
)

func (powerOfTwoChoices) isLoadBalancing() {}
func (leastOutstanding) isLoadBalancing()  {}

// String returns the baseline's name in reports.
func (powerOfTwoChoices) String() string { return "two random, reported load" }

// String returns the baseline's name in reports.
func (leastOutstanding) String() string { return "least own in flight" }

// baseline runs queries on hosts that call backend servers directly, pick servers
// without coordination, admit every query and never hedge. Each host has an equal
// share of a server's connections.
type baseline struct {
	balancing   loadBalancing
	domains     []identifier.DomainID
	domainDelay time.Duration
	services    map[identifier.ServiceID][]*faker.Server
	hosts       []*baselineHost
	cancel      context.CancelFunc
	group       sync.WaitGroup
}

// baselineHost is one host of a baseline.
type baselineHost struct {
	domain identifier.DomainID
	caller *caller.Caller

	mutex  sync.Mutex
	random *rand.Rand
	// outstanding counts this host's attempts in flight on each server.
	outstanding map[identifier.ServerID]int
	// reportedLoads holds the last reported load of each server.
	reportedLoads map[identifier.ServerID]int
}

// newBaseline returns a baseline that calls the running backend servers.
func newBaseline(l loadBalancing, p demonstrator.Plan, servers []*faker.Server) *baseline {
	ctx, cancel := context.WithCancel(context.Background())
	b := &baseline{
		balancing: l, domains: p.Domains, domainDelay: p.DomainDelay,
		services: map[identifier.ServiceID][]*faker.Server{}, cancel: cancel,
	}
	for _, s := range servers {
		service := s.Parameters().Service
		b.services[service] = append(b.services[service], s)
	}
	for i := range len(p.Domains) * p.HostsPerDomain {
		b.hosts = append(b.hosts, &baselineHost{
			domain: p.Domains[i/p.HostsPerDomain], caller: caller.New(),
			random:      rand.New(rand.NewPCG(p.Seed, uint64(i))),
			outstanding: map[identifier.ServerID]int{}, reportedLoads: map[identifier.ServerID]int{},
		})
	}
	b.group.Go(func() { b.updateReportedLoads(ctx, servers) })
	return b
}

func (b *baseline) close() {
	b.cancel()
	b.group.Wait()
	b.closeIdleConnections()
}

// closeIdleConnections closes the idle connections of all hosts, because the
// baselines share backend servers.
func (b *baseline) closeIdleConnections() {
	for _, h := range b.hosts {
		h.caller.Close()
	}
}

// updateReportedLoads copies the servers' reported loads to all hosts at each
// interval.
func (b *baseline) updateReportedLoads(ctx context.Context, servers []*faker.Server) {
	tick := time.NewTicker(loadReportInterval)
	defer tick.Stop()
	for {
		for _, s := range servers {
			id, load := s.Parameters().Server, s.ReportedLoad()
			for _, h := range b.hosts {
				h.mutex.Lock()
				h.reportedLoads[id] = load
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

// runQuery calls one server of each shard and waits for all of them or the timeout.
func (b *baseline) runQuery(ctx context.Context, q query) reply {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	shards := q.customer.Partition.Shards
	served := make(chan identifier.HashRange, len(shards))
	var group sync.WaitGroup
	for i, s := range shards {
		group.Go(func() {
			if b.callServer(ctx, q, identifier.AttemptID{
				Request: identifier.RequestID(q.token), Sequence: uint32(i),
			}, s.Range, b.services[s.Service]) {
				served <- s.Range
			}
		})
	}
	group.Wait()
	close(served)
	r := reply{kind: answered}
	var covered identifier.HashPoint
	for hashRange := range served {
		r.parts++
		covered += hashRange.Width()
	}
	r.coverage = identifier.Ratio(covered) / identifier.Ratio(identifier.HashSpace)
	if r.coverage < q.minCoverage {
		return reply{kind: failed}
	}
	return r
}

// callServer runs one attempt on a server that the host picks, and reports whether
// the server answered it.
func (b *baseline) callServer(
	ctx context.Context, q query, id identifier.AttemptID, hashRange identifier.HashRange, servers []*faker.Server,
) bool {
	h := b.hosts[q.host]
	server := h.pickServer(b.balancing, servers)
	p := server.Parameters()
	defer h.release(p.Server)
	var delay time.Duration
	if p.Domain != h.domain {
		delay = b.domainDelay
	}
	time.Sleep(delay)
	deadline, _ := ctx.Deadline()
	event := h.caller.Do(ctx, reducer.Call{
		Server: p.Server, Address: server.Address(), Connections: max(1, p.Connections/identifier.Connections(len(b.hosts))),
		Attempt: id, Customer: q.customer.ID, Work: q.work,
		Snapshot: identifier.Snapshot{Epoch: p.Holdings[0].Epoch, Version: p.Holdings[0].Versions[0]},
		Range:    hashRange, Body: fmt.Appendf(nil, "%q", q.token),
	}, identifier.MicrosOf(time.Until(deadline)))
	time.Sleep(delay)
	_, ok := event.(reducer.CallServed)
	return ok
}

// pickServer picks a server and counts the attempt as in flight.
func (h *baselineHost) pickServer(l loadBalancing, servers []*faker.Server) *faker.Server {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	order := h.random.Perm(len(servers))
	var load map[identifier.ServerID]int
	switch l.(type) {
	case powerOfTwoChoices:
		order = order[:min(2, len(order))]
		load = h.reportedLoads
	case leastOutstanding:
		load = h.outstanding
	}
	best := servers[order[0]]
	for _, i := range order[1:] {
		if load[servers[i].Parameters().Server] < load[best.Parameters().Server] {
			best = servers[i]
		}
	}
	h.outstanding[best.Parameters().Server]++
	return best
}

func (h *baselineHost) release(id identifier.ServerID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.outstanding[id]--
}

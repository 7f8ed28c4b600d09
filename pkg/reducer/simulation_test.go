package reducer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// simulation runs several states in one event loop with a virtual clock. Its methods inject
// faults of hosts and servers; all randomness comes from one seed.
type simulation struct {
	random  *rand.Rand
	now     identifier.Instant
	order   uint64
	queue   actionQueue
	hosts   []*simulatedHost
	servers []*simulatedServer
	epoch   identifier.Epoch
	version identifier.IndexVersion
	// configuration is the configuration version that hosts load.
	configuration identifier.Version
	requests      map[identifier.RequestID]*request
	// events counts the events that the states have reduced.
	events int
	// counts counts the Count effects by counter.
	counts map[reducer.Counter]int
	// delay is the one-way delay between failure domains, and jitter the upper limit of the random
	// delay added to every message, both in microseconds.
	delay, jitter identifier.Micros
	// control is the state of a simulation with control hosts; nil without them.
	control *controlSimulation
	// crashDowntime is how long a server stays down after a crashing request.
	crashDowntime   identifier.Micros
	isolatedDomains map[identifier.DomainID]bool
}

// scheduledAction is an action due at an instant; order breaks ties.
type scheduledAction struct {
	at     identifier.Instant
	order  uint64
	action func()
}

type actionQueue []scheduledAction

func (q actionQueue) Len() int { return len(q) }
func (q actionQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *actionQueue) Push(x any)   { *q = append(*q, x.(scheduledAction)) }
func (q *actionQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulatedHost is an entry host with one state for control and traffic.
type simulatedHost struct {
	router.Host
	state       *reducer.State
	generation  int
	wake        identifier.Instant
	frozenUntil identifier.Instant
	// ready is the result of the host's readiness probe.
	ready bool
	// lastArrivals holds the arrival time of the latest event to each host, since connections
	// keep the order of events.
	lastArrivals map[identifier.HostID]identifier.Instant
}

// simulatedServer is a simulated backend server.
type simulatedServer struct {
	leaser.Announcement
	meanLatency identifier.Micros
	slowdown    float64
	down        bool
	crashes     int
	running     map[identifier.AttemptID]bool
	queued      []func()
}

// request records one query and its replies.
type request struct {
	host           int
	hostGeneration int
	arrived        identifier.Instant
	deadline       identifier.Instant
	runs           int
	crashing       bool
	// key is set for a non-repeatable request.
	key     identifier.IdempotencyKey
	replies []reducer.Outcome
	latency identifier.Micros
}

const (
	domainCount          = 3
	queryTimeout         = 400 * identifier.Millisecond
	announcementInterval = 300 * identifier.Millisecond
	crashFingerprint     = identifier.Fingerprint(666)
)

func newSimulation(seed uint64, hosts, services int) *simulation {
	return newSimulationWith(seed, hosts, services, nil)
}

func newSimulationWith(seed uint64, hosts, services int, control *controlSimulation) *simulation {
	s := &simulation{
		control: control,
		random:  rand.New(rand.NewPCG(seed, 1)), epoch: 1, version: 1, configuration: 1,
		requests: map[identifier.RequestID]*request{}, counts: map[reducer.Counter]int{},
		delay: 1500, jitter: 300, crashDowntime: 500 * identifier.Millisecond, isolatedDomains: map[identifier.DomainID]bool{},
	}
	for i := range hosts {
		s.hosts = append(s.hosts, &simulatedHost{Host: router.Host{
			ID: identifier.HostID(fmt.Sprintf("h-%d", i)), Domain: domain(i),
		}})
	}
	for i := range hosts {
		s.startHost(i)
	}
	for i := range services * domainCount {
		b := &simulatedServer{meanLatency: 6 * identifier.Millisecond, slowdown: 1, running: map[identifier.AttemptID]bool{}}
		b.Server = identifier.ServerID(fmt.Sprintf("s-%d-%d", i/domainCount, i%domainCount))
		b.Service = serviceName(i / domainCount)
		b.Domain, b.Slots, b.Connections, b.Incarnation = domain(i), 3, 30, 1
		s.servers = append(s.servers, b)
	}
	for _, b := range s.servers {
		s.updateHoldings(b)
		s.announce(b)
	}
	s.run(2 * identifier.Second)
	return s
}

func domain(i int) identifier.DomainID {
	return identifier.DomainID(fmt.Sprintf("fd-%d", i%domainCount))
}

func serviceName(i int) identifier.ServiceID {
	return identifier.ServiceID(fmt.Sprintf("service-%d", i))
}

// partition divides the hash space among the services, which each epoch shifts by one.
func (s *simulation) partition(epoch identifier.Epoch) configurer.Partition {
	var services []identifier.ServiceID
	count := len(s.servers) / domainCount
	for i := range count {
		services = append(services, serviceName((i+int(epoch))%count))
	}
	return configurer.EvenPartition(epoch, services)
}

// updateHoldings gives a server its range of the current epoch at the current and the previous
// index version.
func (s *simulation) updateHoldings(b *simulatedServer) {
	for _, shard := range s.partition(s.epoch).Shards {
		if shard.Service == b.Service {
			b.Holdings = []leaser.Holding{{
				Epoch: s.epoch, Range: shard.Range, Versions: []identifier.IndexVersion{s.version, s.version - 1},
			}}
		}
	}
}

// after schedules an action after the duration.
func (s *simulation) after(duration identifier.Micros, action func()) {
	s.order++
	heap.Push(&s.queue, scheduledAction{s.now.Add(duration), s.order, action})
}

// run advances the clock by the duration and runs all actions that are due.
func (s *simulation) run(duration identifier.Micros) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(scheduledAction)
		s.now = next.at
		next.action()
	}
	s.now = end
}

// startHost starts or restarts a host.
func (s *simulation) startHost(i int) {
	h := s.hosts[i]
	p := reducer.Parameters{Host: h.ID, Domain: h.Domain, Strict: true}
	for _, other := range s.hosts {
		if other.ID != h.ID {
			p.Peers = append(p.Peers, other.Host)
		}
	}
	if s.control != nil {
		p.ControlHosts = s.controlHosts()
	}
	h.ready = false
	h.state, h.wake, h.lastArrivals = reducer.New(p), identifier.Never, map[identifier.HostID]identifier.Instant{}
	h.generation++
	s.reduce(h, reducer.Started{Seed: s.random.Uint64()})
	s.reduce(h, reducer.HostStarted{})
	s.loadConfiguration(h)
	s.recover(i)
}

// loadConfiguration loads the current configuration on a host.
func (s *simulation) loadConfiguration(h *simulatedHost) {
	if len(s.servers) == 0 {
		s.after(1, func() { s.loadConfiguration(h) })
		return
	}
	s.reduce(h, reducer.ConfigurationLoaded{
		Version:   s.configuration,
		Templates: []configurer.Template{s.template(1000)},
		Customers: []configurer.Customer{{ID: "desk", Template: "t", Partition: s.partition(s.epoch)}},
	})
}

// template returns the template of the simulated customer.
func (*simulation) template(timeoutMillis int64) configurer.Template {
	ranks := []configurer.RankParameters{
		{Rank: "urgent", TimeoutMillis: timeoutMillis, MinCoverage: 0.7, Floor: 0.1},
		{Rank: "standard", TimeoutMillis: 1000, MinCoverage: 0.7, Floor: 0.1},
		{Rank: "deferrable", TimeoutMillis: 1000, MinCoverage: 1, Floor: 0.1},
	}
	works := []configurer.Work{{Kind: "w-0", Rank: "urgent"}, {Kind: "w-1", Rank: "standard"}, {Kind: "w-2", Rank: "deferrable"}}
	return configurer.Template{ID: "t", Works: works, Ranks: ranks, Budgets: configurer.Budgets{Hedge: 0.05, Retry: 0.1}}
}

// pickReadyHost returns a random running host that is ready, as a load balancer does.
func (s *simulation) pickReadyHost() int {
	var ready []int
	for i, h := range s.hosts {
		if h.state != nil && h.ready {
			ready = append(ready, i)
		}
	}
	return ready[s.random.IntN(len(ready))]
}

// kill stops a host and breaks its connections; it restarts after the downtime.
func (s *simulation) kill(i int, downtime identifier.Micros) {
	h := s.hosts[i]
	if h.state == nil {
		return
	}
	h.state = nil
	h.generation++
	s.disconnect(h)
	s.after(downtime, func() { s.startHost(i) })
}

// disconnect breaks the connections of a host to all other hosts.
func (s *simulation) disconnect(h *simulatedHost) {
	for _, other := range s.hosts {
		if other == h {
			continue
		}
		s.reduce(other, reducer.PeerDisconnected{Host: h.ID})
		s.reduce(h, reducer.PeerDisconnected{Host: other.ID})
	}
}

// isolate partitions a failure domain from the others for the duration. Messages sent
// meanwhile are lost, and its connections break when the partition ends.
func (s *simulation) isolate(d identifier.DomainID, duration identifier.Micros) {
	s.isolatedDomains[d] = true
	s.after(duration, func() {
		delete(s.isolatedDomains, d)
		for _, h := range s.hosts {
			if h.Domain == d {
				s.disconnect(h)
			}
		}
	})
}

// reduce reduces an event and the events that the host sends to itself, and executes the
// effects.
func (s *simulation) reduce(h *simulatedHost, event reducer.Event) {
	if h.state == nil {
		return
	}
	if h.frozenUntil > s.now {
		generation := h.generation
		s.after(h.frozenUntil.Since(s.now), func() {
			if h.generation == generation {
				s.reduce(h, event)
			}
		})
		return
	}
	pending := []reducer.Event{event}
	for len(pending) > 0 && h.state != nil {
		next := pending[0]
		pending = pending[1:]
		s.events++
		for _, effect := range slices.Clone(h.state.Reduce(s.now, next)) {
			switch e := effect.(type) {
			case reducer.StoreRecords:
				s.storeRecords(h, e)
			case reducer.ReplyOperator:
				s.control.handleReply(h, e)
			case reducer.PublishView:
				h.ready = e.View.Ready()
				s.checkVersion(h, e.View.Configuration)
				pending = append(pending, reducer.ViewPublished{View: e.View})
			case reducer.Send:
				if e.To == h.ID {
					pending = append(pending, e.Event)
					continue
				}
				s.send(h, e)
			case reducer.Wake:
				s.scheduleWake(h, e.At)
			case reducer.Call:
				s.call(h, e)
			case reducer.CancelCall:
				s.endCall(h, e.Server, e.Attempt, reducer.CallLost{Server: e.Server, Attempt: e.Attempt})
			case reducer.Reply:
				r := s.requests[e.Request]
				r.replies = append(r.replies, e.Outcome)
				r.latency = s.now.Since(r.arrived)
			case reducer.Count:
				s.counts[e.Counter]++
			}
		}
	}
}

func (s *simulation) scheduleWake(h *simulatedHost, at identifier.Instant) {
	h.wake = at
	generation := h.generation
	s.after(max(0, at.Since(s.now)), func() {
		if h.generation == generation && h.wake == at {
			h.wake = identifier.Never
			s.reduce(h, reducer.Woken{})
		}
	})
}

// send delivers an event to another host in order; a network partition drops it. One query
// event in 100 is delivered twice.
func (s *simulation) send(from *simulatedHost, e reducer.Send) {
	for _, to := range s.hosts {
		if to.ID != e.To {
			continue
		}
		if s.isolatedDomains[from.Domain] != s.isolatedDomains[to.Domain] || (s.isolatedDomains[from.Domain] && from.Domain != to.Domain) {
			return
		}
		if to.state == nil {
			if event, ok := reducer.Undeliverable(e.To, e.Event); ok {
				s.after(1, func() { s.reduce(from, event) })
			}
			return
		}
		delay := identifier.Micros(s.random.Int64N(int64(s.jitter)))
		if from.Domain != to.Domain {
			delay += s.delay
		}
		at := max(s.now.Add(delay), from.lastArrivals[to.ID])
		from.lastArrivals[to.ID] = at
		generation, senderGeneration := to.generation, from.generation
		deliver := func() {
			if to.generation == generation && from.generation == senderGeneration {
				s.reduce(to, e.Event)
			}
		}
		s.after(at.Since(s.now), deliver)
		if _, ok := e.Event.(reducer.QueryEvent); ok && s.random.IntN(100) == 0 {
			s.after(at.Since(s.now)+identifier.Micros(s.random.Int64N(20000)), deliver)
		}
	}
}

// announce announces a server to a random host of its failure domain at every interval.
func (s *simulation) announce(b *simulatedServer) {
	if !b.down {
		b.Sequence++
		var local []*simulatedHost
		for _, h := range s.hosts {
			if h.Domain == b.Domain && h.state != nil {
				local = append(local, h)
			}
		}
		if len(local) > 0 {
			s.reduce(local[s.random.IntN(len(local))], reducer.ServerAnnounced{Announcement: b.Announcement})
		}
	}
	s.after(announcementInterval, func() { s.announce(b) })
}

// call runs a call on a simulated server. A crashing request crashes the server, and one call
// in 200 reads another snapshot than the requested one.
func (s *simulation) call(h *simulatedHost, c reducer.Call) {
	b := s.servers[slices.IndexFunc(s.servers, func(b *simulatedServer) bool { return b.Server == c.Server })]
	generation := h.generation
	answer := func(event reducer.Event) {
		s.after(200, func() {
			if h.generation == generation {
				s.reduce(h, event)
			}
		})
	}
	if b.down {
		answer(reducer.CallRefused{Server: c.Server, Attempt: c.Attempt, Reason: reducer.RefusedUnreachable})
		return
	}
	if !b.holds(c) {
		answer(reducer.CallRefused{Server: c.Server, Attempt: c.Attempt, Reason: reducer.RefusedSnapshot})
		return
	}
	r := s.requests[c.Attempt.Request]
	r.runs++
	if s.control != nil {
		s.control.recordRun(r.key, c.Range)
	}
	b.running[c.Attempt] = true
	incarnation := b.Incarnation
	if r.crashing {
		s.after(300, func() { s.crash(b, s.crashDowntime) })
	}
	read := c.Snapshot
	if s.random.IntN(200) == 0 {
		read.Version++
	}
	duration := identifier.Micros(s.random.ExpFloat64() * float64(b.meanLatency) * b.slowdown)
	s.after(duration, func() {
		if b.Incarnation == incarnation && !b.down && h.generation == generation && !r.crashing {
			s.endCall(h, c.Server, c.Attempt, reducer.CallServed{
				Server: c.Server, Attempt: c.Attempt, Snapshot: read, Range: c.Range, Body: partBody(c.Attempt.Request, read),
			})
		}
	})
	s.after(identifier.Micros(s.random.Int64N(100)), func() { s.monitorCall(h, b, incarnation, c) })
}

// partBody returns the body of a part, which names the request and the snapshot read.
func partBody(id identifier.RequestID, read identifier.Snapshot) []byte {
	return fmt.Appendf(nil, "%s at %v", id, read)
}

// monitorCall reports a call as lost when its server goes down.
func (s *simulation) monitorCall(h *simulatedHost, b *simulatedServer, incarnation identifier.Incarnation, c reducer.Call) {
	if b.Incarnation != incarnation || b.down {
		s.reduce(h, reducer.CallLost{Server: c.Server, Attempt: c.Attempt})
		return
	}
	if b.running[c.Attempt] {
		s.after(500, func() { s.monitorCall(h, b, incarnation, c) })
	}
}

func (b *simulatedServer) holds(c reducer.Call) bool {
	return slices.ContainsFunc(b.Holdings, func(h leaser.Holding) bool {
		return h.Epoch == c.Snapshot.Epoch && h.Range.Contains(c.Range) && slices.Contains(h.Versions, c.Snapshot.Version)
	})
}

func (s *simulation) endCall(h *simulatedHost, id identifier.ServerID, attempt identifier.AttemptID, event reducer.Event) {
	for _, b := range s.servers {
		if b.Server == id && b.running[attempt] {
			delete(b.running, attempt)
			s.after(0, func() { s.reduce(h, event) })
		}
	}
}

// crash takes a server down; it restarts as a new incarnation after the downtime.
func (s *simulation) crash(b *simulatedServer, downtime identifier.Micros) {
	if b.down {
		return
	}
	b.down = true
	b.crashes++
	clear(b.running)
	s.after(downtime, func() {
		b.down = false
		b.Incarnation++
		b.Sequence = 0
		s.updateHoldings(b)
	})
}

// sendQuery sends a query to a host.
func (s *simulation) sendQuery(host int, rank identifier.Rank, fingerprint identifier.Fingerprint) *request {
	id := identifier.RequestID(fmt.Sprintf("q-%d", len(s.requests)))
	h := s.hosts[host]
	r := &request{
		host: host, hostGeneration: h.generation, arrived: s.now, deadline: s.now.Add(queryTimeout),
		crashing: fingerprint == crashFingerprint,
	}
	s.requests[id] = r
	s.reduce(h, reducer.QueryArrived{
		Request: id, Customer: "desk", Work: identifier.WorkKind(fmt.Sprintf("w-%d", rank)),
		Timeout: queryTimeout, Repeatable: true, Fingerprint: fingerprint,
	})
	return r
}

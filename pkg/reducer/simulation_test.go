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

// world joins a few states by a loop with a virtual clock. Hosts and servers fail
// as the methods say; everything random comes from one seed.
type world struct {
	random  *rand.Rand
	now     identifier.Instant
	order   uint64
	queue   occurrences
	hosts   []*node
	servers []*backend
	epoch   identifier.Epoch
	version identifier.IndexVersion
	// configuration is the version of the configuration that hosts load.
	configuration identifier.Version
	requests      map[identifier.RequestID]*request
	// events counts what the states have reduced.
	events int
	// counts are the sums of the Count effects.
	counts map[reducer.Counter]int
	// delay is the one-way delay between hosts, in microseconds; jitter is added to it.
	delay, jitter identifier.Micros
	// control is what a world with control hosts has besides; nil without any.
	control *controlWorld
	// crashBack is how long a server stays down that a marked request crashed.
	crashBack identifier.Micros
	cut       map[identifier.DomainID]bool
}

// occurrence is something due at an instant.
type occurrence struct {
	at    identifier.Instant
	order uint64
	do    func()
}

type occurrences []occurrence

func (o occurrences) Len() int { return len(o) }
func (o occurrences) Less(i, j int) bool {
	return o[i].at < o[j].at || (o[i].at == o[j].at && o[i].order < o[j].order)
}
func (o occurrences) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *occurrences) Push(x any)   { *o = append(*o, x.(occurrence)) }
func (o *occurrences) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

// node is an entry host with one state for control and traffic.
type node struct {
	router.Host
	state  *reducer.State
	life   int
	wake   identifier.Instant
	frozen identifier.Instant
	// ready is what the host's probe says.
	ready bool
	// last is when the latest event on the way to each host arrives; connections keep order.
	last map[identifier.HostID]identifier.Instant
}

// backend is a fake backend server.
type backend struct {
	leaser.Announcement
	mean    identifier.Micros
	slow    float64
	down    bool
	crashes int
	running map[identifier.AttemptID]bool
	queued  []func()
}

// request is what the test knows of one query.
type request struct {
	host     int
	life     int
	arrived  identifier.Instant
	deadline identifier.Instant
	runs     int
	marked   bool
	// key is set for a request that is not repeatable.
	key     identifier.IdempotencyKey
	replies []reducer.Outcome
	latency identifier.Micros
}

const (
	worldDomains  = 3
	worldTimeout  = 400 * identifier.Millisecond
	announceEvery = 300 * identifier.Millisecond
	markedPrint   = identifier.Fingerprint(666)
)

func newWorld(seed uint64, hosts, services int) *world {
	return newWorldWith(seed, hosts, services, nil)
}

func newWorldWith(seed uint64, hosts, services int, control *controlWorld) *world {
	w := &world{
		control: control,
		random:  rand.New(rand.NewPCG(seed, 1)), epoch: 1, version: 1, configuration: 1,
		requests: map[identifier.RequestID]*request{}, counts: map[reducer.Counter]int{},
		delay: 1500, jitter: 300, crashBack: 500 * identifier.Millisecond, cut: map[identifier.DomainID]bool{},
	}
	for i := range hosts {
		w.hosts = append(w.hosts, &node{Host: router.Host{
			ID: identifier.HostID(fmt.Sprintf("h-%d", i)), Domain: domain(i),
		}})
	}
	for i := range hosts {
		w.startHost(i)
	}
	for i := range services * worldDomains {
		b := &backend{mean: 6 * identifier.Millisecond, slow: 1, running: map[identifier.AttemptID]bool{}}
		b.Server = identifier.ServerID(fmt.Sprintf("s-%d-%d", i/worldDomains, i%worldDomains))
		b.Service = serviceName(i / worldDomains)
		b.Domain, b.Slots, b.Connections, b.Incarnation = domain(i), 3, 30, 1
		w.servers = append(w.servers, b)
	}
	for _, b := range w.servers {
		w.hold(b)
		w.announce(b)
	}
	w.run(2 * identifier.Second)
	return w
}

func domain(i int) identifier.DomainID {
	return identifier.DomainID(fmt.Sprintf("fd-%d", i%worldDomains))
}

func serviceName(i int) identifier.ServiceID {
	return identifier.ServiceID(fmt.Sprintf("service-%d", i))
}

// partition divides the hash space among the services; a higher epoch shifts them by one.
func (w *world) partition(epoch identifier.Epoch) configurer.Partition {
	var services []identifier.ServiceID
	count := len(w.servers) / worldDomains
	for i := range count {
		services = append(services, serviceName((i+int(epoch))%count))
	}
	return configurer.EvenPartition(epoch, services)
}

// hold makes a server hold its range of the current epoch at the current version and the one before.
func (w *world) hold(b *backend) {
	for _, s := range w.partition(w.epoch).Shards {
		if s.Service == b.Service {
			b.Holdings = []leaser.Holding{{
				Epoch: w.epoch, Range: s.Range, Versions: []identifier.IndexVersion{w.version, w.version - 1},
			}}
		}
	}
}

// after lets something happen once the span has passed.
func (w *world) after(span identifier.Micros, do func()) {
	w.order++
	heap.Push(&w.queue, occurrence{w.now.Add(span), w.order, do})
}

// run lets the span pass.
func (w *world) run(span identifier.Micros) {
	end := w.now.Add(span)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(occurrence)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// startHost starts a host anew.
func (w *world) startHost(i int) {
	n := w.hosts[i]
	p := reducer.Parameters{Host: n.ID, Domain: n.Domain, Strict: true}
	for _, other := range w.hosts {
		if other.ID != n.ID {
			p.Peers = append(p.Peers, other.Host)
		}
	}
	if w.control != nil {
		p.ControlHosts = w.controlHosts()
	}
	n.ready = false
	n.state, n.wake, n.last = reducer.New(p), identifier.Never, map[identifier.HostID]identifier.Instant{}
	n.life++
	w.reduce(n, reducer.Started{Seed: w.random.Uint64()})
	w.reduce(n, reducer.HostStarted{})
	w.load(n)
	w.recover(i)
}

// load gives a host the configuration in force.
func (w *world) load(n *node) {
	if len(w.servers) == 0 {
		w.after(1, func() { w.load(n) })
		return
	}
	w.reduce(n, reducer.ConfigurationLoaded{
		Version:   w.configuration,
		Templates: []configurer.Template{w.template(1000)},
		Customers: []configurer.Customer{{ID: "desk", Template: "t", Partition: w.partition(w.epoch)}},
	})
}

// template is the template of the world's customer.
func (*world) template(timeoutMillis int64) configurer.Template {
	ranks := []configurer.RankParameters{
		{Rank: "urgent", TimeoutMillis: timeoutMillis, MinCoverage: 0.7, Floor: 0.1},
		{Rank: "standard", TimeoutMillis: 1000, MinCoverage: 0.7, Floor: 0.1},
		{Rank: "deferrable", TimeoutMillis: 1000, MinCoverage: 1, Floor: 0.1},
	}
	works := []configurer.Work{{Kind: "w-0", Rank: "urgent"}, {Kind: "w-1", Rank: "standard"}, {Kind: "w-2", Rank: "deferrable"}}
	return configurer.Template{ID: "t", Works: works, Ranks: ranks, Budgets: configurer.Budgets{Hedge: 0.05, Retry: 0.1}}
}

// balance returns a live host that is ready, as a balancer does.
func (w *world) balance() int {
	var ready []int
	for i, n := range w.hosts {
		if n.state != nil && n.ready {
			ready = append(ready, i)
		}
	}
	return ready[w.random.IntN(len(ready))]
}

// kill ends a host; its peers' connections break, and it starts again later.
func (w *world) kill(i int, back identifier.Micros) {
	n := w.hosts[i]
	if n.state == nil {
		return
	}
	n.state = nil
	n.life++
	w.disconnect(n)
	w.after(back, func() { w.startHost(i) })
}

// disconnect breaks the connections of a host with all others.
func (w *world) disconnect(n *node) {
	for _, other := range w.hosts {
		if other == n {
			continue
		}
		w.reduce(other, reducer.PeerDisconnected{Host: n.ID})
		w.reduce(n, reducer.PeerDisconnected{Host: other.ID})
	}
}

// isolate cuts a failure domain off; what is sent meanwhile is lost, and connections break when it heals.
func (w *world) isolate(d identifier.DomainID, span identifier.Micros) {
	w.cut[d] = true
	w.after(span, func() {
		delete(w.cut, d)
		for _, n := range w.hosts {
			if n.Domain == d {
				w.disconnect(n)
			}
		}
	})
}

// reduce gives an event to a host, with those that it sends to itself, and carries out the effects.
func (w *world) reduce(n *node, event reducer.Event) {
	if n.state == nil {
		return
	}
	if n.frozen > w.now {
		life := n.life
		w.after(n.frozen.Since(w.now), func() {
			if n.life == life {
				w.reduce(n, event)
			}
		})
		return
	}
	pending := []reducer.Event{event}
	for len(pending) > 0 && n.state != nil {
		next := pending[0]
		pending = pending[1:]
		w.events++
		for _, effect := range slices.Clone(n.state.Reduce(w.now, next)) {
			switch e := effect.(type) {
			case reducer.StoreRecords:
				w.store(n, e)
			case reducer.ReplyOperator:
				w.control.reply(n, e)
			case reducer.PublishView:
				n.ready = e.View.Ready()
				w.watchVersion(n, e.View.Configuration)
				pending = append(pending, reducer.ViewPublished{View: e.View})
			case reducer.Send:
				if e.To == n.ID {
					pending = append(pending, e.Event)
					continue
				}
				w.send(n, e)
			case reducer.Wake:
				w.wakeAt(n, e.At)
			case reducer.Call:
				w.call(n, e)
			case reducer.CancelCall:
				w.endCall(n, e.Server, e.Attempt, reducer.CallLost{Server: e.Server, Attempt: e.Attempt})
			case reducer.Reply:
				r := w.requests[e.Request]
				r.replies = append(r.replies, e.Outcome)
				r.latency = w.now.Since(r.arrived)
			case reducer.Count:
				w.counts[e.Counter]++
			}
		}
	}
}

func (w *world) wakeAt(n *node, at identifier.Instant) {
	n.wake = at
	life := n.life
	w.after(max(0, at.Since(w.now)), func() {
		if n.life == life && n.wake == at {
			n.wake = identifier.Never
			w.reduce(n, reducer.Woken{})
		}
	})
}

// send delivers an event to another host in order; a cut loses it. Results may come twice.
func (w *world) send(from *node, e reducer.Send) {
	for _, to := range w.hosts {
		if to.ID != e.To {
			continue
		}
		if w.cut[from.Domain] != w.cut[to.Domain] || (w.cut[from.Domain] && from.Domain != to.Domain) {
			return
		}
		if to.state == nil {
			if event, ok := reducer.Undeliverable(e.Event); ok {
				w.after(1, func() { w.reduce(from, event) })
			}
			return
		}
		delay := identifier.Micros(w.random.Int64N(int64(w.jitter)))
		if from.Domain != to.Domain {
			delay += w.delay
		}
		at := max(w.now.Add(delay), from.last[to.ID])
		from.last[to.ID] = at
		life, sender := to.life, from.life
		deliver := func() {
			if to.life == life && from.life == sender {
				w.reduce(to, e.Event)
			}
		}
		w.after(at.Since(w.now), deliver)
		if _, ok := e.Event.(reducer.QueryEvent); ok && w.random.IntN(100) == 0 {
			w.after(at.Since(w.now)+identifier.Micros(w.random.Int64N(20000)), deliver)
		}
	}
}

// announce lets a server announce itself to a host of its domain, again and again.
func (w *world) announce(b *backend) {
	if !b.down {
		b.Sequence++
		var near []*node
		for _, n := range w.hosts {
			if n.Domain == b.Domain && n.state != nil {
				near = append(near, n)
			}
		}
		if len(near) > 0 {
			w.reduce(near[w.random.IntN(len(near))], reducer.ServerAnnounced{Announcement: b.Announcement})
		}
	}
	w.after(announceEvery, func() { w.announce(b) })
}

// call runs a call on a fake server; a marked request crashes it, and now and
// then a server reads another snapshot than it was asked for.
func (w *world) call(n *node, c reducer.Call) {
	b := w.servers[slices.IndexFunc(w.servers, func(b *backend) bool { return b.Server == c.Server })]
	life := n.life
	answer := func(event reducer.Event) {
		w.after(200, func() {
			if n.life == life {
				w.reduce(n, event)
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
	r := w.requests[c.Attempt.Request]
	r.runs++
	if w.control != nil {
		w.control.ran(r.key, c.Range)
	}
	b.running[c.Attempt] = true
	incarnation := b.Incarnation
	if r.marked {
		w.after(300, func() { w.crash(b, w.crashBack) })
	}
	read := c.Snapshot
	if w.random.IntN(200) == 0 {
		read.Version++
	}
	span := identifier.Micros(w.random.ExpFloat64() * float64(b.mean) * b.slow)
	w.after(span, func() {
		if b.Incarnation == incarnation && !b.down && n.life == life && !r.marked {
			w.endCall(n, c.Server, c.Attempt, reducer.CallServed{
				Server: c.Server, Attempt: c.Attempt, Snapshot: read, Range: c.Range, Body: bodyOf(c.Attempt.Request, read),
			})
		}
	})
	w.after(identifier.Micros(w.random.Int64N(100)), func() { w.watch(n, b, incarnation, c) })
}

// bodyOf is the body of a part; it tells whose part it is and what was read.
func bodyOf(id identifier.RequestID, read identifier.Snapshot) []byte {
	return fmt.Appendf(nil, "%s at %v", id, read)
}

// watch reports a call as lost when its server goes down.
func (w *world) watch(n *node, b *backend, incarnation identifier.Incarnation, c reducer.Call) {
	if b.Incarnation != incarnation || b.down {
		w.reduce(n, reducer.CallLost{Server: c.Server, Attempt: c.Attempt})
		return
	}
	if b.running[c.Attempt] {
		w.after(500, func() { w.watch(n, b, incarnation, c) })
	}
}

func (b *backend) holds(c reducer.Call) bool {
	return slices.ContainsFunc(b.Holdings, func(h leaser.Holding) bool {
		return h.Epoch == c.Snapshot.Epoch && h.Range.Contains(c.Range) && slices.Contains(h.Versions, c.Snapshot.Version)
	})
}

func (w *world) endCall(n *node, id identifier.ServerID, attempt identifier.AttemptID, event reducer.Event) {
	for _, b := range w.servers {
		if b.Server == id && b.running[attempt] {
			delete(b.running, attempt)
			w.after(0, func() { w.reduce(n, event) })
		}
	}
}

// crash takes a server down; it comes back as a new incarnation.
func (w *world) crash(b *backend, back identifier.Micros) {
	if b.down {
		return
	}
	b.down = true
	b.crashes++
	clear(b.running)
	w.after(back, func() {
		b.down = false
		b.Incarnation++
		b.Sequence = 0
		w.hold(b)
	})
}

// ask sends a query to a host.
func (w *world) ask(host int, rank identifier.Rank, fingerprint identifier.Fingerprint) *request {
	id := identifier.RequestID(fmt.Sprintf("q-%d", len(w.requests)))
	n := w.hosts[host]
	r := &request{
		host: host, life: n.life, arrived: w.now, deadline: w.now.Add(worldTimeout),
		marked: fingerprint == markedPrint,
	}
	w.requests[id] = r
	w.reduce(n, reducer.QueryArrived{
		Request: id, Customer: "desk", Work: identifier.WorkKind(fmt.Sprintf("w-%d", rank)),
		Timeout: worldTimeout, Repeatable: true, Fingerprint: fingerprint,
	})
	return r
}

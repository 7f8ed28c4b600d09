package reducer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// fleet simulates three hosts, each with one state, and six backend servers in virtual time.
type fleet struct {
	now     identifier.Instant
	random  *rand.Rand
	steps   []step
	order   int
	hosts   []*fleetHost
	servers []*fleetServer
	// disconnected is set while no message passes between failure domains.
	disconnected bool
	unanswered   map[identifier.RequestID]bool
}

type step struct {
	at    identifier.Instant
	order int
	run   func()
}

type fleetHost struct {
	reducer.Parameters
	state       *reducer.State
	wakes       int
	frozenUntil identifier.Instant
	// lastArrivals holds the arrival time of the latest event to each host, so that events keep
	// their order.
	lastArrivals map[identifier.HostID]identifier.Instant
}

type fleetServer struct {
	leaser.Announcement
	running map[identifier.AttemptID]*fleetHost
	silent  bool
	// unavailableSince is when the server began to drain or became silent.
	unavailableSince identifier.Instant
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), unanswered: map[identifier.RequestID]bool{}}
	all := []router.Host{{ID: "h-1", Domain: "fd-1"}, {ID: "h-2", Domain: "fd-1"}, {ID: "h-3", Domain: "fd-2"}}
	for i, h := range all {
		p := reducer.Parameters{Host: h.ID, Domain: h.Domain, Strict: true}
		p.Peers = append(slices.Clone(all[:i]), all[i+1:]...)
		f.hosts = append(f.hosts, &fleetHost{Parameters: p, state: reducer.New(p), lastArrivals: map[identifier.HostID]identifier.Instant{}})
	}
	for i := range 6 {
		held := []identifier.HashRange{lowerHalf, upperHalf}[i%2]
		f.servers = append(f.servers, &fleetServer{
			running: map[identifier.AttemptID]*fleetHost{}, unavailableSince: identifier.Never,
			Announcement: leaser.Announcement{
				Server: identifier.ServerID(fmt.Sprintf("s-%d", i)), Incarnation: 1, Slots: 2, Connections: 5,
				Service: []identifier.ServiceID{"low", "high"}[i%2], Domain: []identifier.DomainID{"fd-1", "fd-2"}[i/2%2],
				Holdings: []leaser.Holding{{Epoch: 1, Range: held, Versions: []identifier.IndexVersion{7}}},
			},
		})
	}
	return f
}

func (f *fleet) after(duration identifier.Instant, run func()) {
	f.order++
	s := step{f.now + duration, f.order, run}
	i, _ := slices.BinarySearchFunc(f.steps, s, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	f.steps = slices.Insert(f.steps, i, s)
}

func (f *fleet) host(id identifier.HostID) *fleetHost {
	return f.hosts[slices.IndexFunc(f.hosts, func(h *fleetHost) bool { return h.Host == id })]
}

func (f *fleet) server(id identifier.ServerID) *fleetServer {
	return f.servers[slices.IndexFunc(f.servers, func(s *fleetServer) bool { return s.Server == id })]
}

// deliver reduces an event on a host; on a frozen host it waits until the freeze ends.
func (f *fleet) deliver(h *fleetHost, e reducer.Event) {
	if h.frozenUntil > f.now {
		f.after(h.frozenUntil-f.now, func() { f.deliver(h, e) })
		return
	}
	for _, effect := range slices.Clone(h.state.Reduce(f.now, e)) {
		f.execute(h, effect)
	}
}

func (f *fleet) execute(h *fleetHost, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Wake:
		h.wakes++
		wake := h.wakes
		f.after(max(e.At-f.now, 0), func() {
			if h.wakes == wake {
				f.deliver(h, reducer.Woken{})
			}
		})
	case reducer.Send:
		f.send(h, f.host(e.To), e.Event)
	case reducer.PublishView:
		f.after(0, func() { f.deliver(h, reducer.ViewPublished{View: e.View}) })
	case reducer.Call:
		f.call(h, f.server(e.Server), e)
	case reducer.CancelCall:
		f.after(ms/2, func() {
			f.endCall(f.server(e.Server), reducer.CallLost{Server: e.Server, Attempt: e.Attempt}, e.Attempt)
		})
	case reducer.Reply:
		gomega.Expect(f.unanswered).To(gomega.HaveKey(e.Request))
		delete(f.unanswered, e.Request)
	}
}

func (f *fleet) send(from, to *fleetHost, e reducer.Event) {
	if from == to {
		f.after(0, func() { f.deliver(to, e) })
		return
	}
	if f.disconnected && from.Domain != to.Domain {
		if answer, ok := reducer.Undeliverable(to.Host, e); ok {
			f.after(0, func() { f.deliver(from, answer) })
		}
		return
	}
	from.lastArrivals[to.Host] = max(from.lastArrivals[to.Host], f.now+ms/2+identifier.Instant(f.random.Int64N(int64(2*ms))))
	f.after(from.lastArrivals[to.Host]-f.now, func() { f.deliver(to, e) })
}

// call runs an attempt. A server accepts two more attempts than it has slots and sheds the rest.
func (f *fleet) call(h *fleetHost, s *fleetServer, e reducer.Call) {
	gomega.Expect(f.now.Since(s.unavailableSince)).To(gomega.BeNumerically("<", 2*identifier.Second), "new work at a server that is silent or draining")
	if len(s.running) >= int(s.Slots)+2 || s.silent {
		f.after(ms, func() {
			f.deliver(h, reducer.CallRefused{Server: s.Server, Attempt: e.Attempt, Reason: reducer.RefusedByServer})
		})
		return
	}
	s.running[e.Attempt] = h
	duration := identifier.Instant(f.random.ExpFloat64() * float64(6*ms))
	f.after(min(duration, max(e.Deadline-f.now, 0)), func() {
		f.endCall(s, reducer.CallServed{Server: s.Server, Attempt: e.Attempt, Snapshot: e.Snapshot, Range: e.Range}, e.Attempt)
	})
}

func (f *fleet) endCall(s *fleetServer, result reducer.Event, id identifier.AttemptID) {
	if h, ok := s.running[id]; ok {
		delete(s.running, id)
		f.after(ms/2, func() { f.deliver(h, result) })
	}
}

// announce sends a server's announcement to a host of its failure domain every 500 ms.
func (f *fleet) announce(s *fleetServer) {
	f.after(500*ms, func() { f.announce(s) })
	if s.silent {
		return
	}
	s.Sequence++
	for _, h := range f.hosts {
		if h.Domain == s.Domain && h.frozenUntil <= f.now {
			f.deliver(h, reducer.ServerAnnounced{Announcement: s.Announcement})
			return
		}
	}
}

// sendQueries sends queries of random kinds to random hosts, above the capacity.
func (f *fleet) sendQueries(until identifier.Instant) {
	id := identifier.RequestID(fmt.Sprintf("q-%d", f.order))
	f.unanswered[id] = true
	f.deliver(f.hosts[f.random.IntN(len(f.hosts))], reducer.QueryArrived{
		Request: id, Customer: "desk", Work: []identifier.WorkKind{"lookup", "lookup", "archive"}[f.random.IntN(3)],
		Timeout: identifier.Second, Repeatable: true,
	})
	if f.now < until {
		f.after(identifier.Instant(f.random.ExpFloat64()*float64(ms)), func() { f.sendQueries(until) })
	}
}

// injectFault injects a random fault for a random duration.
func (f *fleet) injectFault() {
	h, s := f.hosts[f.random.IntN(len(f.hosts))], f.servers[f.random.IntN(len(f.servers))]
	duration := identifier.Instant(f.random.Int64N(int64(3000 * ms)))
	switch f.random.IntN(4) {
	case 0:
		h.frozenUntil = f.now + duration
	case 1:
		f.setDisconnected(true)
		f.after(duration, func() { f.setDisconnected(false) })
	case 2:
		s.silent, s.unavailableSince = true, f.now
		f.after(duration, func() { s.silent, s.unavailableSince = false, identifier.Never })
	case 3:
		s.State, s.unavailableSince = leaser.Draining, f.now
		f.after(duration, func() { s.State, s.unavailableSince = leaser.Serving, identifier.Never })
	}
}

func (f *fleet) setDisconnected(disconnected bool) {
	f.disconnected = disconnected
	for _, h := range f.hosts {
		for _, p := range h.Peers {
			if disconnected && p.Domain != h.Domain {
				f.deliver(h, reducer.PeerDisconnected{Host: p.ID})
			}
		}
	}
}

func (f *fleet) run(until identifier.Instant) {
	for len(f.steps) > 0 && f.steps[0].at <= until {
		s := f.steps[0]
		f.steps = f.steps[1:]
		f.now = s.at
		s.run()
	}
}

var _ = ginkgo.Describe("randomised runs", func() {
	for _, seed := range []uint64{0, 1, 2, 3, 8, 9, 129, 328} {
		ginkgo.It(fmt.Sprintf("keep the owners' invariants through faults with seed %d", seed), func() {
			f := newFleet(seed)
			f.now = 1000 * identifier.Instant(identifier.Second)
			start := f.now
			for _, h := range f.hosts {
				f.deliver(h, reducer.Started{Seed: seed})
				f.deliver(h, reducer.HostStarted{})
				f.deliver(h, deskConfiguration().event)
			}
			for _, s := range f.servers {
				f.after(identifier.Instant(f.random.Int64N(int64(500*ms))), func() { f.announce(s) })
			}
			f.after(600*ms, func() { f.sendQueries(start + 6000*ms) })
			for range 6 {
				f.after(identifier.Instant(f.random.Int64N(int64(6000*ms))), f.injectFault)
			}
			f.run(start + 14000*ms)
			gomega.Expect(f.unanswered).To(gomega.BeEmpty())
			for _, h := range f.hosts {
				gomega.Expect(h.state.Idle()).To(gomega.BeTrue(), string(h.Host))
			}
		})
	}
})

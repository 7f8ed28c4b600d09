package reducer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// processRun is a group of entry hosts that gather parts for each other, start again without an end of their connections,
// and get messages late.
type processRun struct {
	random *rand.Rand
	now    identifier.Instant
	order  uint64
	queue  actionQueue
	hosts  []*processHost
	// processes counts the processes that have started, and requests those of clients.
	processes, requests uint64
	// events counts the events that the hosts reduced, answers the answers that were checked, and stale the messages that
	// hosts have recognized as stale.
	events, answers, stale int
}

// processHost is one host of a processRun.
type processHost struct {
	id      identifier.HostID
	domain  int
	process identifier.ProcessID
	state   *reducer.State
	// requests counts the requests of the process, and clientRequests holds the client's ID of each.
	requests       int
	clientRequests map[identifier.RequestID]string
	// introduced holds the processes to which this one has introduced itself on a connection, and arrivals when the last
	// message on it arrives.
	introduced map[identifier.ProcessID]bool
	arrivals   map[identifier.HostID]identifier.Instant
}

func newProcessRun(seed uint64) *processRun {
	r := &processRun{random: rand.New(rand.NewPCG(seed, 45))}
	for i := range 3 {
		r.hosts = append(r.hosts, &processHost{id: identifier.HostID(fmt.Sprintf("10.0.%d.1:70", i)), domain: i})
	}
	for _, h := range r.hosts {
		r.start(h)
	}
	return r
}

// start starts a host's next process, without telling anybody that the earlier one has ended.
func (r *processRun) start(h *processHost) {
	r.processes++
	h.process = identifier.NewProcessID(r.now, r.processes)
	h.requests, h.clientRequests = 0, map[identifier.RequestID]string{}
	h.introduced, h.arrivals = map[identifier.ProcessID]bool{}, map[identifier.HostID]identifier.Instant{}
	h.state = reducer.New(reducer.Parameters{Host: h.id, Process: h.process, Domain: domain(h.domain), Strict: true, Duty: entryDuty()})
	r.reduce(h, reducer.Started{Seed: r.random.Uint64()})
	r.reduce(h, reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: r.viewOf(h)}})
}

// viewOf returns the view of a host, whose domain has servers of one shard only.
func (r *processRun) viewOf(h *processHost) *reducer.FleetView {
	v := entryFleetView()
	for i := range shardCount {
		id := identifier.ServiceID(fmt.Sprintf("shard-%d", i))
		v.Backends[id] = slices.DeleteFunc(v.Backends[id], func(b reducer.Backend) bool {
			return b.Domain == domain(h.domain) && i > 0 || b.Domain != domain(h.domain) && i == 0
		})
	}
	for _, other := range r.hosts {
		if other != h {
			v.Delegates = append(v.Delegates, router.Host{ID: other.id, Domain: domain(other.domain)})
		}
	}
	return v
}

func (r *processRun) after(delay identifier.Micros, action func()) {
	r.order++
	heap.Push(&r.queue, scheduledAction{at: r.now.Add(delay), order: r.order, action: action})
}

func (r *processRun) run(duration identifier.Micros) {
	end := r.now.Add(duration)
	for len(r.queue) > 0 && r.queue[0].at <= end {
		next := heap.Pop(&r.queue).(scheduledAction)
		r.now = max(r.now, next.at)
		next.action()
	}
	r.now = end
}

func (r *processRun) between(least, most identifier.Micros) identifier.Micros {
	return least + identifier.Micros(r.random.Int64N(int64(most-least)))
}

func (r *processRun) reduce(h *processHost, event reducer.Event) {
	r.events++
	state := h.state
	for _, effect := range slices.Clone(state.Reduce(r.now, event)) {
		switch x := effect.(type) {
		case reducer.Wake:
			r.after(x.At.Since(r.now), func() {
				if h.state == state {
					r.reduce(h, reducer.Woken{})
				}
			})
		case reducer.Send:
			r.send(h, x)
		case reducer.Exchange:
			r.serve(h, x)
		case reducer.ReplyRequest:
			r.check(h, x)
		case reducer.Count:
			if x.Counter == reducer.StaleMessagesCounter {
				r.stale++
			}
		}
	}
}

// send delivers a message in order, but one in ten late, as on an earlier connection, and maybe to a later process.
func (r *processRun) send(from *processHost, s reducer.Send) {
	i := slices.IndexFunc(r.hosts, func(h *processHost) bool { return h.id == s.To })
	if i < 0 {
		return
	}
	to := r.hosts[i]
	if r.random.IntN(10) == 0 {
		r.after(r.between(0, maxLateness), func() { r.reduce(to, s.Event) })
		return
	}
	at := max(from.arrivals[to.id], r.now.Add(r.between(500, 3000)))
	from.arrivals[to.id] = at
	process := to.process
	introduction := reducer.ProcessIntroduced{Host: from.id, Process: from.process}
	introduces := !from.introduced[process]
	from.introduced[process] = true
	r.after(at.Since(r.now), func() {
		if introduces {
			r.reduce(to, introduction)
		}
		r.reduce(to, s.Event)
	})
}

// serve answers an attempt, some late, with a part that names the client's request.
func (r *processRun) serve(h *processHost, e reducer.Exchange) {
	delay := r.between(identifier.Millisecond, 60*identifier.Millisecond)
	if r.random.IntN(5) == 0 {
		delay = r.between(0, 2*identifier.Second)
	}
	state := h.state
	r.after(delay, func() {
		if h.state != state {
			return
		}
		if r.random.IntN(20) == 0 {
			r.reduce(h, reducer.ExchangeLost{Attempt: e.Attempt, Server: e.Server, Reason: "reset"})
			return
		}
		r.reduce(h, reducer.ExchangeAnswered{Attempt: e.Attempt, Server: e.Server, Answer: reducer.ServerAnswer{
			Success: true, Signature: string(e.Server) + " " + e.Payload.ClientRequestID, Body: fmt.Appendf(nil, "%16s", e.Payload.ClientRequestID),
		}})
	})
}

// request sends a client's request to a host.
func (r *processRun) request(h *processHost) {
	r.requests++
	h.requests++
	id := identifier.RequestID(fmt.Sprint(h.requests))
	h.clientRequests[id] = fmt.Sprint("c-", r.requests)
	r.reduce(h, reducer.RequestArrived{
		Request: id, Hostname: "a.example", Path: "/search/1", Fingerprint: identifier.Fingerprint(r.requests),
		Payload: reducer.Payload{ClientRequestID: h.clientRequests[id]},
	})
}

// check expects that an answer holds parts of its own request only.
func (r *processRun) check(h *processHost, reply reducer.ReplyRequest) {
	gathered, ok := reply.Outcome.(reducer.Gathered)
	if !ok {
		return
	}
	r.answers++
	request := h.clientRequests[reply.Request]
	for _, s := range gathered.Signatures {
		gomega.Expect(strings.Fields(s)[1]).To(gomega.Equal(request), "signatures %q", gathered.Signatures)
	}
	for record := range slices.Chunk(gathered.Body, 16) {
		gomega.Expect(strings.TrimSpace(string(record))).To(gomega.Equal(request))
	}
}

// Guards against parts of another process's request, and against a host that another one's messages end.
var _ = ginkgo.Describe("hosts that gather parts for each other and start again", func() {
	for seed := *firstSeed; seed < *firstSeed+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("never mix the parts of two requests, with seed %d", seed), func() {
			r := newProcessRun(seed)
			for range 400 {
				h := r.hosts[r.random.IntN(len(r.hosts))]
				switch r.random.IntN(4) {
				case 0:
					r.start(h)
				case 1:
					other := r.hosts[r.random.IntN(len(r.hosts))]
					if other != h {
						r.reduce(other, reducer.PeerDisconnected{Host: h.id, Process: h.process})
					}
				}
				for range 1 + r.random.IntN(4) {
					r.request(h)
				}
				r.run(r.between(0, 200*identifier.Millisecond))
			}
			r.run(maxLateness)
			ginkgo.GinkgoWriter.Printf("%d events, %d answers, %d stale messages\n", r.events, r.answers, r.stale)
			gomega.Expect(r.answers).To(gomega.BeNumerically(">", 100))
			gomega.Expect(r.stale).To(gomega.BeNumerically(">", 50))
		})
	}
})

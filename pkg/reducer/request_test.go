package reducer_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// entryHost is an entry host whose servers and clients the test simulates.
type entryHost struct {
	state *reducer.State
	now   identifier.Instant
	wake  identifier.Instant
	// sent are the exchanges in the order of their start.
	sent      []reducer.Exchange
	cancelled []identifier.ExchangeID
	messages  []reducer.Send
	outcomes  map[identifier.RequestID]reducer.RequestOutcome
	view      *reducer.FleetView
}

// entryProcess is the process of a simulated entry host.
const entryProcess identifier.ProcessID = 7

const (
	shardCount          = 4
	searchTimeout       = 400 * identifier.Millisecond
	searchTargetLatency = 100 * identifier.Millisecond
	archiveTimeout      = 1000 * identifier.Millisecond
)

// entryFleetView returns the view of a fleet with a sharded route and two routes to a single
// service, and a server of each service in each of three failure domains.
func entryFleetView() *reducer.FleetView {
	d := &declarer.Declaration{Version: 4}
	var shards []identifier.ServiceID
	for i := range shardCount {
		shards = append(shards, identifier.ServiceID(fmt.Sprintf("shard-%d", i)))
	}
	d.Routes = []declarer.Route{
		{
			ID: "search", Hostname: "a.example", PathPrefix: "/search/", Repeatable: true, Timeout: searchTimeout,
			TargetLatency: searchTargetLatency, MaxAttempts: 2, Shards: shards, TopK: 2, MinCoverage: 0.75,
		},
		{
			ID: "archive", Hostname: "a.example", PathPrefix: "/archive/", Repeatable: true, Timeout: archiveTimeout,
			TargetLatency: 500 * identifier.Millisecond, MaxAttempts: 2, Targets: []declarer.Target{{Service: "archive", Weight: 1}},
		},
		{
			ID: "post", Hostname: "a.example", PathPrefix: "/post/", Timeout: archiveTimeout,
			TargetLatency: 500 * identifier.Millisecond, MaxAttempts: 2, Targets: []declarer.Target{{Service: "archive", Weight: 1}},
		},
	}
	v := &reducer.FleetView{
		Declaration: d, Routes: matcher.New(d.Routes), HostCounts: reducer.HostCounts{Local: 1, Remote: 2},
		Services: map[identifier.ServiceID]*declarer.Service{},
		Backends: map[identifier.ServiceID][]reducer.Backend{},
	}
	for _, id := range append(shards, "archive") {
		v.Services[id] = &declarer.Service{ID: id, MaxConnections: 30}
		for n := range 3 {
			v.Backends[id] = append(v.Backends[id], reducer.Backend{Announcement: leaser.Announcement{
				Server: identifier.ServerID(fmt.Sprintf("%s-%d", id, n)), Service: id, Domain: domain(n),
				Address: "10.0.0.1:80", Slots: 3, Incarnation: 1,
			}})
		}
	}
	return v
}

func newEntryHost(v *reducer.FleetView) *entryHost {
	return newEntryHostWith(v, entryDuty())
}

func entryDuty() reducer.EntryDuty {
	return reducer.EntryDuty{
		ExtraAttempts: reducer.ExtraAttempts{Share: 0.2, Slack: 30, Window: 10 * identifier.Second}, Detour: 25 * identifier.Millisecond,
	}
}

func newEntryHostWith(v *reducer.FleetView, d reducer.EntryDuty) *entryHost {
	e := &entryHost{outcomes: map[identifier.RequestID]reducer.RequestOutcome{}, wake: identifier.Never, view: v}
	e.state = reducer.New(reducer.Parameters{Host: "10.0.0.1:70", Process: entryProcess, Domain: domain(0), Strict: true, Duty: d})
	e.reduce(reducer.Started{Seed: 1})
	e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: v}})
	return e
}

func (e *entryHost) reduce(event reducer.Event) {
	for _, effect := range slices.Clone(e.state.Reduce(e.now, event)) {
		switch x := effect.(type) {
		case reducer.Wake:
			e.wake = x.At
		case reducer.Exchange:
			e.sent = append(e.sent, x)
		case reducer.CancelExchange:
			e.cancelled = append(e.cancelled, x.Attempt)
		case reducer.ReplyRequest:
			e.outcomes[x.Request] = x.Outcome
		case reducer.Send:
			e.messages = append(e.messages, x)
		}
	}
}

// maxWakesPerMillisecond limits the wake-ups; more mean that the state spins.
const maxWakesPerMillisecond = 10

// advance advances the clock and delivers every wake-up that is due.
func (e *entryHost) advance(duration identifier.Micros) {
	end := e.now.Add(duration)
	for wakes := identifier.Micros(0); e.wake <= end; wakes++ {
		gomega.Expect(wakes).To(gomega.BeNumerically("<=", maxWakesPerMillisecond*duration/identifier.Millisecond+maxWakesPerMillisecond),
			"the state spins at %d us", e.now)
		e.now, e.wake = max(e.now, e.wake), identifier.Never
		e.reduce(reducer.Woken{})
	}
	e.now = end
}

func (e *entryHost) sendRequest(id identifier.RequestID, path string) {
	e.reduce(reducer.RequestArrived{
		Request: id, Hostname: "a.example", Path: path, Fingerprint: 7, Payload: reducer.Payload{ClientRequestID: "c-" + string(id)},
	})
}

// answer completes the exchange at the index with success.
func (e *entryHost) answer(index int) {
	x := e.sent[index]
	body := make([]byte, 16)
	body[0] = byte(index + 1)
	e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{
		Success: true, Signature: "sig-" + string(x.Server), Body: body,
	}})
}

// changeServers publishes a view with changed servers of a service, or without them if change is nil.
func (e *entryHost) changeServers(id identifier.ServiceID, change func(*reducer.Backend)) {
	e.view.Backends = maps.Clone(e.view.Backends)
	backends := slices.Clone(e.view.Backends[id])
	for i := range backends {
		if change != nil {
			change(&backends[i])
		}
	}
	if change == nil {
		backends = nil
	}
	e.view.Backends[id] = backends
	published := *e.view
	e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: &published}})
}

func (e *entryHost) fail(index int) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{Signature: "bad"}})
}

// mislead completes the exchange at the index with a failure whose status claims a success.
func (e *entryHost) mislead(index int) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{Misleading: true}})
}

func (e *entryHost) lose(index int) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeLost{Attempt: x.Attempt, Server: x.Server, Reason: "reset"})
}

// closeConnection ends the exchange at the index as a crash of its server does.
func (e *entryHost) closeConnection(index int) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeLost{Attempt: x.Attempt, Server: x.Server, Reason: "EOF", Closed: true})
}

func (e *entryHost) refuse(index int, reason reducer.ExchangeRefusal) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeRefused{Attempt: x.Attempt, Server: x.Server, Reason: reason})
}

var _ = ginkgo.Describe("a client's request", func() {
	declined := func(reason reducer.DeclineReason, ran reducer.Ran) gomega.OmegaMatcher {
		return gomega.And(
			gomega.HaveField("Reason", reason), gomega.HaveField("Ran", ran))
	}
	gathered := func(missing int) gomega.OmegaMatcher {
		return gomega.And(gomega.HaveField("Missing", missing), gomega.HaveField("Signatures", gomega.HaveLen(shardCount-missing)))
	}
	relayed := func(success bool) gomega.OmegaMatcher {
		return gomega.HaveField("Answer.Success", success)
	}
	for _, c := range []struct {
		name  string
		path  string
		steps func(e *entryHost)
		// exchanges is the total number of attempts sent.
		exchanges int
		// outcome is nil for a request that has not completed.
		outcome gomega.OmegaMatcher
	}{
		{"without a route is declined", "/other/", func(*entryHost) {}, 0, declined(reducer.NoRoute, reducer.RanNo)},
		{"gets its server's answer", "/archive/1", func(e *entryHost) { e.answer(0) }, 1, relayed(true)},
		{"gets the greatest records of all shards", "/search/1", func(e *entryHost) {
			for i := range shardCount {
				e.answer(i)
			}
		}, shardCount, gomega.And(gathered(0), gomega.HaveField("Body", gomega.HaveLen(32)))},
		{"waits for all shards before its target latency", "/search/1", func(e *entryHost) {
			for i := range shardCount - 1 {
				e.answer(i)
			}
			e.advance(20 * identifier.Millisecond)
		}, shardCount, nil},
		{"is answered in part at its target latency", "/search/1", func(e *entryHost) {
			for i := range shardCount - 1 {
				e.answer(i)
			}
			e.advance(searchTargetLatency)
		}, shardCount + 1, gathered(1)},
		{"is not answered below its minimum coverage", "/search/1", func(e *entryHost) {
			e.answer(0)
			e.answer(1)
			e.advance(searchTargetLatency)
		}, shardCount + 2, nil},
		// Waiting for the other pieces would delay the client, and waste what servers still do.
		{"ends once its minimum coverage can't be reached", "/search/1", func(e *entryHost) {
			e.lose(0)
			e.lose(1)
			e.lose(shardCount)
			e.lose(shardCount + 1)
			gomega.Expect(e.cancelled).To(gomega.HaveLen(shardCount - 2))
		}, shardCount + 2, declined(reducer.TooFewParts, reducer.RanMaybe)},
		{"is answered late once its minimum coverage is reached", "/search/1", func(e *entryHost) {
			e.answer(0)
			e.answer(1)
			e.advance(2 * searchTargetLatency)
			e.answer(2)
		}, shardCount + 2, gathered(1)},
		{"uses the answer of a hedge", "/search/1", func(e *entryHost) {
			for i := range shardCount - 1 {
				e.answer(i)
			}
			e.advance(searchTargetLatency - 20*identifier.Millisecond)
			e.answer(shardCount)
		}, shardCount + 1, gathered(0)},
		{"is retried on another server after a lost attempt", "/archive/1", func(e *entryHost) {
			e.lose(0)
			e.answer(1)
		}, 2, relayed(true)},
		{"is sent to no more servers than its route allows", "/archive/1", func(e *entryHost) {
			e.lose(0)
			e.lose(1)
		}, 2, declined(reducer.ServersFailed, reducer.RanMaybe)},
		{"is retried on another server after a failure", "/archive/1", func(e *entryHost) {
			e.fail(0)
			e.answer(1)
		}, 2, relayed(true)},
		{"gets the failure of a server when all servers fail", "/archive/1", func(e *entryHost) {
			e.fail(0)
			e.fail(1)
		}, 2, relayed(false)},
		{"that all servers refused has not run", "/archive/1", func(e *entryHost) {
			e.refuse(0, reducer.ExchangeShed)
			e.refuse(1, reducer.ExchangeShed)
			e.refuse(2, reducer.ExchangeShed)
		}, 3, declined(reducer.ServersRefused, reducer.RanNo)},
		{"that reached no server has not run", "/archive/1", func(e *entryHost) {
			for i := range 3 {
				e.refuse(i, reducer.ExchangeUnreachable)
			}
		}, 3, declined(reducer.ServersRefused, reducer.RanNo)},
		{
			"that must not be repeated is sent once when it may have run", "/post/1", func(e *entryHost) { e.lose(0) }, 1,
			declined(reducer.ServersFailed, reducer.RanMaybe),
		},
		{"that must not be repeated gets no hedge", "/post/1", func(e *entryHost) { e.advance(900 * identifier.Millisecond) }, 1, nil},
		{"gets the answer of a server that has become silent meanwhile", "/post/1", func(e *entryHost) {
			e.changeServers("archive", func(b *reducer.Backend) { b.Silent = true })
			e.advance(600 * identifier.Millisecond)
			e.answer(0)
		}, 1, relayed(true)},
		{"gets the answer of a server that has left the list meanwhile", "/post/1", func(e *entryHost) {
			e.changeServers("archive", nil)
			e.advance(600 * identifier.Millisecond)
			e.answer(0)
		}, 1, relayed(true)},
		{"is not sent again when its servers are silent for a while", "/archive/1", func(e *entryHost) {
			e.changeServers("archive", func(b *reducer.Backend) { b.Silent = true })
			e.advance(20 * identifier.Millisecond)
			e.changeServers("archive", func(b *reducer.Backend) { b.Silent = false })
			e.answer(0)
		}, 1, relayed(true)},
		{"gets the parts of shards whose servers have become silent meanwhile", "/search/1", func(e *entryHost) {
			for i := range shardCount {
				e.changeServers(identifier.ServiceID(fmt.Sprintf("shard-%d", i)), func(b *reducer.Backend) { b.Silent = true })
			}
			e.advance(10 * identifier.Millisecond)
			for i := range shardCount {
				e.answer(i)
			}
		}, shardCount, gathered(0)},
		{"that must not be repeated is retried when refused", "/post/1", func(e *entryHost) {
			e.refuse(0, reducer.ExchangeMisdirected)
			e.answer(1)
		}, 2, relayed(true)},
		{"that must not be repeated ends with its server's failure", "/post/1", func(e *entryHost) { e.fail(0) }, 1, relayed(false)},
		// A client must not take a server's failure for a success, or for proof that the request did not run.
		{
			"that must not be repeated doesn't get a misleading failure", "/post/1", func(e *entryHost) { e.mislead(0) }, 1,
			declined(reducer.ServersFailed, reducer.RanMaybe),
		},
		{"doesn't get a misleading failure when all servers fail", "/archive/1", func(e *entryHost) {
			e.mislead(0)
			e.mislead(1)
		}, 2, declined(reducer.ServersFailed, reducer.RanMaybe)},
		{"is retried on another server after a misleading failure", "/archive/1", func(e *entryHost) {
			e.mislead(0)
			e.answer(1)
		}, 2, relayed(true)},
		{
			"ends before its timeout", "/post/1", func(e *entryHost) { e.advance(archiveTimeout) }, 1,
			declined(reducer.RequestTimedOut, reducer.RanMaybe),
		},
		{"that lost two attempts sends no other one before an answer", "/search/1", func(e *entryHost) {
			e.closeConnection(0)
			e.closeConnection(1)
			e.closeConnection(2)
			e.advance(searchTargetLatency - 20*identifier.Millisecond)
		}, shardCount + 1, nil},
		{"that lost two attempts continues after an answer", "/search/1", func(e *entryHost) {
			e.closeConnection(0)
			e.closeConnection(1)
			e.answer(2)
			for i := 3; i < shardCount+2; i++ {
				e.answer(i)
			}
		}, shardCount + 2, gathered(0)},
		{"that lost all attempts sends one more", "/search/1", func(e *entryHost) {
			for i := range shardCount + 1 {
				e.closeConnection(i)
			}
		}, shardCount + 2, nil},
		{"that lost all attempts continues after an answer", "/search/1", func(e *entryHost) {
			for i := range shardCount + 1 {
				e.closeConnection(i)
			}
			for i := shardCount + 1; i < len(e.sent); i++ {
				e.answer(i)
			}
		}, shardCount + 4, gathered(1)},
		{"that lost all attempts and one more ends", "/search/1", func(e *entryHost) {
			for i := range shardCount + 2 {
				e.closeConnection(i)
			}
		}, shardCount + 2, declined(reducer.TooFewParts, reducer.RanMaybe)},
		{"needs a distinct signature for each part", "/search/1", func(e *entryHost) {
			for i := range shardCount {
				x := e.sent[i]
				e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{
					Success: true, Signature: "same",
				}})
			}
		}, shardCount + 3, nil},
	} {
		ginkgo.It(c.name, func() {
			e := newEntryHost(entryFleetView())
			e.sendRequest("q", c.path)
			c.steps(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(c.exchanges))
			if c.outcome == nil {
				gomega.Expect(e.outcomes).To(gomega.BeEmpty())
				return
			}
			gomega.Expect(e.outcomes["q"]).To(c.outcome)
		})
	}

	ginkgo.It("is declined as not run without a declaration", func() {
		e := newEntryHost(nil)
		e.sendRequest("q", "/search/1")
		gomega.Expect(e.outcomes["q"]).To(declined(reducer.NoDeclaration, reducer.RanNo))
	})

	ginkgo.It("goes to the servers of the local failure domain", func() {
		e := newEntryHost(entryFleetView())
		e.sendRequest("q", "/search/1")
		for _, x := range e.sent {
			gomega.Expect(string(x.Server)).To(gomega.HaveSuffix("-0"))
		}
	})

	ginkgo.It("cancels its attempts when the client disconnects", func() {
		e := newEntryHost(entryFleetView())
		e.sendRequest("q", "/search/1")
		e.reduce(reducer.RequestAbandoned{Request: "q"})
		gomega.Expect(e.cancelled).To(gomega.HaveLen(shardCount))
		e.advance(searchTimeout)
		gomega.Expect(e.outcomes).To(gomega.BeEmpty())
		gomega.Expect(e.sent).To(gomega.HaveLen(shardCount))
	})

	ginkgo.It("cancels the loser of a hedge", func() {
		e := newEntryHost(entryFleetView())
		e.sendRequest("q", "/archive/1")
		e.advance(450 * identifier.Millisecond)
		gomega.Expect(e.sent).To(gomega.HaveLen(2))
		e.answer(1)
		gomega.Expect(e.cancelled).To(gomega.ConsistOf(e.sent[0].Attempt))
	})

	ginkgo.It("backs off from a server that is not at its address", func() {
		e := newEntryHost(entryFleetView())
		e.sendRequest("q", "/archive/1")
		e.refuse(0, reducer.ExchangeMisdirected)
		for i := range 5 {
			e.sendRequest(identifier.RequestID(fmt.Sprint(i)), "/archive/1")
			gomega.Expect(e.sent[len(e.sent)-1].Server).NotTo(gomega.Equal(e.sent[0].Server))
		}
	})

	ginkgo.It("does not redial unreachable servers for every request", func() {
		e := newEntryHost(entryFleetView())
		const requests = 20
		for i := range requests {
			e.sendRequest(identifier.RequestID(fmt.Sprint(i)), "/search/1")
		}
		dials := 0
		for ended := 0; ended < len(e.sent); ended++ {
			x := e.sent[ended]
			if x.Server[:7] != "shard-0" {
				e.answer(ended)
			} else {
				dials++
				e.refuse(ended, reducer.ExchangeUnreachable)
			}
			if ended == len(e.sent)-1 && e.now < identifier.Instant(searchTimeout) {
				e.advance(10 * identifier.Millisecond)
				ended = min(ended, len(e.sent)-1)
			}
			for ended == len(e.sent)-1 && e.now < identifier.Instant(searchTimeout) {
				e.advance(10 * identifier.Millisecond)
			}
		}
		// Each of the three servers is dialed at most once by every request that finds it
		// available, and then again at 100, 300 and 700 ms.
		gomega.Expect(dials).To(gomega.BeNumerically("<=", 3*(requests+4)))
	})

	ginkgo.It("is declined early when its service has no server", func() {
		v := entryFleetView()
		v.Backends["archive"] = nil
		e := newEntryHost(v)
		e.sendRequest("q", "/archive/1")
		e.advance(200 * identifier.Millisecond)
		gomega.Expect(e.outcomes["q"]).To(declined(reducer.NoServer, reducer.RanNo))
	})

	ginkgo.It("keeps its retries within the budget", func() {
		e := newEntryHost(entryFleetView())
		const requests = 500
		for i := range requests {
			e.sendRequest(identifier.RequestID(fmt.Sprint(i)), "/archive/1")
			e.refuse(len(e.sent)-1, reducer.ExchangeShed)
			for e.outcomes[identifier.RequestID(fmt.Sprint(i))] == nil {
				before := len(e.sent)
				e.advance(10 * identifier.Millisecond)
				if len(e.sent) > before {
					e.refuse(len(e.sent)-1, reducer.ExchangeShed)
				}
			}
		}
		windows := 1 + int(e.now/identifier.Instant(10*identifier.Second))
		gomega.Expect(len(e.sent) - requests).To(gomega.BeNumerically("<=", requests/5+30*windows))
	})
})

var _ = ginkgo.Describe("parts gathered by another host", func() {
	// remoteFleetView adds eight shards without a server in the first failure domain.
	remoteFleetView := func() *reducer.FleetView {
		v := entryFleetView()
		d := v.Declaration
		for i := range 8 {
			id := identifier.ServiceID(fmt.Sprintf("far-%d", i))
			v.Services[id] = &declarer.Service{ID: id, MaxConnections: 30}
			v.Backends[id] = []reducer.Backend{{Announcement: leaser.Announcement{
				Server: identifier.ServerID(id + "-1"), Service: id, Domain: domain(1), Slots: 3, Incarnation: 1,
			}}}
			d.Routes[0].Shards = append(d.Routes[0].Shards, id)
		}
		v.Routes = matcher.New(d.Routes)
		v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
		return v
	}
	partsRequested := func(e *entryHost) reducer.PartsRequested {
		gomega.Expect(e.messages).NotTo(gomega.BeEmpty())
		gomega.Expect(e.messages[0].To).To(gomega.Equal(identifier.HostID("10.0.1.1:70")))
		return e.messages[0].Event.(reducer.PartsRequested)
	}
	partsDelivered := func(from, to int) reducer.PartsDelivered {
		delivered := reducer.PartsDelivered{From: "10.0.1.1:70", Process: entryProcess, Request: "q", Body: make([]byte, 16)}
		for i := from; i < to; i++ {
			id := identifier.ServiceID(fmt.Sprintf("far-%d", i))
			delivered.Parts = append(delivered.Parts, reducer.DelegatedPart{Service: id, Signature: "sig-" + string(id)})
		}
		return delivered
	}
	for _, c := range []struct {
		name      string
		steps     func(e *entryHost)
		exchanges int
		missing   int
	}{
		{"complete the answer", func(e *entryHost) { e.reduce(partsDelivered(0, 8)) }, shardCount, 0},
		{"may arrive one by one", func(e *entryHost) {
			e.reduce(partsDelivered(0, 5))
			for i := 5; i < 8; i++ {
				e.reduce(partsDelivered(i, i+1))
			}
		}, shardCount, 0},
		{"are requested directly when the delegate was never reached", func(e *entryHost) {
			e.reduce(reducer.PartsDelivered{From: "10.0.1.1:70", Process: entryProcess, Request: "q", Unsent: true, Ended: true})
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"are requested directly when the delegate is late", func(e *entryHost) {
			e.advance(searchTargetLatency - 20*identifier.Millisecond)
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"replace a part that arrived directly in the meantime", func(e *entryHost) {
			e.advance(searchTargetLatency - 20*identifier.Millisecond)
			e.answer(shardCount + 3)
			e.reduce(partsDelivered(0, 8))
		}, shardCount + 8, 0},
		{"are requested directly when one has the signature of another part", func(e *entryHost) {
			delivered := partsDelivered(0, 8)
			delivered.Parts[2].Signature = "sig-" + string(e.sent[0].Server)
			e.reduce(delivered)
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"are ignored when they arrived directly before", func(e *entryHost) {
			e.advance(searchTargetLatency - 20*identifier.Millisecond)
			e.answer(shardCount + 3)
			e.reduce(partsDelivered(3, 4))
			e.reduce(partsDelivered(0, 3))
			e.reduce(partsDelivered(4, 8))
		}, shardCount + 8, 0},
		{"are requested directly when the connection ends", func(e *entryHost) {
			e.reduce(reducer.PeerDisconnected{Host: "10.0.1.1:70"})
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"are not used when one of them has arrived already", func(e *entryHost) {
			e.advance(searchTargetLatency - 20*identifier.Millisecond)
			e.answer(shardCount)
			e.reduce(partsDelivered(0, 8))
			for i := 1; i < 8; i++ {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
	} {
		ginkgo.It(c.name, func() {
			e := newEntryHost(remoteFleetView())
			e.sendRequest("q", "/search/1")
			gomega.Expect(partsRequested(e).Services).To(gomega.HaveLen(8))
			for i := range shardCount {
				e.answer(i)
			}
			c.steps(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(c.exchanges))
			gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Missing", c.missing))
			gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Signatures", gomega.HaveLen(shardCount+8-c.missing)))
		})
	}

	// A delegate that can't be reached must not end the delegation to another one, which still runs the request.
	for _, c := range []struct {
		name string
		// unreachable is the failure domain of the delegate that can't be reached.
		unreachable int
	}{
		{"of the first domain", 1},
		{"of the second domain", 2},
	} {
		ginkgo.It("are requested directly only from servers of the delegate that was never reached, "+c.name, func() {
			v := remoteFleetView()
			for i := range 4 {
				v.Backends[identifier.ServiceID(fmt.Sprintf("far-%d", i))][0].Domain = domain(2)
			}
			v.Delegates = append(v.Delegates, router.Host{ID: "10.0.2.1:70", Domain: domain(2)})
			e := newEntryHost(v)
			e.sendRequest("q", "/search/1")
			gomega.Expect(e.messages).To(gomega.HaveLen(2))
			for _, m := range e.messages {
				if m.To != identifier.HostID(fmt.Sprintf("10.0.%d.1:70", c.unreachable)) {
					continue
				}
				report, ok := reducer.Undeliverable(m.To, m.Event)
				gomega.Expect(ok).To(gomega.BeTrue())
				e.reduce(report)
			}
			gomega.Expect(e.sent).To(gomega.HaveLen(shardCount + 4))
			for _, x := range e.sent[shardCount:] {
				service := identifier.ServiceID(strings.TrimSuffix(string(x.Server), "-1"))
				gomega.Expect(v.Backends[service][0].Domain).To(gomega.Equal(domain(c.unreachable)))
			}
		})
	}

	ginkgo.It("are cancelled when the client disconnects", func() {
		e := newEntryHost(remoteFleetView())
		e.sendRequest("q", "/search/1")
		e.reduce(reducer.RequestAbandoned{Request: "q"})
		gomega.Expect(e.messages[len(e.messages)-1].Event).To(gomega.Equal(reducer.PartsCancelled{From: "10.0.0.1:70", Process: entryProcess, Request: "q"}))
	})

	for _, c := range []struct {
		name  string
		steps func(e *entryHost)
		// batches is the number of parts in each message, and failed the number reported missing.
		batches []int
		failed  int
	}{
		{"are sent together when all have arrived", func(e *entryHost) {
			for i := range shardCount {
				e.answer(i)
			}
		}, []int{shardCount}, 0},
		{"are sent when the flush is due, and one by one afterwards", func(e *entryHost) {
			e.answer(0)
			e.answer(1)
			e.advance(50 * identifier.Millisecond)
			e.answer(2)
			e.answer(3)
		}, []int{2, 1, 1}, 0},
		{"are reported missing at once when lost", func(e *entryHost) {
			e.lose(0)
			for i := 1; i < shardCount; i++ {
				e.answer(i)
			}
		}, []int{shardCount - 1}, 1},
		{"are requested again when no server could be reached", func(e *entryHost) {
			for i := 1; i < shardCount; i++ {
				e.answer(i)
			}
			for _, i := range []int{0, shardCount, shardCount + 1} {
				e.refuse(i, reducer.ExchangeUnreachable)
			}
			e.advance(200 * identifier.Millisecond)
			e.answer(shardCount + 2)
		}, []int{shardCount - 1, 1}, 0},
	} {
		ginkgo.It(c.name+", by the delegate", func() {
			e := newEntryHost(entryFleetView())
			e.reduce(reducer.PartsRequested{
				From: "10.0.2.1:70", Process: 1, Request: "r", Services: e.searchShards(), TopK: 2,
				Flush: 40 * identifier.Millisecond, Remaining: 300 * identifier.Millisecond,
			})
			c.steps(e)
			var batches []int
			failed := 0
			for _, m := range e.messages {
				delivered := m.Event.(reducer.PartsDelivered)
				gomega.Expect(m.To).To(gomega.Equal(identifier.HostID("10.0.2.1:70")))
				if len(delivered.Parts) > 0 {
					batches = append(batches, len(delivered.Parts))
				}
				failed += len(delivered.Failed)
			}
			gomega.Expect(batches).To(gomega.Equal(c.batches))
			gomega.Expect(failed).To(gomega.Equal(c.failed))
			last := e.messages[len(e.messages)-1].Event.(reducer.PartsDelivered)
			gomega.Expect(last.Ended).To(gomega.BeTrue())
		})
	}
})

func (e *entryHost) searchShards() []identifier.ServiceID {
	return entryFleetView().Declaration.Routes[0].Shards
}

// addShards adds shards to the first route of a fleet's view, each with a server in each of three failure domains.
func addShards(v *reducer.FleetView, count int) {
	for i := range count {
		id := identifier.ServiceID(fmt.Sprintf("more-%d", i))
		v.Services[id] = &declarer.Service{ID: id, MaxConnections: 30}
		for d := range 3 {
			v.Backends[id] = append(v.Backends[id], reducer.Backend{Announcement: leaser.Announcement{
				Server: identifier.ServerID(fmt.Sprintf("%s-%d", id, d)), Service: id, Domain: domain(d), Slots: 3, Incarnation: 1,
			}})
		}
		v.Declaration.Routes[0].Shards = append(v.Declaration.Routes[0].Shards, id)
	}
	v.Routes = matcher.New(v.Declaration.Routes)
}

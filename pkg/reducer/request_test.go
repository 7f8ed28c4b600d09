package reducer_test

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// entry is an entry host whose servers and clients the test plays.
type entry struct {
	state *reducer.State
	now   identifier.Instant
	wake  identifier.Instant
	// sent are the exchanges in order; answered are those that have ended.
	sent      []reducer.Exchange
	cancelled []identifier.AttemptID
	messages  []reducer.Send
	outcomes  map[identifier.RequestID]reducer.RequestOutcome
}

const (
	shardCount     = 4
	searchTimeout  = 400 * identifier.Millisecond
	searchTarget   = 100 * identifier.Millisecond
	archiveTimeout = 1000 * identifier.Millisecond
)

// entryFleet is a declaration of a sharded route and two plain ones, with a server of each
// service in each of three failure domains.
func entryFleet() *reducer.FleetView {
	d := &declarer.Declaration{Version: 4}
	var shards []identifier.ServiceID
	for i := range shardCount {
		shards = append(shards, identifier.ServiceID(fmt.Sprintf("shard-%d", i)))
	}
	d.Routes = []declarer.Route{
		{
			ID: "search", Hostname: "a.example", PathPrefix: "/search/", Repeatable: true, Timeout: searchTimeout,
			Objective: searchTarget, Attempts: 2, Shards: shards, Greatest: 2, MinCoverage: 0.75,
		},
		{
			ID: "archive", Hostname: "a.example", PathPrefix: "/archive/", Repeatable: true, Timeout: archiveTimeout,
			Objective: 500 * identifier.Millisecond, Attempts: 2, Targets: []declarer.Target{{Service: "archive", Weight: 1}},
		},
		{
			ID: "post", Hostname: "a.example", PathPrefix: "/post/", Timeout: archiveTimeout,
			Objective: 500 * identifier.Millisecond, Attempts: 2, Targets: []declarer.Target{{Service: "archive", Weight: 1}},
		},
	}
	v := &reducer.FleetView{
		Declaration: d, Routes: matcher.New(d.Routes), Sharers: reducer.Sharers{Near: 1, Far: 2},
		Services: map[identifier.ServiceID]*declarer.Service{},
		Backends: map[identifier.ServiceID][]reducer.Backend{},
	}
	for _, id := range append(shards, "archive") {
		v.Services[id] = &declarer.Service{ID: id, Connections: 30}
		for n := range 3 {
			v.Backends[id] = append(v.Backends[id], reducer.Backend{Announcement: leaser.Announcement{
				Server: identifier.ServerID(fmt.Sprintf("%s-%d", id, n)), Service: id, Domain: domain(n),
				Address: "10.0.0.1:80", Slots: 3, Incarnation: 1,
			}})
		}
	}
	return v
}

func newEntry(v *reducer.FleetView) *entry {
	e := &entry{outcomes: map[identifier.RequestID]reducer.RequestOutcome{}, wake: identifier.Never}
	e.state = reducer.New(reducer.Parameters{
		Host: "10.0.0.1:70", Domain: domain(0), Strict: true,
		Duty: reducer.EntryDuty{
			ExtraAttempts: reducer.ExtraAttempts{Share: 0.2, Slack: 30, Window: 10 * identifier.Second}, Detour: 25 * identifier.Millisecond,
		},
	})
	e.reduce(reducer.Started{Seed: 1})
	e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: v}})
	return e
}

func (e *entry) reduce(event reducer.Event) {
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

// wakesPerMillisecond bounds the wake-ups in a span: more mean that the state spins.
const wakesPerMillisecond = 10

// pass lets time pass, with every wake-up on the way.
func (e *entry) pass(span identifier.Micros) {
	end := e.now.Add(span)
	for wakes := identifier.Micros(0); e.wake <= end; wakes++ {
		gomega.Expect(wakes).To(gomega.BeNumerically("<=", wakesPerMillisecond*span/identifier.Millisecond+wakesPerMillisecond),
			"the state spins at %d us", e.now)
		e.now, e.wake = max(e.now, e.wake), identifier.Never
		e.reduce(reducer.Woken{})
	}
	e.now = end
}

func (e *entry) arrive(id identifier.RequestID, path string) {
	e.reduce(reducer.RequestArrived{
		Request: id, Hostname: "a.example", Path: path, Parcel: reducer.Parcel{Client: "c-" + string(id)},
	})
}

// answer ends the exchange at the index with success.
func (e *entry) answer(index int) {
	x := e.sent[index]
	body := make([]byte, 16)
	body[0] = byte(index + 1)
	e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{
		Success: true, Signature: "sig-" + string(x.Server), Body: body,
	}})
}

func (e *entry) fail(index int) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{Signature: "bad"}})
}

func (e *entry) lose(index int) {
	x := e.sent[index]
	e.reduce(reducer.ExchangeLost{Attempt: x.Attempt, Server: x.Server, Reason: "reset"})
}

func (e *entry) refuse(index int, reason reducer.ExchangeRefusal) {
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
		name string
		path string
		play func(e *entry)
		// exchanges is how many attempts were sent in all.
		exchanges int
		// outcome is nil for a request that has not ended.
		outcome gomega.OmegaMatcher
	}{
		{"without a route is declined", "/other/", func(*entry) {}, 0, declined(reducer.NoRoute, reducer.RanNo)},
		{"gets its server's answer", "/archive/1", func(e *entry) { e.answer(0) }, 1, relayed(true)},
		{"gets the greatest records of all shards", "/search/1", func(e *entry) {
			for i := range shardCount {
				e.answer(i)
			}
		}, shardCount, gomega.And(gathered(0), gomega.HaveField("Body", gomega.HaveLen(32)))},
		{"waits for all shards before its objective", "/search/1", func(e *entry) {
			for i := range shardCount - 1 {
				e.answer(i)
			}
			e.pass(20 * identifier.Millisecond)
		}, shardCount, nil},
		{"is answered in part at its objective", "/search/1", func(e *entry) {
			for i := range shardCount - 1 {
				e.answer(i)
			}
			e.pass(searchTarget)
		}, shardCount + 1, gathered(1)},
		{"is not answered below its least coverage", "/search/1", func(e *entry) {
			e.answer(0)
			e.answer(1)
			e.pass(searchTarget)
		}, shardCount + 2, nil},
		{"is answered late once its least coverage is reached", "/search/1", func(e *entry) {
			e.answer(0)
			e.answer(1)
			e.pass(2 * searchTarget)
			e.answer(2)
		}, shardCount + 2, gathered(1)},
		{"takes the answer of a hedge", "/search/1", func(e *entry) {
			for i := range shardCount - 1 {
				e.answer(i)
			}
			e.pass(searchTarget - 20*identifier.Millisecond)
			e.answer(shardCount)
		}, shardCount + 1, gathered(0)},
		{"goes to another server after a loss", "/archive/1", func(e *entry) {
			e.lose(0)
			e.answer(1)
		}, 2, relayed(true)},
		{"is sent to no more servers than its route allows", "/archive/1", func(e *entry) {
			e.lose(0)
			e.lose(1)
		}, 2, declined(reducer.ServersFailed, reducer.RanMaybe)},
		{"goes to another server after a failure", "/archive/1", func(e *entry) {
			e.fail(0)
			e.answer(1)
		}, 2, relayed(true)},
		{"gets the failure of its servers when all fail", "/archive/1", func(e *entry) {
			e.fail(0)
			e.fail(1)
		}, 2, relayed(false)},
		{"that was refused everywhere has not run", "/archive/1", func(e *entry) {
			e.refuse(0, reducer.ExchangeShed)
			e.refuse(1, reducer.ExchangeShed)
			e.refuse(2, reducer.ExchangeShed)
		}, 3, declined(reducer.ServersRefused, reducer.RanNo)},
		{"that reached no server has not run", "/archive/1", func(e *entry) {
			for i := range 3 {
				e.refuse(i, reducer.ExchangeUnreachable)
			}
		}, 3, declined(reducer.ServersRefused, reducer.RanNo)},
		{
			"that must not be repeated is sent once when it may have run", "/post/1", func(e *entry) { e.lose(0) }, 1,
			declined(reducer.ServersFailed, reducer.RanMaybe),
		},
		{"that must not be repeated gets no hedge", "/post/1", func(e *entry) { e.pass(900 * identifier.Millisecond) }, 1, nil},
		{"that must not be repeated is sent again when refused", "/post/1", func(e *entry) {
			e.refuse(0, reducer.ExchangeMisdirected)
			e.answer(1)
		}, 2, relayed(true)},
		{"that must not be repeated ends with its server's failure", "/post/1", func(e *entry) { e.fail(0) }, 1, relayed(false)},
		{
			"ends before its timeout", "/post/1", func(e *entry) { e.pass(archiveTimeout) }, 1,
			declined(reducer.RequestOverdue, reducer.RanMaybe),
		},
		{"needs signatures of its own for all parts", "/search/1", func(e *entry) {
			for i := range shardCount {
				x := e.sent[i]
				e.reduce(reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{
					Success: true, Signature: "same",
				}})
			}
		}, shardCount + 3, nil},
	} {
		ginkgo.It(c.name, func() {
			e := newEntry(entryFleet())
			e.arrive("q", c.path)
			c.play(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(c.exchanges))
			if c.outcome == nil {
				gomega.Expect(e.outcomes).To(gomega.BeEmpty())
				return
			}
			gomega.Expect(e.outcomes["q"]).To(c.outcome)
		})
	}

	ginkgo.It("is declined as not run without a declaration", func() {
		e := newEntry(nil)
		e.arrive("q", "/search/1")
		gomega.Expect(e.outcomes["q"]).To(declined(reducer.NoDeclaration, reducer.RanNo))
	})

	ginkgo.It("goes to the servers of the own failure domain", func() {
		e := newEntry(entryFleet())
		e.arrive("q", "/search/1")
		for _, x := range e.sent {
			gomega.Expect(string(x.Server)).To(gomega.HaveSuffix("-0"))
		}
	})

	ginkgo.It("cancels its attempts when the client leaves", func() {
		e := newEntry(entryFleet())
		e.arrive("q", "/search/1")
		e.reduce(reducer.RequestAbandoned{Request: "q"})
		gomega.Expect(e.cancelled).To(gomega.HaveLen(shardCount))
		e.pass(searchTimeout)
		gomega.Expect(e.outcomes).To(gomega.BeEmpty())
		gomega.Expect(e.sent).To(gomega.HaveLen(shardCount))
	})

	ginkgo.It("cancels the loser of a hedge", func() {
		e := newEntry(entryFleet())
		e.arrive("q", "/archive/1")
		e.pass(450 * identifier.Millisecond)
		gomega.Expect(e.sent).To(gomega.HaveLen(2))
		e.answer(1)
		gomega.Expect(e.cancelled).To(gomega.ConsistOf(e.sent[0].Attempt))
	})

	ginkgo.It("leaves a server alone that is not at its address", func() {
		e := newEntry(entryFleet())
		e.arrive("q", "/archive/1")
		e.refuse(0, reducer.ExchangeMisdirected)
		for i := range 5 {
			e.arrive(identifier.RequestID(fmt.Sprint(i)), "/archive/1")
			gomega.Expect(e.sent[len(e.sent)-1].Server).NotTo(gomega.Equal(e.sent[0].Server))
		}
	})

	ginkgo.It("does not dial unreachable servers for every request again and again", func() {
		e := newEntry(entryFleet())
		const requests = 20
		for i := range requests {
			e.arrive(identifier.RequestID(fmt.Sprint(i)), "/search/1")
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
				e.pass(10 * identifier.Millisecond)
				ended = min(ended, len(e.sent)-1)
			}
			for ended == len(e.sent)-1 && e.now < identifier.Instant(searchTimeout) {
				e.pass(10 * identifier.Millisecond)
			}
		}
		// Each of the three servers is tried by every request that finds it up, and then at
		// 100, 300 and 700 ms.
		gomega.Expect(dials).To(gomega.BeNumerically("<=", 3*(requests+4)))
	})

	ginkgo.It("is declined early when its service has no server", func() {
		v := entryFleet()
		v.Backends["archive"] = nil
		e := newEntry(v)
		e.arrive("q", "/archive/1")
		e.pass(200 * identifier.Millisecond)
		gomega.Expect(e.outcomes["q"]).To(declined(reducer.NoServer, reducer.RanNo))
	})

	ginkgo.It("keeps what it sends again within the budget", func() {
		e := newEntry(entryFleet())
		const requests = 500
		for i := range requests {
			e.arrive(identifier.RequestID(fmt.Sprint(i)), "/archive/1")
			e.refuse(len(e.sent)-1, reducer.ExchangeShed)
			for e.outcomes[identifier.RequestID(fmt.Sprint(i))] == nil {
				before := len(e.sent)
				e.pass(10 * identifier.Millisecond)
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
	// far is a fleet whose shards have no server in the first failure domain.
	far := func() *reducer.FleetView {
		v := entryFleet()
		d := v.Declaration
		for i := range 8 {
			id := identifier.ServiceID(fmt.Sprintf("far-%d", i))
			v.Services[id] = &declarer.Service{ID: id, Connections: 30}
			v.Backends[id] = []reducer.Backend{{Announcement: leaser.Announcement{
				Server: identifier.ServerID(id + "-1"), Service: id, Domain: domain(1), Slots: 3, Incarnation: 1,
			}}}
			d.Routes[0].Shards = append(d.Routes[0].Shards, id)
		}
		v.Routes = matcher.New(d.Routes)
		v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
		return v
	}
	wanted := func(e *entry) reducer.PartsWanted {
		gomega.Expect(e.messages).NotTo(gomega.BeEmpty())
		gomega.Expect(e.messages[0].To).To(gomega.Equal(identifier.HostID("10.0.1.1:70")))
		return e.messages[0].Event.(reducer.PartsWanted)
	}
	parts := func(from, to int) reducer.PartsCame {
		came := reducer.PartsCame{From: "10.0.1.1:70", Request: "q", Body: make([]byte, 16)}
		for i := from; i < to; i++ {
			id := identifier.ServiceID(fmt.Sprintf("far-%d", i))
			came.Parts = append(came.Parts, reducer.DelegatedPart{Service: id, Signature: "sig-" + string(id)})
		}
		return came
	}
	for _, c := range []struct {
		name      string
		play      func(e *entry)
		exchanges int
		missing   int
	}{
		{"complete the answer", func(e *entry) { e.reduce(parts(0, 8)) }, shardCount, 0},
		{"may come one by one", func(e *entry) {
			e.reduce(parts(0, 5))
			for i := 5; i < 8; i++ {
				e.reduce(parts(i, i+1))
			}
		}, shardCount, 0},
		{"are asked for directly when the host was never reached", func(e *entry) {
			e.reduce(reducer.PartsCame{Request: "q", Unsent: true, Ended: true})
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"are asked for directly when the host is late", func(e *entry) {
			e.pass(searchTarget - 20*identifier.Millisecond)
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"take the place of one that came directly meanwhile", func(e *entry) {
			e.pass(searchTarget - 20*identifier.Millisecond)
			e.answer(shardCount + 3)
			e.reduce(parts(0, 8))
		}, shardCount + 8, 0},
		{"are asked for directly when one has the signature of another part", func(e *entry) {
			came := parts(0, 8)
			came.Parts[2].Signature = "sig-" + string(e.sent[0].Server)
			e.reduce(came)
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"are left out when they came directly before", func(e *entry) {
			e.pass(searchTarget - 20*identifier.Millisecond)
			e.answer(shardCount + 3)
			e.reduce(parts(3, 4))
			e.reduce(parts(0, 3))
			e.reduce(parts(4, 8))
		}, shardCount + 8, 0},
		{"are asked for directly when the connection ends", func(e *entry) {
			e.reduce(reducer.PeerDisconnected{Host: "10.0.1.1:70"})
			for i := range 8 {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
		{"are not used when one of them is in already", func(e *entry) {
			e.pass(searchTarget - 20*identifier.Millisecond)
			e.answer(shardCount)
			e.reduce(parts(0, 8))
			for i := 1; i < 8; i++ {
				e.answer(shardCount + i)
			}
		}, shardCount + 8, 0},
	} {
		ginkgo.It(c.name, func() {
			e := newEntry(far())
			e.arrive("q", "/search/1")
			gomega.Expect(wanted(e).Services).To(gomega.HaveLen(8))
			for i := range shardCount {
				e.answer(i)
			}
			c.play(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(c.exchanges))
			gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Missing", c.missing))
			gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Signatures", gomega.HaveLen(shardCount+8-c.missing)))
		})
	}

	ginkgo.It("are withdrawn when the client leaves", func() {
		e := newEntry(far())
		e.arrive("q", "/search/1")
		e.reduce(reducer.RequestAbandoned{Request: "q"})
		gomega.Expect(e.messages[len(e.messages)-1].Event).To(gomega.Equal(reducer.PartsDropped{From: "10.0.0.1:70", Request: "q"}))
	})

	for _, c := range []struct {
		name string
		play func(e *entry)
		// told is how many parts were sent in each message, and failed how many were reported missing.
		told   []int
		failed int
	}{
		{"are sent together when all are in", func(e *entry) {
			for i := range shardCount {
				e.answer(i)
			}
		}, []int{shardCount}, 0},
		{"are sent when the time has come, and one by one from then on", func(e *entry) {
			e.answer(0)
			e.answer(1)
			e.pass(50 * identifier.Millisecond)
			e.answer(2)
			e.answer(3)
		}, []int{2, 1, 1}, 0},
		{"are reported missing at once when lost", func(e *entry) {
			e.lose(0)
			for i := 1; i < shardCount; i++ {
				e.answer(i)
			}
		}, []int{shardCount - 1}, 1},
		{"are asked for again when no server could be reached", func(e *entry) {
			for i := 1; i < shardCount; i++ {
				e.answer(i)
			}
			for _, i := range []int{0, shardCount, shardCount + 1} {
				e.refuse(i, reducer.ExchangeUnreachable)
			}
			e.pass(200 * identifier.Millisecond)
			e.answer(shardCount + 2)
		}, []int{shardCount - 1, 1}, 0},
	} {
		ginkgo.It(c.name+", by the host that gathers", func() {
			e := newEntry(entryFleet())
			e.reduce(reducer.PartsWanted{
				From: "10.0.2.1:70", Request: "r", Services: e.services(), Greatest: 2,
				Flush: 40 * identifier.Millisecond, Remaining: 300 * identifier.Millisecond,
			})
			c.play(e)
			var told []int
			failed := 0
			for _, m := range e.messages {
				came := m.Event.(reducer.PartsCame)
				gomega.Expect(m.To).To(gomega.Equal(identifier.HostID("10.0.2.1:70")))
				if len(came.Parts) > 0 {
					told = append(told, len(came.Parts))
				}
				failed += len(came.Failed)
			}
			gomega.Expect(told).To(gomega.Equal(c.told))
			gomega.Expect(failed).To(gomega.Equal(c.failed))
			last := e.messages[len(e.messages)-1].Event.(reducer.PartsCame)
			gomega.Expect(last.Ended).To(gomega.BeTrue())
		})
	}
})

func (e *entry) services() []identifier.ServiceID {
	return entryFleet().Declaration.Routes[0].Shards
}

package reducer_test

import (
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

// sendOrder sends an order about a domain to a control host, and returns the answer; nil if there is none in time.
func (f *smallFleet) sendOrder(control int, id identifier.DomainID, ended bool) reducer.Answer {
	f.ticket++
	t := f.ticket
	f.reduce(controlName(control), reducer.EvacuationRequested{Ticket: t, Domain: id, Ended: ended})
	for end := f.now.Add(leaveTimeout); f.now < end; f.run(identifier.Millisecond) {
		if reply, ok := f.replies[t]; ok {
			return reply.Reply
		}
	}
	return nil
}

// do runs a step: its name, the number of a control host, and a domain.
func (f *smallFleet) do(step string) {
	var name string
	var i int
	var d identifier.DomainID
	// A step may lack the number, which is 0 then, and the domain.
	_, _ = fmt.Sscan(step, &name, &i, &d)
	control := f.hosts[controlName(i)]
	switch name {
	case "begin", "end":
		gomega.Expect(f.sendOrder(i, d, name == "end")).To(gomega.Equal(reducer.Committed{}), step)
	case "fail":
		gomega.Expect(f.sendOrder(i, d, false)).NotTo(gomega.Equal(reducer.Committed{}), step)
	case "unknown":
		gomega.Expect(f.sendOrder(i, d, false)).To(gomega.Equal(reducer.DomainUnknown{}), step)
	case "kill":
		f.stopAll()
		f.startAll()
	case "lose":
		f.stopAll(i)
		f.startAll()
	case "forget":
		// Without the stored server lists, only the log remains.
		f.stopAll()
		for n := range 3 {
			f.hosts[controlName(n)].serverList = reducer.ServerListSnapshot{}
		}
		f.startAll()
	case "wipe":
		f.stop(controlName(i), true)
		f.run(restartTime)
		f.start(controlName(i))
		f.run(2 * contactPeriod)
	case "alone":
		f.stopAll()
		f.start(controlName(i))
	case "cut", "freeze":
		f.isolated[controlName(i)], f.frozen[controlName(i)] = name == "cut", name == "freeze"
		f.run(2 * identifier.Second)
	case "heal":
		for n := range 3 {
			f.isolated[controlName(n)] = false
			f.thaw(controlName(n))
		}
		f.run(contactPeriod)
	case "wait":
		f.run(identifier.Micros(i) * identifier.Second)
	case "fill":
		for n := range reducer.CompactionEntries + 10 {
			f.sendOrder(0, domain(2), n%2 == 1)
		}
	case "announce":
		a := announcement("s-9", 1, 1)
		a.Domain = d
		f.announce(i, a)
	case "stale":
		// A message from before the last order arrives late.
		f.reduce(entryName(i), reducer.ServerListSent{
			From: controlName(i), Evacuations: &reducer.Evacuations{Revision: 1, Domains: []identifier.DomainID{d}},
		})
		f.expectEvacuated(d, false)
	case "regions":
		duty := control.parameters.Duty.(reducer.ControlDuty)
		duty.Regions = map[identifier.DomainID]identifier.RegionID{domain(0): "north"}
		control.parameters.Duty = duty
		f.stop(controlName(i), false)
		f.start(controlName(i))
		f.run(contactPeriod)
	}
}

// expectEvacuated expects that the domain is evacuated, or isn't, on all hosts that run and are not cut off.
func (f *smallFleet) expectEvacuated(id identifier.DomainID, evacuated bool) {
	for name, h := range f.hosts {
		if !h.running || f.isolated[name] {
			continue
		}
		gomega.Expect(slices.Contains(h.view.Evacuated, id)).To(gomega.Equal(evacuated), "%s on %s at %d", id, name, f.now)
		if h.view.Fleet != nil {
			for _, b := range h.view.Fleet.Backends["desk"] {
				gomega.Expect(b.Evacuated).To(gomega.Equal(slices.Contains(h.view.Evacuated, b.Domain)))
			}
		}
	}
}

var _ = ginkgo.Describe("an order to evacuate a failure domain", func() {
	for _, c := range []struct {
		name, steps string
		domain      identifier.DomainID
		evacuated   bool
	}{
		{"reaches all hosts", "begin 0 fd-1", "fd-1", true},
		{"may be sent again to any control host", "begin 0 fd-1,begin 1 fd-1,begin 2 fd-1", "fd-1", true},
		{"ends", "begin 0 fd-1,end 1 fd-1", "fd-1", false},
		{"may end twice, and without having begun", "end 2 fd-1,begin 0 fd-1,end 1 fd-1,end 2 fd-1", "fd-1", false},
		{"stays ended when an older list arrives", "begin 0 fd-1,end 0 fd-1,wait 1,stale 0 fd-1", "fd-1", false},
		{"may begin again", "begin 0 fd-1,end 1 fd-1,begin 2 fd-1", "fd-1", true},
		{"concerns one domain", "begin 0 fd-2,begin 1 fd-1,end 2 fd-2", "fd-1", true},
		{"survives a kill of all hosts", "begin 0 fd-1,kill", "fd-1", true},
		{"survives a kill of all hosts and the loss of the disk of the host that acknowledged it", "begin 0 fd-1,lose 0", "fd-1", true},
		{"stays ended after a kill of all hosts just after the end", "begin 0 fd-1,wait 3,end 0 fd-1,lose 0", "fd-1", false},
		{"survives compaction and a kill of all hosts", "begin 0 fd-1,fill,forget", "fd-1", true},
		{"is known to a control host that has restarted, before there is a leader", "begin 0 fd-1,wait 1,alone 0", "fd-1", true},
		{"reaches a control host that was cut off meanwhile", "cut 2,begin 0 fd-1,heal", "fd-1", true},
		{"reaches the hosts that subscribed to a control host that is cut off", "cut 2,begin 0 fd-1", "fd-1", true},
		{"is not acknowledged by a control host that has missed the end", "begin 0 fd-1,wait 1,cut 0,end 1 fd-1,fail 0 fd-1,heal", "fd-1", false},
		{"is not acknowledged without a quorum", "cut 1,cut 2,fail 0 fd-1,heal", "fd-1", false},
		{"about an unknown domain is rejected", "unknown 0 fd-9", "fd-9", false},
		{"about a domain in which only a server runs is committed", "announce 1 fd-9,begin 0 fd-9", "fd-9", true},
		{"about a domain that the settings don't name is rejected", "regions 0,unknown 0 fd-1,begin 0 fd-0", "fd-0", true},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(0, announcement("s-1", 1, 1))
			for step := range strings.SplitSeq(c.steps, ",") {
				f.do(step)
			}
			f.run(contactPeriod)
			f.expectEvacuated(c.domain, c.evacuated)
		})
	}

	ginkgo.It("is in force on all hosts a fraction of a second after it is acknowledged", func() {
		f := newSmallFleet()
		f.do("begin 0 fd-1")
		f.run(50 * identifier.Millisecond)
		f.expectEvacuated(domain(1), true)
	})

	// A copy that the network has kept must not undo the end that was acknowledged meanwhile.
	ginkgo.It("doesn't begin again when a copy of it arrives after the end", func() {
		f := newSmallFleet()
		var copies []func()
		f.onReceive = func(id identifier.HostID, e reducer.Event) {
			if forwarded, ok := e.(reducer.OperationForwarded); ok {
				copies = append(copies, func() { f.reduce(id, forwarded) })
			}
		}
		for i := range 3 {
			f.do(fmt.Sprint("begin ", i, " fd-1"))
		}
		f.onReceive = nil
		f.do("end 0 fd-1")
		gomega.Expect(copies).NotTo(gomega.BeEmpty())
		for _, deliver := range copies {
			deliver()
			f.run(identifier.Second)
		}
		f.expectEvacuated(domain(1), false)
	})

	// Each host must take the same one of two orders as the later one.
	ginkgo.It("is the same on all hosts after a race with its end", func() {
		for delay := range identifier.Micros(20) {
			f := newSmallFleet()
			first := f.ticket + 1
			f.ticket += 2
			f.reduce(controlName(0), reducer.EvacuationRequested{Ticket: first, Domain: domain(1)})
			f.run(delay * 100)
			f.reduce(controlName(1), reducer.EvacuationRequested{Ticket: first + 1, Domain: domain(1), Ended: true})
			f.run(2 * identifier.Second)
			gomega.Expect(f.replies[first].Reply).To(gomega.Equal(reducer.Committed{}))
			gomega.Expect(f.replies[first+1].Reply).To(gomega.Equal(reducer.Committed{}))
			f.expectEvacuated(domain(1), len(f.hosts[controlName(0)].view.Evacuated) > 0)
		}
	})

	for seed := *firstSeed; seed < *firstSeed+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("survives changes of the leader, restarts and a lost disk with seed %d", seed), func() {
			f := newSmallFleet()
			random := rand.New(rand.NewPCG(seed, 0))
			faults := []string{"cut", "freeze", "kill", "lose", "wipe", "wait"}
			// acknowledged holds the last order about each domain if that was acknowledged.
			acknowledged, count := map[identifier.DomainID]bool{}, 0
			for range 40 {
				d, ended := domain(random.IntN(3)), random.IntN(2) == 0
				f.do(fmt.Sprint(faults[random.IntN(len(faults))], " ", random.IntN(3)))
				answer := f.sendOrder(random.IntN(3), d, ended)
				delete(acknowledged, d)
				if answer == (reducer.Committed{}) {
					acknowledged[d] = !ended
					count++
				}
				f.run(identifier.Micros(random.Int64N(int64(2 * identifier.Second))))
				f.do("heal")
				for d, evacuated := range acknowledged {
					f.expectEvacuated(d, evacuated)
				}
			}
			// Most orders find a quorum.
			gomega.Expect(count).To(gomega.BeNumerically(">", 15))
		})
	}
})

// evacuate publishes a view in which the domains are evacuated.
func (e *entryHost) evacuate(domains ...identifier.DomainID) {
	e.view.Evacuated = domains
	for id := range e.view.Backends {
		e.changeServers(id, func(b *reducer.Backend) { b.Evacuated = slices.Contains(domains, b.Domain) })
	}
}

// reached returns the names of the delegates that were asked for parts, and the domains of the servers that were
// sent attempts since the index.
func (e *entryHost) reached(first int) []string {
	var names []string
	for _, x := range e.sent[first:] {
		names = append(names, string(domain(int(x.Server[len(x.Server)-1]-'0'))))
	}
	for _, m := range e.messages {
		if _, ok := m.Event.(reducer.PartsRequested); ok {
			names = append(names, string(m.To))
		}
	}
	return names
}

const north, south = identifier.RegionID("north"), identifier.RegionID("south")

var _ = ginkgo.Describe("a request of which some failure domains get nothing", func() {
	local, near, far := domain(0), domain(1), domain(2)
	two := map[identifier.DomainID]identifier.RegionID{local: north, near: south, far: south}
	three := map[identifier.DomainID]identifier.RegionID{local: north, near: "west", far: south}
	for _, c := range []struct {
		name, path string
		evacuated  []identifier.DomainID
		homes      []identifier.RegionID
		regions    map[identifier.DomainID]identifier.RegionID
		// refused is set when the servers refuse the attempts; otherwise they don't answer.
		refused bool
		// reached are the domains and delegates; if there are none, the request is refused at once.
		reached string
	}{
		{"goes past evacuated domains", "/archive/", []identifier.DomainID{local, near}, nil, nil, false, "fd-2"},
		{"is retried past an evacuated domain", "/archive/", []identifier.DomainID{near}, nil, nil, true, "fd-0 fd-2"},
		{"is hedged past an evacuated domain", "/search/", []identifier.DomainID{near}, nil, nil, false, "fd-0 fd-2"},
		{"is delegated past an evacuated domain", "/search/", []identifier.DomainID{local, near}, nil, nil, false, "far fd-2"},
		{"is refused when all are evacuated", "/archive/", []identifier.DomainID{local, near, far}, nil, nil, false, ""},
		{"is refused when all are evacuated", "/search/", []identifier.DomainID{local, near, far}, nil, nil, false, ""},
		{"is refused when all are evacuated", "/post/", []identifier.DomainID{local, near, far}, nil, nil, false, ""},
		{"stays in its home", "/search/", nil, []identifier.RegionID{north}, two, true, "fd-0"},
		{"stays in its home", "/archive/", nil, []identifier.RegionID{north}, two, true, "fd-0"},
		{"leaves the host's own domain for its home", "/archive/", nil, []identifier.RegionID{south}, two, true, "fd-1 fd-2"},
		{"is delegated within its home", "/search/", nil, []identifier.RegionID{south}, three, false, "far fd-2"},
		{"may have several homes", "/search/", nil, []identifier.RegionID{"west", south}, three, true, "fd-1 fd-2 near"},
		{"is refused when its home is evacuated", "/search/", []identifier.DomainID{local}, []identifier.RegionID{north}, two, false, ""},
		{"is refused without a server in its home", "/search/", nil, []identifier.RegionID{"east"}, two, false, ""},
		{"is refused when no region is known", "/archive/", nil, []identifier.RegionID{north}, nil, false, ""},
	} {
		ginkgo.It(c.name+" "+c.path, func() {
			v := entryFleetView()
			v.Delegates = []router.Host{{ID: "near", Domain: near}, {ID: "far", Domain: far}}
			for i := range v.Declaration.Routes {
				v.Declaration.Routes[i].Homes = c.homes
			}
			e := newEntryHostWith(v, dutyWithRegions(c.regions))
			e.evacuate(c.evacuated...)
			e.sendRequest("q", c.path)
			if c.reached == "" {
				declined, _ := e.outcomes["q"].(reducer.Declined)
				gomega.Expect(declined.Ran).To(gomega.Equal(reducer.RanNo))
				gomega.Expect(declined.RetryAfter).To(gomega.BeNumerically(">", 0))
			}
			for i := 0; c.refused && i < len(e.sent) && i < 12; i++ {
				e.refuse(i, reducer.ExchangeShed)
			}
			e.advance(archiveTimeout)
			names := e.reached(0)
			slices.Sort(names)
			gomega.Expect(slices.Compact(names)).To(gomega.HaveExactElements(strings.Fields(c.reached)))
		})
	}

	ginkgo.It("sends nothing more to a domain that is evacuated while it runs, but takes the answers of attempts in flight", func() {
		e := newEntryHost(entryFleetView())
		e.sendRequest("q", "/search/")
		first := len(e.sent)
		e.evacuate(local, near)
		e.refuse(0, reducer.ExchangeShed)
		for i := 1; i < first; i++ {
			e.answer(i)
		}
		e.advance(searchTimeout)
		gomega.Expect(e.reached(first)).To(gomega.HaveEach(string(far)))
		gathered, _ := e.outcomes["q"].(reducer.Gathered)
		gomega.Expect(gathered.Signatures).To(gomega.HaveLen(first - 1))
	})

	ginkgo.It("stays in its homes and past evacuated domains on the host that gathers its parts", func() {
		v := entryFleetView()
		v.Declaration.Routes[0].Homes = []identifier.RegionID{south}
		v.Delegates = []router.Host{{ID: "near", Domain: near}}
		e := newEntryHostWith(v, dutyWithRegions(two))
		e.sendRequest("q", "/search/")
		gomega.Expect(e.reached(0)).To(gomega.Equal([]string{"near"}))
		delegate := newEntryHostWith(entryFleetView(), dutyWithRegions(two))
		delegate.evacuate(near)
		delegate.reduce(e.messages[0].Event)
		gomega.Expect(delegate.sent).To(gomega.HaveLen(shardCount))
		gomega.Expect(delegate.reached(0)).To(gomega.HaveEach(string(far)))
	})

	// Servers that got no requests for a while may have cold caches.
	ginkgo.It("counts servers as just started when their evacuation ends", func() {
		e := newEntryHost(entryFleetView())
		// requestLocally returns how many of the requests reach the server of the local domain.
		requestLocally := func(count int) int {
			first := len(e.sent)
			for range count {
				e.sendRequest(identifier.RequestID(fmt.Sprint("q-", len(e.sent))), "/archive/")
				e.advance(20 * identifier.Millisecond)
				e.answer(len(e.sent) - 1)
			}
			return e.sentTo("archive-0", first)
		}
		gomega.Expect(requestLocally(100)).To(gomega.BeNumerically(">", 90))
		e.evacuate(local)
		gomega.Expect(requestLocally(100)).To(gomega.Equal(0))
		e.evacuate()
		gomega.Expect(requestLocally(20)).To(gomega.BeNumerically("<", 10))
	})
})

func dutyWithRegions(regions map[identifier.DomainID]identifier.RegionID) reducer.EntryDuty {
	d := entryDuty()
	d.Regions = regions
	return d
}

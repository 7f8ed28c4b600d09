package reducer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

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

// evacuated returns the evacuated domains as known to a host.
func (f *smallFleet) evacuated(id identifier.HostID) []identifier.DomainID {
	return slices.Clone(f.hosts[id].view.Evacuated)
}

var _ = ginkgo.Describe("an order to evacuate a failure domain", func() {
	begin := func(f *smallFleet, control int) {
		gomega.Expect(f.sendOrder(control, domain(1), false)).To(gomega.Equal(reducer.Committed{}))
	}
	end := func(f *smallFleet, control int) {
		gomega.Expect(f.sendOrder(control, domain(1), true)).To(gomega.Equal(reducer.Committed{}))
	}
	one := []identifier.DomainID{domain(1)}
	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		// evacuated are the domains that all hosts know to be evacuated in the end.
		evacuated []identifier.DomainID
	}{
		{"reaches all hosts", func(f *smallFleet) { begin(f, 0) }, one},
		{"may be resent to any control host", func(f *smallFleet) {
			for i := range 3 {
				begin(f, i)
			}
		}, one},
		{"ends", func(f *smallFleet) {
			begin(f, 0)
			end(f, 1)
		}, nil},
		{"may end twice, and without having begun", func(f *smallFleet) {
			end(f, 2)
			begin(f, 0)
			end(f, 1)
			end(f, 2)
		}, nil},
		{"may begin again", func(f *smallFleet) {
			begin(f, 0)
			end(f, 1)
			begin(f, 2)
		}, one},
		{"concerns one domain", func(f *smallFleet) {
			gomega.Expect(f.sendOrder(0, domain(2), false)).To(gomega.Equal(reducer.Committed{}))
			begin(f, 1)
			gomega.Expect(f.sendOrder(2, domain(2), true)).To(gomega.Equal(reducer.Committed{}))
		}, one},
		{"survives a kill of all hosts", func(f *smallFleet) {
			begin(f, 0)
			f.stopAll()
			f.startAll()
		}, one},
		{"survives a kill of all hosts and the loss of the disk of the host that acknowledged it", func(f *smallFleet) {
			begin(f, 0)
			f.stopAll(0)
			f.startAll()
		}, one},
		{"stays ended after a kill of all hosts just after the end", func(f *smallFleet) {
			begin(f, 0)
			f.run(3 * identifier.Second)
			end(f, 0)
			f.stopAll(0)
			f.startAll()
		}, nil},
		{"survives compaction and a kill of all hosts", func(f *smallFleet) {
			begin(f, 0)
			for i := range reducer.CompactionEntries + 10 {
				f.sendOrder(0, domain(2), i%2 == 1)
			}
			f.stopAll()
			for i := range 3 {
				// The stored server list holds the evacuations too.
				f.hosts[controlName(i)].serverList = reducer.ServerListSnapshot{}
			}
			f.startAll()
		}, one},
		{"reaches a control host that was cut off meanwhile", func(f *smallFleet) {
			f.isolated[controlName(2)] = true
			f.run(2 * identifier.Second)
			begin(f, 0)
			f.isolated[controlName(2)] = false
		}, one},
		{"reaches the hosts that subscribe to a control host that is cut off", func(f *smallFleet) {
			f.isolated[controlName(2)] = true
			begin(f, 0)
			f.run(contactPeriod)
			gomega.Expect(f.evacuated(entryName(2))).To(gomega.Equal(one))
			f.isolated[controlName(2)] = false
		}, one},
		// The control host has not heard of the end when the order is sent again.
		{"is not acknowledged by a control host that has missed the end", func(f *smallFleet) {
			begin(f, 0)
			f.run(identifier.Second)
			f.isolated[controlName(0)] = true
			f.run(2 * identifier.Second)
			end(f, 1)
			gomega.Expect(f.evacuated(controlName(0))).To(gomega.Equal(one))
			gomega.Expect(f.sendOrder(0, domain(1), false)).NotTo(gomega.Equal(reducer.Committed{}))
			f.isolated[controlName(0)] = false
		}, nil},
		// A copy that the network has kept must not undo the end that was acknowledged meanwhile.
		{"doesn't begin again when a copy of it arrives after the end", func(f *smallFleet) {
			var copies []func()
			f.onReceive = func(id identifier.HostID, e reducer.Event) {
				forwarded, ok := e.(reducer.OperationForwarded)
				if p, proposal := forwarded.Operation.(reducer.Proposal); ok && proposal {
					if c, order := p.Command.(reducer.EvacuationOrdered); order && !c.Ended {
						copies = append(copies, func() { f.reduce(id, e) })
					}
				}
			}
			for i := range 3 {
				begin(f, i)
			}
			end(f, 0)
			f.onReceive = nil
			gomega.Expect(copies).NotTo(gomega.BeEmpty())
			for _, deliver := range copies {
				deliver()
				f.run(identifier.Second)
			}
		}, nil},
		{"is not acknowledged by a single control host out of three", func(f *smallFleet) {
			f.stop(controlName(1), false)
			f.stop(controlName(2), false)
			f.run(identifier.Second)
			gomega.Expect(f.sendOrder(0, domain(1), false)).NotTo(gomega.Equal(reducer.Committed{}))
			f.run(2 * identifier.Second)
			f.start(controlName(1))
			f.start(controlName(2))
		}, nil},
		{"about an unknown domain is rejected", func(f *smallFleet) {
			gomega.Expect(f.sendOrder(0, "elsewhere", false)).To(gomega.Equal(reducer.DomainUnknown{}))
		}, nil},
		{"about a domain in which only a server runs is committed", func(f *smallFleet) {
			a := announcement("s-9", 1, 1)
			a.Domain = "elsewhere"
			f.announce(1, a)
			gomega.Expect(f.sendOrder(0, "elsewhere", false)).To(gomega.Equal(reducer.Committed{}))
		}, []identifier.DomainID{"elsewhere"}},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(0, announcement("s-1", 1, 1))
			c.steps(f)
			f.run(contactPeriod)
			for id := range f.hosts {
				gomega.Expect(f.evacuated(id)).To(gomega.Equal(c.evacuated), "on %s", id)
			}
			for i := range 3 {
				for _, b := range f.hosts[entryName(i)].view.Fleet.Backends["desk"] {
					gomega.Expect(b.Evacuated).To(gomega.Equal(slices.Contains(c.evacuated, b.Domain)))
				}
			}
		})
	}

	ginkgo.It("is in force on all entry hosts a fraction of a second after it is acknowledged", func() {
		f := newSmallFleet()
		f.run(identifier.Second)
		begin(f, 0)
		f.run(50 * identifier.Millisecond)
		for i := range 3 {
			gomega.Expect(f.evacuated(entryName(i))).To(gomega.Equal(one))
		}
	})

	ginkgo.It("is in force again on a control host that has restarted, before there is a leader", func() {
		f := newSmallFleet()
		begin(f, 0)
		f.run(identifier.Second)
		f.stopAll()
		f.start(controlName(0))
		f.run(identifier.Millisecond)
		gomega.Expect(f.evacuated(controlName(0))).To(gomega.Equal(one))
	})

	// Each host must take the same one of two orders as the later one.
	ginkgo.It("is the same on all hosts after a race with its end", func() {
		for seed := range identifier.Micros(20) {
			f := newSmallFleet()
			f.run(seed * 37)
			tickets := []reducer.Ticket{f.ticket + 1, f.ticket + 2}
			f.ticket += 2
			f.reduce(controlName(0), reducer.EvacuationRequested{Ticket: tickets[0], Domain: domain(1)})
			f.run(seed * 100)
			f.reduce(controlName(1), reducer.EvacuationRequested{Ticket: tickets[1], Domain: domain(1), Ended: true})
			f.run(2 * identifier.Second)
			for _, t := range tickets {
				gomega.Expect(f.replies[t].Reply).To(gomega.Equal(reducer.Committed{}))
			}
			for id := range f.hosts {
				gomega.Expect(f.evacuated(id)).To(gomega.Equal(f.evacuated(controlName(0))), "on %s", id)
			}
		}
	})

	ginkgo.It("about a domain that the settings don't name is rejected", func() {
		f := newSmallFleet()
		duty := f.hosts[controlName(0)].parameters.Duty.(reducer.ControlDuty)
		duty.Regions = map[identifier.DomainID]identifier.RegionID{domain(0): "north"}
		f.stop(controlName(0), false)
		f.hosts[controlName(0)].parameters.Duty = duty
		f.start(controlName(0))
		f.run(contactPeriod)
		gomega.Expect(f.sendOrder(0, domain(1), false)).To(gomega.Equal(reducer.DomainUnknown{}))
		gomega.Expect(f.sendOrder(0, domain(0), false)).To(gomega.Equal(reducer.Committed{}))
	})

	for seed := *firstSeed; seed < *firstSeed+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("survives changes of the leader, restarts and a lost disk with seed %d", seed), func() {
			f := newSmallFleet()
			random := rand.New(rand.NewPCG(seed, 0))
			// acknowledged holds the last order about each domain if that was acknowledged.
			acknowledged, count := map[identifier.DomainID]bool{}, 0
			for range 40 {
				d, ended := domain(random.IntN(3)), random.IntN(2) == 0
				f.faultOf(random)
				answer := f.sendOrder(random.IntN(3), d, ended)
				delete(acknowledged, d)
				if answer == (reducer.Committed{}) {
					acknowledged[d] = !ended
					count++
				}
				f.run(identifier.Micros(random.Int64N(int64(2 * identifier.Second))))
				f.heal()
				for id := range f.hosts {
					for d, evacuated := range acknowledged {
						gomega.Expect(slices.Contains(f.evacuated(id), d)).To(gomega.Equal(evacuated), "%s on %s at %d", d, id, f.now)
					}
				}
			}
			// Most orders find a quorum.
			gomega.Expect(count).To(gomega.BeNumerically(">", 15))
		})
	}
})

// faultOf injects a random fault of a domain.
func (f *smallFleet) faultOf(random *rand.Rand) {
	i := random.IntN(3)
	switch random.IntN(6) {
	case 0:
		f.isolated[controlName(i)] = true
		f.run(identifier.Second)
	case 1:
		f.frozen[controlName(i)] = true
		f.run(identifier.Second)
	case 2:
		f.stopAll()
		f.startAll()
		f.run(2 * identifier.Second)
	case 3:
		f.stop(controlName(i), true)
		f.run(restartTime)
		f.start(controlName(i))
		f.run(3 * contactPeriod)
	case 4:
		f.restart(i)
	}
}

// heal ends the cuts and freezes of all hosts.
func (f *smallFleet) heal() {
	for i := range 3 {
		f.isolated[controlName(i)] = false
		f.thaw(controlName(i))
	}
	f.run(contactPeriod)
}

// evacuate publishes a view in which the domains are evacuated.
func (e *entryHost) evacuate(domains ...identifier.DomainID) {
	v := *e.view
	v.Evacuated = domains
	v.Backends = map[identifier.ServiceID][]reducer.Backend{}
	for id, backends := range e.view.Backends {
		for _, b := range backends {
			b.Evacuated = slices.Contains(domains, b.Domain)
			v.Backends[id] = append(v.Backends[id], b)
		}
	}
	e.view = &v
	e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: e.view}})
}

// domainsSent returns the domains of the servers that were sent attempts since the index, and the delegates.
func (e *entryHost) domainsSent(first int) []identifier.DomainID {
	var domains []identifier.DomainID
	for _, x := range e.sent[first:] {
		for _, backends := range e.view.Backends {
			for _, b := range backends {
				if b.Server == x.Server && !slices.Contains(domains, b.Domain) {
					domains = append(domains, b.Domain)
				}
			}
		}
	}
	for _, m := range e.messages {
		if _, ok := m.Event.(reducer.PartsRequested); ok {
			domains = append(domains, identifier.DomainID("delegate "+string(m.To)))
		}
	}
	slices.Sort(domains)
	return domains
}

var _ = ginkgo.Describe("a request while a failure domain is evacuated", func() {
	local, near, far := domain(0), domain(1), domain(2)
	nearDelegate, farDelegate := identifier.DomainID("delegate near"), identifier.DomainID("delegate far")
	for _, c := range []struct {
		name  string
		path  string
		steps func(e *entryHost)
		// refused is set when the servers refuse the attempts; otherwise they don't answer.
		refused bool
		domains []identifier.DomainID
	}{
		{"goes to a server elsewhere", "/archive/", func(e *entryHost) { e.evacuate(local, near) }, false, []identifier.DomainID{far}},
		{"is retried elsewhere", "/archive/", func(e *entryHost) { e.evacuate(near) }, true, []identifier.DomainID{far, local}},
		{"is not hedged in the domain", "/search/", func(e *entryHost) { e.evacuate(near) }, false, []identifier.DomainID{far, local}},
		{"is delegated to another domain", "/search/", func(e *entryHost) {
			e.view.Delegates = []router.Host{{ID: "near", Domain: near}, {ID: "far", Domain: far}}
			e.evacuate(local, near)
		}, false, []identifier.DomainID{farDelegate, far}},
		{"is not delegated to a domain whose servers it may not reach", "/search/", func(e *entryHost) {
			e.view.Delegates = []router.Host{{ID: "near", Domain: near}}
			e.evacuate(local, near)
		}, true, []identifier.DomainID{far}},
		{"is delegated as before when the evacuation has ended", "/search/", func(e *entryHost) {
			e.view.Delegates = []router.Host{{ID: "near", Domain: near}}
			e.evacuate(local, near)
			e.evacuate(local)
		}, false, []identifier.DomainID{nearDelegate, near, far}},
	} {
		ginkgo.It(c.name, func() {
			e := newEntryHost(entryFleetView())
			c.steps(e)
			e.sendRequest("q", c.path)
			for i := 0; c.refused && i < len(e.sent) && i < 12; i++ {
				e.refuse(i, reducer.ExchangeShed)
			}
			e.advance(archiveTimeout)
			slices.Sort(c.domains)
			gomega.Expect(e.domainsSent(0)).To(gomega.Equal(c.domains))
		})
	}

	for _, path := range []string{"/archive/", "/search/", "/post/"} {
		ginkgo.It("is refused at once when all servers are evacuated, on "+path, func() {
			e := newEntryHost(entryFleetView())
			e.evacuate(local, near, far)
			e.sendRequest("q", path)
			declined, ok := e.outcomes["q"].(reducer.Declined)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(declined.Ran).To(gomega.Equal(reducer.RanNo))
			gomega.Expect(declined.RetryAfter).To(gomega.BeNumerically(">", 0))
			gomega.Expect(e.sent).To(gomega.BeEmpty())
		})
	}

	ginkgo.It("sends nothing more to the domain while it runs, but takes the answers of attempts in flight", func() {
		e := newEntryHost(entryFleetView())
		e.sendRequest("q", "/search/")
		first := len(e.sent)
		e.evacuate(local, near)
		e.refuse(0, reducer.ExchangeShed)
		e.advance(searchTargetLatency / 2)
		for i := 1; i < first; i++ {
			e.answer(i)
		}
		e.advance(searchTimeout)
		gomega.Expect(e.domainsSent(first)).To(gomega.Equal([]identifier.DomainID{far}))
		gathered, ok := e.outcomes["q"].(reducer.Gathered)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(gathered.Signatures).To(gomega.HaveLen(first - 1))
	})

	ginkgo.It("is not sent to the domain by a host that gathers parts", func() {
		e := newEntryHost(entryFleetView())
		e.evacuate(local)
		e.reduce(reducer.PartsRequested{
			From: "10.0.0.9:70", Request: "q", Services: e.searchShards(), Flush: searchTargetLatency, Remaining: searchTimeout,
		})
		gomega.Expect(e.sent).To(gomega.HaveLen(shardCount))
		gomega.Expect(e.domainsSent(0)).NotTo(gomega.ContainElement(local))
	})

	// Servers that got no requests for a while may have cold caches.
	ginkgo.It("counts the servers of the domain as just started when the evacuation ends", func() {
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

var _ = ginkgo.Describe("a request with homes", func() {
	const north, south = identifier.RegionID("north"), identifier.RegionID("south")
	three := map[identifier.DomainID]identifier.RegionID{domain(0): north, domain(1): "west", domain(2): south}
	regions := map[identifier.DomainID]identifier.RegionID{domain(0): north, domain(1): south, domain(2): south}
	for _, c := range []struct {
		name    string
		homes   []identifier.RegionID
		regions map[identifier.DomainID]identifier.RegionID
		// domains are all those that may get attempts or parts to gather; empty if the request is refused.
		domains []identifier.DomainID
	}{
		{"reaches its regions only", []identifier.RegionID{north}, regions, []identifier.DomainID{domain(0)}},
		{"reaches servers elsewhere from a host outside its homes", []identifier.RegionID{south}, regions, []identifier.DomainID{"delegate near", domain(1), domain(2)}},
		{"is not gathered by a host outside its homes", []identifier.RegionID{south}, three, []identifier.DomainID{domain(2)}},
		{"reaches several regions", []identifier.RegionID{south, north}, regions, []identifier.DomainID{"delegate near", domain(0), domain(1), domain(2)}},
		{"is refused when no server is in its homes", []identifier.RegionID{"east"}, regions, nil},
		{"is refused when the settings name no regions", []identifier.RegionID{north}, nil, nil},
		{"without homes reaches all", nil, regions, []identifier.DomainID{"delegate near", domain(0), domain(1), domain(2)}},
	} {
		for _, path := range []string{"/search/", "/archive/"} {
			ginkgo.It(c.name+", on "+path, func() {
				v := entryFleetView()
				v.Delegates = []router.Host{{ID: "near", Domain: domain(1)}}
				for i := range v.Declaration.Routes {
					v.Declaration.Routes[i].Homes = c.homes
				}
				e := newEntryHostWith(v, c.regions)
				e.sendRequest("q", path)
				if c.domains == nil {
					declined, ok := e.outcomes["q"].(reducer.Declined)
					gomega.Expect(ok).To(gomega.BeTrue())
					gomega.Expect(declined.Ran).To(gomega.Equal(reducer.RanNo))
				}
				for i := 0; i < len(e.sent) && i < 12; i++ {
					e.refuse(i, reducer.ExchangeShed)
				}
				e.advance(searchTimeout)
				for _, d := range e.domainsSent(0) {
					gomega.Expect(c.domains).To(gomega.ContainElement(d))
				}
				gomega.Expect(e.domainsSent(0) == nil).To(gomega.Equal(c.domains == nil))
			})
		}
	}

	ginkgo.It("passes its homes on to the host that gathers parts, which keeps to them", func() {
		v := entryFleetView()
		v.Declaration.Routes[0].Homes = []identifier.RegionID{south}
		v.Delegates = []router.Host{{ID: "near", Domain: domain(1)}}
		e := newEntryHostWith(v, regions)
		e.sendRequest("q", "/search/")
		var asked reducer.PartsRequested
		for _, m := range e.messages {
			if p, ok := m.Event.(reducer.PartsRequested); ok {
				asked = p
			}
		}
		gomega.Expect(asked.Homes).To(gomega.Equal([][]identifier.RegionID{{south}}))
		delegate := newEntryHostWith(entryFleetView(), regions)
		delegate.reduce(asked)
		gomega.Expect(delegate.domainsSent(0)).NotTo(gomega.ContainElement(domain(0)))
		gomega.Expect(delegate.sent).To(gomega.HaveLen(shardCount))
	})
})

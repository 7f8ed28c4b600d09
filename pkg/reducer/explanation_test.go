package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// ask returns where a request would go. The question has no other effect.
func (e *entryHost) ask(path string, customer identifier.CustomerID) reducer.RouteExplanation {
	var replies []reducer.RouteExplanation
	for _, x := range e.state.Reduce(e.now, reducer.RouteAsked{Ticket: 3, Hostname: "a.example", Path: path, Customer: customer}) {
		switch x := x.(type) {
		case reducer.ReplyRoute:
			replies = append(replies, x.Explanation)
		case reducer.Wake:
		default:
			ginkgo.Fail(fmt.Sprintf("the question had the effect %T", x))
		}
	}
	gomega.Expect(replies).To(gomega.HaveLen(1))
	return replies[0]
}

func isEvacuated(b *reducer.Backend) { b.Evacuated = b.Domain == domain(0) }

// deny makes the owner of the quotas deny a credit to the customer "limited".
func deny(e *entryHost) {
	e.sendKeyed("denied", "/archive/1", "k-limited")
	e.reduce(reducer.CreditAnswered{From: leader, Request: "denied", RetryAfter: 400 * identifier.Millisecond, Customer: "limited"})
}

var _ = ginkgo.Describe("the explanation of a route", func() {
	for _, c := range []struct {
		name     string
		path     string
		customer identifier.CustomerID
		prepare  func(e *entryHost)
		expected gomega.OmegaMatcher
	}{
		{"names a missing proof", "/archive/1", "plain", func(*entryHost) {}, gomega.HaveField("Declined", reducer.DeclarationUnproven)},
		{"names an unknown customer", "/archive/1", "other", (*entryHost).prove, gomega.HaveField("Declined", reducer.UnknownKey)},
		{"names a denied credit", "/archive/1", "limited", func(e *entryHost) {
			e.prove()
			deny(e)
		}, gomega.And(gomega.HaveField("Declined", reducer.QuotaExceeded), gomega.HaveField("Quota.DeniedFor", 400*identifier.Millisecond))},
		{"names customer, rank and proof", "/archive/1", "urgent", (*entryHost).prove, gomega.And(
			gomega.HaveField("Declined", reducer.DeclineReason("")), gomega.HaveField("Customer", identifier.CustomerID("urgent")),
			gomega.HaveField("Rank", identifier.Urgent), gomega.HaveField("Proof.Remaining", revocation))},
		{"names services without a server", "/archive/1", "plain", func(e *entryHost) {
			e.prove()
			e.changeServers("archive", func(b *reducer.Backend) { b.Evacuated = true })
		}, gomega.HaveField("Declined", reducer.ServersUnavailable)},
		{"says why a server is passed over", "/archive/1", "plain", func(e *entryHost) {
			e.prove()
			e.changeServers("archive", isEvacuated)
		}, gomega.HaveField("Services", gomega.ConsistOf(gomega.HaveField("Candidates", gomega.ContainElement(gomega.And(
			gomega.HaveField("Server", identifier.ServerID("archive-0")), gomega.HaveField("PassedOver", "evacuated"))))))},
	} {
		ginkgo.It(c.name, func() {
			e := newKeyedHost()
			c.prepare(e)
			gomega.Expect(e.ask(c.path, c.customer)).To(c.expected)
		})
	}

	change := func(change func(*reducer.Backend)) func(*entryHost) {
		return func(e *entryHost) { e.changeServers("archive", change) }
	}
	for _, c := range []struct {
		name    string
		prepare func(e *entryHost)
	}{
		{"a local server", func(*entryHost) {}},
		{"a remote server while the local one is evacuated", change(isEvacuated)},
		{"a remote server while the local one rejects", change(func(b *reducer.Backend) {
			if b.Domain == domain(0) {
				b.Rejection = 0.6
			}
		})},
		{"a silent server that is left", change(func(b *reducer.Backend) {
			b.Silent, b.Degraded = b.Domain == domain(2), false
			b.Evacuated = b.Domain != domain(2)
		})},
		{"another server after a failure", func(e *entryHost) {
			e.sendRequest("before", "/archive/1")
			e.refuse(len(e.sent)-1, reducer.ExchangeUnreachable)
			e.answer(len(e.sent) - 1)
		}},
	} {
		// An explanation that decides by other rules than requests would mislead operators.
		ginkgo.It("names first what the next request chooses: "+c.name, func() {
			e := newEntryHost(entryFleetView())
			c.prepare(e)
			candidates := e.ask("/archive/1", "").Services[0].Candidates
			gomega.Expect(candidates).To(gomega.HaveLen(3))
			e.sendRequest("q", "/archive/1")
			chosen := e.sent[len(e.sent)-1].Server
			best := candidates[0].Measured.Cost
			for _, x := range candidates {
				if x.Server == chosen {
					gomega.Expect(x.PassedOver).To(gomega.BeEmpty())
					// Servers of equal cost are drawn.
					gomega.Expect(x.Measured.Cost).To(gomega.Equal(best))
				}
			}
		})
	}

	ginkgo.It("names the delegations that the next request makes", func() {
		v := entryFleetView()
		v.Delegates = []router.Host{{ID: "10.0.1.1:70", Domain: domain(1)}}
		e := newEntryHost(v)
		for _, id := range []identifier.ServiceID{"shard-1", "shard-3"} {
			e.changeServers(id, isEvacuated)
		}
		x := e.ask("/search/1", "")
		e.sendRequest("q", "/search/1")
		gomega.Expect(x.Delegations).To(gomega.HaveLen(1))
		gomega.Expect(x.Delegations[0].Domain).To(gomega.Equal(domain(1)))
		gomega.Expect(e.messages).To(gomega.ContainElement(gomega.HaveField("Event", gomega.And(
			gomega.BeAssignableToTypeOf(reducer.PartsRequested{}), gomega.HaveField("Services", x.Delegations[0].Services)))))
	})

	// A question that drew a number, took a budget or refreshed a measurement would change what later requests do.
	ginkgo.It("changes nothing that later requests depend on", func() {
		run := func(ask bool) *entryHost {
			v := keyedFleetView()
			v.Declaration.Routes = append(v.Declaration.Routes, declarer.Route{
				ID: "split", Hostname: "a.example", PathPrefix: "/split/", Repeatable: true, Timeout: archiveTimeout,
				TargetLatency: 500 * identifier.Millisecond, MaxAttempts: 2,
				Targets: []declarer.Target{{Service: "archive", Weight: 3}, {Service: "shard-0", Weight: 2}},
			})
			v.Routes = matcher.New(v.Declaration.Routes)
			e := newEntryHost(v)
			e.changeServers("archive", func(b *reducer.Backend) { b.Degraded = b.Domain == domain(2) })
			paths := []string{"/archive/1", "/search/1", "/split/1"}
			for n := range 200 {
				for _, path := range paths {
					if ask {
						e.ask(path, "plain")
					}
				}
				path := paths[n%len(paths)]
				before := len(e.sent)
				e.sendKeyed(identifier.RequestID(fmt.Sprint(n)), path, "k-plain")
				e.advance(identifier.Micros(1+n%7) * identifier.Millisecond)
				for i := before; i < len(e.sent); i++ {
					switch (n + i) % 9 {
					case 0:
						e.refuse(i, reducer.ExchangeShed)
					case 1:
						e.lose(i)
					default:
						e.answer(i)
					}
				}
			}
			return e
		}
		asked, unasked := run(true), run(false)
		gomega.Expect(asked.sent).To(gomega.Equal(unasked.sent))
		gomega.Expect(asked.messages).To(gomega.Equal(unasked.messages))
		gomega.Expect(asked.outcomes).To(gomega.Equal(unasked.outcomes))
	})
})

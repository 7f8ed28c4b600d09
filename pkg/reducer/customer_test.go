package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/authenticator"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	revocation = 5 * identifier.Second
	leader     = identifier.HostID("10.0.0.9:70")
)

// keyedFleetView returns the view of a fleet with customers and a public route.
func keyedFleetView() *reducer.FleetView {
	v := entryFleetView()
	urgent := 0
	v.Declaration.Routes[1].Priority = 2
	v.Declaration.Routes = append(v.Declaration.Routes, declarer.Route{
		ID: "open", Hostname: "a.example", PathPrefix: "/open/", Repeatable: true, Timeout: archiveTimeout, Public: true,
		TargetLatency: 500 * identifier.Millisecond, MaxAttempts: 2, Targets: []declarer.Target{{Service: "archive", Weight: 1}},
	})
	v.Routes = matcher.New(v.Declaration.Routes)
	v.Declaration.Customers = []declarer.Customer{
		{ID: "plain", Keys: []declarer.KeyDigest{declarer.DigestKey("k-plain")}},
		{ID: "urgent", Keys: []declarer.KeyDigest{declarer.DigestKey("k-urgent")}, Priority: &urgent},
		{ID: "limited", Keys: []declarer.KeyDigest{declarer.DigestKey("k-limited")}, Rate: 2, Burst: 2},
	}
	v.Customers = authenticator.New(v.Declaration.Customers, true)
	v.ControlHost, v.ControlHosts = leader, []identifier.HostID{"10.0.0.8:70", leader}
	return v
}

func newKeyedHost() *entryHost {
	d := entryDuty()
	d.Revocation, d.Quotas = revocation, true
	e := newEntryHostWith(keyedFleetView(), d)
	e.advance(identifier.Second)
	return e
}

func (e *entryHost) prove() {
	e.reduce(reducer.ProofRenewed{Until: e.now.Add(revocation)})
}

// sendKeyed sends a request that presents a key, if one is given.
func (e *entryHost) sendKeyed(id identifier.RequestID, path, key string) {
	arrived := reducer.RequestArrived{
		Request: id, Hostname: "a.example", Path: path, Fingerprint: 1,
		Payload: reducer.Payload{Method: "GET", ClientRequestID: string(id), Credentials: []byte("credentials")},
	}
	if key != "" {
		arrived.Credential = declarer.DigestKey(key)
	}
	e.reduce(arrived)
}

var _ = ginkgo.Describe("a host with customers", func() {
	for _, c := range []struct {
		name, path, key string
		proven          bool
		reason          reducer.DeclineReason
		customer        identifier.CustomerID
		rank            identifier.Rank
	}{
		{"names the customer of a key", "/archive/1", "k-plain", true, "", "plain", identifier.Deferrable},
		{"ranks by the priority of the customer", "/archive/1", "k-urgent", true, "", "urgent", identifier.Urgent},
		{"refuses an unknown key", "/archive/1", "k-other", true, reducer.UnknownKey, "", 0},
		{"refuses a request without a key", "/archive/1", "", true, reducer.UnknownKey, "", 0},
		// A host that is cut off must neither serve a key that may be withdrawn nor refuse one that may be new.
		{"refuses a known key without a proof", "/archive/1", "k-plain", false, reducer.DeclarationUnproven, "", 0},
		{"doesn't call a key unknown without a proof", "/archive/1", "k-other", false, reducer.DeclarationUnproven, "", 0},
		{"serves a public route without a key", "/open/1", "", true, "", "", identifier.Urgent},
		{"serves a public route without a proof", "/open/1", "k-plain", false, "", "", identifier.Urgent},
		{"names the customer on a public route", "/open/1", "k-plain", true, "", "plain", identifier.Urgent},
		{"serves a public route with an unknown key", "/open/1", "k-other", true, "", "", identifier.Urgent},
		{"answers for an unknown route before it looks at the key", "/none/1", "k-other", true, reducer.NoRoute, "", 0},
	} {
		ginkgo.It(c.name, func() {
			e := newKeyedHost()
			if c.proven {
				e.prove()
			}
			e.sendKeyed("q", c.path, c.key)
			if c.reason != "" {
				declined, ok := e.outcomes["q"].(reducer.Declined)
				gomega.Expect(ok).To(gomega.BeTrue())
				gomega.Expect(declined.Reason).To(gomega.Equal(c.reason))
				gomega.Expect(declined.Ran).To(gomega.Equal(reducer.RanNo))
				gomega.Expect(e.sent).To(gomega.BeEmpty())
				return
			}
			gomega.Expect(e.sent).To(gomega.HaveLen(1))
			gomega.Expect(e.sent[0].Customer).To(gomega.Equal(c.customer))
			// The client's key must not reach a server.
			gomega.Expect(e.sent[0].Payload.Credentials).To(gomega.BeEmpty())
		})
	}

	ginkgo.It("forwards the client's credentials if the declaration has no customers", func() {
		e := newEntryHost(entryFleetView())
		e.sendKeyed("q", "/archive/1", "k-plain")
		gomega.Expect(e.sent[0].Payload.Credentials).To(gomega.Equal([]byte("credentials")))
		gomega.Expect(e.sent[0].Customer).To(gomega.BeEmpty())
		gomega.Expect(e.sent[0].ValidUntil).To(gomega.BeZero())
	})

	ginkgo.It("sends no retry once the proof has ended", func() {
		e := newKeyedHost()
		e.reduce(reducer.ProofRenewed{Until: e.now.Add(40 * identifier.Millisecond)})
		e.sendKeyed("q", "/archive/1", "k-plain")
		gomega.Expect(e.sent).To(gomega.HaveLen(1))
		gomega.Expect(e.sent[0].ValidUntil).To(gomega.Equal(e.now.Add(40 * identifier.Millisecond)))
		e.advance(50 * identifier.Millisecond)
		e.refuse(0, reducer.ExchangeShed)
		e.advance(archiveTimeout)
		gomega.Expect(e.sent).To(gomega.HaveLen(1))
		gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Ran", reducer.RanNo))
	})

	ginkgo.It("gathers no part for another host once the proof has ended", func() {
		e := newKeyedHost()
		e.reduce(reducer.PartsRequested{
			From: "10.0.0.2:70", Process: 1, Request: "r", Services: []identifier.ServiceID{"shard-0"}, Remaining: searchTimeout, Customer: "plain",
		})
		gomega.Expect(e.sent).To(gomega.BeEmpty())
		gomega.Expect(e.messages).To(gomega.ContainElement(gomega.HaveField("Event", gomega.And(
			gomega.BeAssignableToTypeOf(reducer.PartsDelivered{}), gomega.HaveField("Ended", true), gomega.HaveField("Unsent", true)))))
	})
})

var _ = ginkgo.Describe("the proof of a declaration", func() {
	for _, c := range []struct {
		name   string
		proof  func(asked reducer.Stamp) reducer.DeclarationProof
		proven bool
	}{
		{"holds for the version that this host has", func(asked reducer.Stamp) reducer.DeclarationProof {
			return reducer.DeclarationProof{Asked: asked, Version: 7}
		}, true},
		{"doesn't hold for a version that it lacks", func(asked reducer.Stamp) reducer.DeclarationProof {
			return reducer.DeclarationProof{Asked: asked, Version: 8}
		}, false},
		// A restarted host must not use an answer to its previous process.
		{"doesn't hold for another process", func(asked reducer.Stamp) reducer.DeclarationProof {
			asked.Started--
			return reducer.DeclarationProof{Asked: asked, Version: 7}
		}, false},
		{"doesn't hold unless asked for", func(reducer.Stamp) reducer.DeclarationProof { return reducer.DeclarationProof{Version: 7} }, false},
	} {
		ginkgo.It(c.name, func() {
			s := reducer.New(reducer.Parameters{
				Host: "10.0.0.1:70", Domain: domain(0), Strict: true, Interpreter: parseDeclaration,
				Duty: reducer.EntryDuty{Seeds: []identifier.HostID{leader}, Revocation: revocation},
			})
			now := identifier.Instant(identifier.Minute)
			s.Reduce(now, reducer.Started{Seed: 1})
			var asked reducer.Stamp
			for _, x := range s.Reduce(now, reducer.HostStarted{}) {
				if m, ok := x.(reducer.Send); ok {
					if r, ok := m.Event.(reducer.ServerListRequested); ok {
						asked = r.Asked
					}
				}
			}
			gomega.Expect(asked.Sent).To(gomega.Equal(now))
			source := declarationSource(7, "one")
			now = now.Add(300 * identifier.Millisecond)
			var until identifier.Instant
			for _, x := range s.Reduce(now, reducer.ServerListSent{
				From: leader, Position: reducer.ServerListPosition{Started: 1, Revision: 1}, Complete: true, InTouch: true, Synchronized: true,
				Source: &source, Proof: c.proof(asked),
			}) {
				if m, ok := x.(reducer.Send); ok {
					if renewed, ok := m.Event.(reducer.ProofRenewed); ok {
						until = renewed.Until
					}
				}
			}
			gomega.Expect(until > 0).To(gomega.Equal(c.proven))
			if c.proven {
				// It ages from the moment at which the host asked, not from the answer.
				gomega.Expect(until).To(gomega.BeNumerically("<", asked.Sent.Add(revocation)))
				gomega.Expect(until).To(gomega.BeNumerically(">", asked.Sent.Add(revocation*6/10+800*identifier.Millisecond)))
			}
		})
	}
})

var _ = ginkgo.Describe("quotas on an entry host", func() {
	const wait = 125 * identifier.Millisecond
	// asked returns the control hosts that were asked for a credit, in order.
	asked := func(e *entryHost) []identifier.HostID {
		var hosts []identifier.HostID
		for _, m := range e.messages {
			if _, ok := m.Event.(reducer.CreditRequested); ok {
				hosts = append(hosts, m.To)
			}
		}
		return hosts
	}
	grant := func(e *entryHost) { e.reduce(reducer.CreditAnswered{From: leader, Request: "q", Customer: "limited"}) }
	returned := func(e *entryHost) bool {
		for _, m := range e.messages {
			if r, ok := m.Event.(reducer.CreditReturned); ok {
				gomega.Expect(r.Customer).To(gomega.Equal(identifier.CustomerID("limited")))
				return true
			}
		}
		return false
	}
	for _, c := range []struct {
		name     string
		steps    func(e *entryHost)
		sent     int
		reason   reducer.DeclineReason
		returned bool
	}{
		{"let a request go on with a credit", grant, 1, "", false},
		{"refuse a request beyond the quota", func(e *entryHost) {
			e.reduce(reducer.CreditAnswered{From: leader, Request: "q", RetryAfter: 400 * identifier.Millisecond, Customer: "limited"})
		}, 0, reducer.QuotaExceeded, false},
		{"don't call a request beyond the quota without an answer", func(e *entryHost) { e.advance(wait) }, 0, reducer.QuotaOwnerMissing, false},
		{"ask another control host after a while", func(e *entryHost) {
			e.advance(wait / 2)
			gomega.Expect(asked(e)).To(gomega.ContainElements(leader, identifier.HostID("10.0.0.8:70")))
			grant(e)
		}, 1, "", false},
		{"return the second of two credits", func(e *entryHost) {
			grant(e)
			grant(e)
		}, 1, "", true},
		{"return a credit that arrives too late", func(e *entryHost) {
			e.advance(wait)
			grant(e)
		}, 0, reducer.QuotaOwnerMissing, true},
		{"return the credit of a request that didn't run", func(e *entryHost) {
			grant(e)
			for i := 0; i < len(e.sent); i++ {
				e.refuse(i, reducer.ExchangeShed)
			}
			e.sent = nil
		}, 0, reducer.ServersRefused, true},
		// Returned credits came on top of a level that had been refilled during an outage of servers.
		{"keep the credit of a request that didn't run for long", func(e *entryHost) {
			grant(e)
			e.advance(501 * identifier.Millisecond)
			for i := 0; i < len(e.sent); i++ {
				e.refuse(i, reducer.ExchangeShed)
			}
			e.sent = nil
		}, 0, reducer.ServersRefused, false},
		{"keep the credit of a request that may have run", func(e *entryHost) {
			grant(e)
			e.lose(0)
			e.advance(archiveTimeout)
			e.sent = nil
		}, 0, reducer.RequestTimedOut, false},
		// A request that was sent while it waited was refused as not run.
		{"send nothing for a request that waits when the connection to a host ends", func(e *entryHost) {
			e.reduce(reducer.PeerDisconnected{Host: "10.0.0.3:70"})
		}, 0, "", false},
	} {
		ginkgo.It(c.name, func() {
			e := newKeyedHost()
			e.prove()
			e.sendKeyed("q", "/archive/1", "k-limited")
			gomega.Expect(e.sent).To(gomega.BeEmpty())
			gomega.Expect(asked(e)).To(gomega.Equal([]identifier.HostID{leader}))
			c.steps(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(c.sent))
			gomega.Expect(returned(e)).To(gomega.Equal(c.returned))
			if c.reason != "" {
				gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Reason", c.reason))
			}
		})
	}

	ginkgo.It("refuse at once until there is another credit", func() {
		e := newKeyedHost()
		e.prove()
		e.sendKeyed("q", "/archive/1", "k-limited")
		e.reduce(reducer.CreditAnswered{From: leader, Request: "q", RetryAfter: 400 * identifier.Millisecond, Customer: "limited"})
		e.sendKeyed("q-2", "/archive/1", "k-limited")
		gomega.Expect(e.outcomes["q-2"]).To(gomega.HaveField("Reason", reducer.QuotaExceeded))
		gomega.Expect(asked(e)).To(gomega.HaveLen(1))
		e.advance(400 * identifier.Millisecond)
		e.sendKeyed("q-3", "/archive/1", "k-limited")
		gomega.Expect(asked(e)).To(gomega.HaveLen(2))
	})

	// A denial may last for as long as a low rate takes to accrue a request.
	ginkgo.It("ask again after another declaration", func() {
		e := newKeyedHost()
		e.prove()
		e.sendKeyed("q", "/archive/1", "k-limited")
		e.reduce(reducer.CreditAnswered{From: leader, Request: "q", RetryAfter: identifier.Minute, Customer: "limited"})
		e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 2, Fleet: keyedFleetView()}})
		e.sendKeyed("q-2", "/archive/1", "k-limited")
		gomega.Expect(asked(e)).To(gomega.HaveLen(2))
	})

	for _, c := range []struct {
		name   string
		answer reducer.CreditAnswered
	}{
		// Numbers of requests start anew with each process, so an answer may be meant for an earlier one.
		{"for another customer", reducer.CreditAnswered{From: leader, Request: "q", Customer: "plain"}},
		{"denied to another customer", reducer.CreditAnswered{From: leader, Request: "q", Customer: "plain", RetryAfter: identifier.Second}},
	} {
		ginkgo.It("don't use a credit "+c.name, func() {
			e := newKeyedHost()
			e.prove()
			e.sendKeyed("q", "/archive/1", "k-limited")
			e.reduce(c.answer)
			gomega.Expect(e.sent).To(gomega.BeEmpty())
			gomega.Expect(e.outcomes).To(gomega.BeEmpty())
			grant(e)
			gomega.Expect(e.sent).To(gomega.HaveLen(1))
		})
	}

	// A credit that a frozen host finds when it wakes has been counted long ago.
	ginkgo.It("don't use a credit that was given before the host froze", func() {
		e := newKeyedHost()
		e.prove()
		e.sendKeyed("q", "/archive/1", "k-limited")
		e.now = e.now.Add(wait)
		grant(e)
		gomega.Expect(e.sent).To(gomega.BeEmpty())
		gomega.Expect(returned(e)).To(gomega.BeTrue())
		gomega.Expect(e.outcomes["q"]).To(gomega.HaveField("Reason", reducer.QuotaOwnerMissing))
	})

	ginkgo.It("ask nothing for a customer without a limit", func() {
		e := newKeyedHost()
		e.prove()
		e.sendKeyed("q", "/archive/1", "k-plain")
		gomega.Expect(asked(e)).To(gomega.BeEmpty())
		gomega.Expect(e.sent).NotTo(gomega.BeEmpty())
	})
})

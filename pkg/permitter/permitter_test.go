package permitter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

var randomEvents = flag.Int("permit-events", 1_000_000, "number of random events of the permitter's tests")

func TestPermitter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "permitter")
}

type customer = identifier.CustomerID

var (
	tolerance = permitter.Tolerance{Window: 5 * identifier.Second, Overage: 0.1, Slack: 20}
	// briefTolerance is that of servers that are cold.
	briefTolerance = permitter.Tolerance{Window: identifier.Second, Overage: 0.5, Slack: 5}
)

// limitOf returns the greatest number of requests in a window that the tolerance allows.
func limitOf(l permitter.Limit) int { return limitWith(tolerance, l) }

func limitWith(t permitter.Tolerance, l permitter.Limit) int {
	window := float64(t.Window) / float64(identifier.Second)
	return int((float64(l.Rate)*window+l.Burst)*(1+float64(t.Overage)) + t.Slack)
}

func Example() {
	owner := permitter.NewAllotter[customer](0, "control-1", tolerance, permitter.QuotaTerms)
	owner.SetLimits(0, map[customer]permitter.Limit{"clinic": {Rate: 2, Burst: 2}})
	now := identifier.Instant(10 * identifier.Second)
	holder := permitter.NewHolder[customer](permitter.QuotaTerms)
	holder.Use(now, "clinic")
	fmt.Println(holder.Take(now, "clinic"))
	answer := owner.Handle(now, "host-1", holder.Report(permitter.Reading{Process: 1, At: now}))
	holder.Receive(now, answer)
	fmt.Println(holder.Take(now, "clinic"))
	// Output:
	// false
	// true
}

// cluster plays owners and holders whose messages are late, lost and repeated.
type cluster struct {
	random    *rand.Rand
	now       identifier.Instant
	terms     permitter.Terms
	tolerance permitter.Tolerance
	limits    map[customer]permitter.Limit
	owners    []*owner
	holders   []*holder
	// changes holds when the owner changed.
	changes []identifier.Instant
	// inTransit are the messages on their way.
	inTransit []message
	// spent holds when requests of each customer were sent, within the window.
	spent map[customer][]identifier.Instant
	taken int
	// calm is set while requests are rare, until phaseEnds.
	calm      bool
	phaseEnds identifier.Instant
}

type owner struct {
	allotter *permitter.Allotter[customer]
	// until is when the owner stops, after another one has taken over.
	until identifier.Instant
}

type holder struct {
	id      identifier.HostID
	process identifier.Instant
	// offset is added to the time to get the reading of the holder's clock.
	offset identifier.Micros
	keeper *permitter.Holder[customer]
	// frozenUntil is when the holder's process runs again, by the time.
	frozenUntil identifier.Instant
	// waiting holds the customers of which a request waits.
	waiting map[customer]bool
	// loans are the requests that the holder's process, or an earlier one, has lent to others.
	loans []loan
	// undone holds the customers of requests that were taken and did not run.
	undone []customer
}

type loan struct {
	permitter.Loan
	customer customer
	process  identifier.Instant
}

// message is a report to an owner or an answer to a holder.
type message struct {
	at      identifier.Instant
	holder  int
	process identifier.Instant
	report  *permitter.Report[customer]
	owner   int
	answer  *permitter.Answer[customer]
}

func newCluster(seed uint64, hosts int, terms permitter.Terms, t permitter.Tolerance, limits map[customer]permitter.Limit) *cluster {
	c := &cluster{
		terms: terms, tolerance: t, limits: limits,
		random: rand.New(rand.NewPCG(seed, 1)), now: identifier.Instant(100 * identifier.Second), spent: map[customer][]identifier.Instant{},
	}
	for i := range hosts {
		c.holders = append(c.holders, &holder{
			id: identifier.HostID(fmt.Sprintf("host-%d", i)), process: 1, offset: identifier.Micros(c.random.Int64N(int64(identifier.Minute))),
			keeper: permitter.NewHolder[customer](terms), waiting: map[customer]bool{},
		})
	}
	c.changeOwner()
	return c
}

// mayChangeOwner reports whether the owner has changed at most once within Term, which another change makes two. If
// new owners wait, they may change at any time.
func (c *cluster) mayChangeOwner() bool {
	n := len(c.changes)
	return n < 2 || c.terms.Waits || c.now.Since(c.changes[n-2]) > permitter.Term+permitter.Overlap
}

// changeOwner makes another host the owner. The previous one stops within Overlap.
func (c *cluster) changeOwner() {
	if n := len(c.owners); n > 0 {
		c.owners[n-1].until = min(c.owners[n-1].until, c.now.Add(identifier.Micros(c.random.Int64N(int64(permitter.Overlap)))))
	}
	o := &owner{
		allotter: permitter.NewAllotter[customer](c.now, identifier.HostID(fmt.Sprintf("control-%d", len(c.owners))), c.tolerance, c.terms),
		until:    identifier.Never,
	}
	o.allotter.SetLimits(c.now, c.limits)
	c.owners = append(c.owners, o)
	c.changes = append(c.changes, c.now)
}

// deliverLater puts a message in transit, late, twice or not at all.
func (c *cluster) deliverLater(m message) {
	copies := 1
	switch c.random.IntN(20) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		delay := identifier.Micros(c.random.Int64N(int64(5 * identifier.Millisecond)))
		if c.random.IntN(30) == 0 {
			delay = identifier.Micros(c.random.Int64N(int64(3 * identifier.Second)))
		}
		m.at = c.now.Add(delay)
		c.inTransit = append(c.inTransit, m)
	}
}

// step plays one random event.
func (c *cluster) step() {
	c.now = c.now.Add(identifier.Micros(c.random.Int64N(int64(2 * identifier.Millisecond))))
	if c.now >= c.phaseEnds {
		c.calm, c.phaseEnds = !c.calm, c.now.Add(identifier.Micros(c.random.Int64N(int64(6*identifier.Second))))
	}
	c.deliver()
	requests := 1500
	if c.calm {
		requests = 100
	}
	i := c.random.IntN(len(c.holders))
	h := c.holders[i]
	switch n := c.random.IntN(4000); {
	case n < 2 && c.mayChangeOwner():
		c.changeOwner()
	case n >= 2 && n < 5:
		h.frozenUntil = c.now.Add(identifier.Micros(c.random.Int64N(int64(8 * identifier.Second))))
	case n == 5:
		h.process, h.keeper, h.undone = h.process+1, permitter.NewHolder[customer](c.terms), nil
		clear(h.waiting)
	case n >= 3000 && len(h.loans) > 0:
		// Hosts that have borrowed send also while the lender is frozen, or after it has restarted.
		c.settle(h)
	case h.frozenUntil > c.now:
	case n < requests:
		c.request(h)
	case n >= 1500 && n < 1600 && len(h.undone) > 0:
		h.keeper.Undo(h.clock(c.now), h.undone[0])
		h.undone = h.undone[1:]
	case h.keeper.NextReport(h.clock(c.now)) <= h.clock(c.now):
		r := h.keeper.Report(permitter.Reading{Process: h.process, At: h.clock(c.now)})
		to := len(c.owners) - 1
		if c.random.IntN(10) == 0 {
			to = c.random.IntN(len(c.owners))
		}
		c.deliverLater(message{holder: i, process: h.process, report: &r, owner: to})
	}
}

func (h *holder) clock(now identifier.Instant) identifier.Instant { return now.Add(h.offset) }

// request sends a request of a random customer if the holder may.
func (c *cluster) request(h *holder) {
	id := []customer{"small", "large", "large", "large", "slow"}[c.random.IntN(5)]
	h.keeper.Use(h.clock(c.now), id)
	taken := h.take(c, id)
	if c.terms.Idle == 0 && taken == h.waiting[id] {
		// Nothing is held for requests to come, so one of each customer waits.
		h.waiting[id] = !taken
		h.keeper.Wait(id, map[bool]permitter.Requests{true: -1, false: 1}[taken])
	}
	if !taken || c.terms.Waits {
		return
	}
	if c.random.IntN(20) == 0 {
		// It turns out not to run.
		h.undone = append(h.undone, id)
		return
	}
	c.spend(id)
}

// take takes or borrows a request.
func (h *holder) take(c *cluster, id customer) bool {
	if !c.terms.Waits {
		return h.keeper.Take(h.clock(c.now), id)
	}
	l, ok := h.keeper.Lend(h.clock(c.now), id)
	if ok {
		h.loans = append(h.loans, loan{l, id, h.process})
	}
	return ok
}

// settle sends the request of a loan, returns it, or lets it lapse. The lender may not hear that it was sent.
func (c *cluster) settle(h *holder) {
	i := c.random.IntN(len(h.loans))
	l := h.loans[i]
	h.loans = slices.Delete(h.loans, i, i+1)
	lapsed, sent := h.clock(c.now) >= l.Until, c.random.IntN(4) > 0
	if !lapsed && sent {
		c.spend(l.customer)
	}
	if l.process == h.process && h.frozenUntil <= c.now {
		h.keeper.Settle(h.clock(c.now), l.customer, l.Loan, sent || lapsed)
	}
}

// spend counts a request that was sent.
func (c *cluster) spend(id customer) {
	c.taken++
	window := slices.DeleteFunc(c.spent[id], func(at identifier.Instant) bool { return c.now.Since(at) >= c.tolerance.Window })
	c.spent[id] = append(window, c.now)
	gomega.Expect(len(c.spent[id])).To(gomega.BeNumerically("<=", limitWith(c.tolerance, c.limits[id])), "requests of %s within a window, at %d", id, c.now)
}

func (c *cluster) deliver() {
	var due []message
	c.inTransit = slices.DeleteFunc(c.inTransit, func(m message) bool {
		if m.at <= c.now {
			due = append(due, m)
		}
		return m.at <= c.now
	})
	for _, m := range due {
		h := c.holders[m.holder]
		if m.report != nil {
			if o := c.owners[m.owner]; c.now < o.until {
				a := o.allotter.Handle(c.now, h.id, *m.report)
				gomega.Expect(o.allotter.Violated()).To(gomega.BeFalse())
				c.deliverLater(message{holder: m.holder, process: m.process, answer: &a})
			}
			continue
		}
		if h.frozenUntil > c.now {
			// A frozen process reads the message when it runs again.
			m.at = h.frozenUntil
			c.inTransit = append(c.inTransit, m)
			continue
		}
		if m.process == h.process {
			h.keeper.Receive(h.clock(c.now), *m.answer)
		}
	}
}

var _ = ginkgo.Describe("allotments", func() {
	quotas := map[customer]permitter.Limit{"small": {Rate: 1.2, Burst: 1.2}, "large": {Rate: 34, Burst: 34}, "slow": {Rate: 0.1}}
	coldServers := map[customer]permitter.Limit{"small": {Rate: 5}, "large": {Rate: 60}, "slow": {Rate: 0.5}}
	for _, c := range []struct {
		name      string
		hosts     int
		seed      uint64
		terms     permitter.Terms
		tolerance permitter.Tolerance
		limits    map[customer]permitter.Limit
	}{
		{"stay within the limit with a few hosts", 3, 1, permitter.QuotaTerms, tolerance, quotas},
		{"stay within the limit with many hosts", 60, 2, permitter.QuotaTerms, tolerance, quotas},
		{"stay within the limit with a single host", 1, 3, permitter.QuotaTerms, tolerance, quotas},
		{"stay within the limit of a second with a few hosts", 3, 4, permitter.BriefTerms, briefTolerance, coldServers},
		{"stay within the limit of a second with many hosts", 60, 5, permitter.BriefTerms, briefTolerance, coldServers},
	} {
		ginkgo.It(c.name+" while owners change, hosts freeze and messages are late, lost or repeated", func() {
			x := newCluster(c.seed, c.hosts, c.terms, c.tolerance, c.limits)
			for i := range *randomEvents {
				x.step()
				if i%10000 == 0 {
					gomega.Expect(x.owners[len(x.owners)-1].allotter.Balanced()).To(gomega.BeTrue())
				}
			}
			// The play must spend enough to reach the limits.
			gomega.Expect(x.taken).To(gomega.BeNumerically(">", *randomEvents/1000))
		})
	}

	// start returns an owner with a full level and a holder.
	start := func(l permitter.Limit, t permitter.Terms) (*permitter.Allotter[customer], *permitter.Holder[customer], identifier.Instant) {
		o := permitter.NewAllotter[customer](0, "control-1", tolerance, t)
		o.SetLimits(0, map[customer]permitter.Limit{"a": l})
		return o, permitter.NewHolder[customer](t), identifier.Instant(identifier.Minute)
	}
	exchange := func(o *permitter.Allotter[customer], h *permitter.Holder[customer], now identifier.Instant) {
		h.Receive(now, o.Handle(now, "host", h.Report(permitter.Reading{Process: 1, At: now})))
	}

	ginkgo.It("end a term after the holder asked", func() {
		o, h, now := start(permitter.Limit{Rate: 10, Burst: 10}, permitter.QuotaTerms)
		h.Use(now, "a")
		exchange(o, h, now)
		gomega.Expect(h.Held(now.Add(permitter.Term-1), "a")).To(gomega.BeNumerically(">", 0))
		gomega.Expect(h.Held(now.Add(permitter.Term), "a")).To(gomega.BeZero())
	})

	ginkgo.It("are denied beyond the limit, until more can be granted", func() {
		o, h, now := start(permitter.Limit{Rate: 2, Burst: 2}, permitter.QuotaTerms)
		for range limitOf(permitter.Limit{Rate: 2, Burst: 2}) {
			h.Use(now, "a")
			if !h.Take(now, "a") {
				h.Wait("a", 1)
				exchange(o, h, now)
				h.Wait("a", -1)
				h.Take(now, "a")
			}
			now++
		}
		wait := h.DeniedUntil("a").Since(now)
		gomega.Expect(wait).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 500*identifier.Millisecond)))
	})

	ginkgo.It("of requests that did not run are used again", func() {
		o, h, now := start(permitter.Limit{Burst: 1}, permitter.QuotaTerms)
		h.Use(now, "a")
		exchange(o, h, now)
		held := h.Held(now, "a")
		h.Take(now, "a")
		h.Undo(now, "a")
		h.Undo(now, "a")
		gomega.Expect(h.Held(now, "a")).To(gomega.Equal(held))
	})

	ginkgo.It("go back to the owner when a holder is idle", func() {
		o, h, now := start(permitter.Limit{Rate: 1, Burst: 1}, permitter.QuotaTerms)
		h.Use(now, "a")
		exchange(o, h, now)
		gomega.Expect(o.Held("a")).To(gomega.BeNumerically(">", 0))
		for range 12 {
			now = now.Add(identifier.Second)
			exchange(o, h, now)
		}
		gomega.Expect(o.Held("a")).To(gomega.BeZero())
		gomega.Expect(h.NextReport(now)).To(gomega.Equal(identifier.Never))
	})

	// Guards against customers that are refused since what a stopped host held counts as spent.
	ginkgo.It("go back to the owner at once when a holder stops", func() {
		o, h, now := start(permitter.Limit{Rate: 10, Burst: 10}, permitter.QuotaTerms)
		for range 20 {
			h.Use(now, "a")
		}
		exchange(o, h, now)
		held := h.Held(now, "a")
		gomega.Expect(held).To(gomega.BeNumerically(">", 1))
		gomega.Expect(h.Take(now, "a")).To(gomega.BeTrue())
		h.Drain()
		now = now.Add(identifier.Millisecond)
		exchange(o, h, now)
		gomega.Expect(o.Held("a")).To(gomega.BeZero())
		gomega.Expect(h.Take(now, "a")).To(gomega.BeFalse())
		next := permitter.NewHolder[customer](permitter.QuotaTerms)
		for range 20 {
			next.Use(now, "a")
			next.Wait("a", 1)
		}
		next.Receive(now, o.Handle(now, "host-2", next.Report(permitter.Reading{Process: 1, At: now})))
		gomega.Expect(next.Held(now, "a")).To(gomega.BeNumerically(">=", held-1))
		gomega.Expect(o.Balanced()).To(gomega.BeTrue())
	})

	// The owner keeps the counters of a session, and a holder that began anew would count all its grants again.
	ginkgo.It("are not granted again after an account was idle in a session", func() {
		for _, terms := range []permitter.Terms{permitter.QuotaTerms, permitter.BriefTerms} {
			o, h, now := start(permitter.Limit{Rate: 100, Burst: 10}, terms)
			spend := func() (taken int) {
				h.Use(now, "a")
				h.Wait("a", 1)
				exchange(o, h, now)
				h.Wait("a", -1)
				for h.Take(now, "a") {
					taken++
				}
				return taken
			}
			first := spend()
			for range 200 {
				now = now.Add(100 * identifier.Millisecond)
				h.Use(now, "b")
				exchange(o, h, now)
			}
			gomega.Expect(first).To(gomega.BeNumerically(">", 0))
			gomega.Expect(spend()).To(gomega.Equal(first))
		}
	})

	// A session may outlast the limit of an account, as that of a server that is no longer cold.
	ginkgo.It("of an account that has been removed end with the session", func() {
		o, h, now := start(permitter.Limit{Rate: 1, Burst: 1}, permitter.BriefTerms)
		h.Use(now, "a")
		h.Wait("a", 1)
		exchange(o, h, now)
		h.Wait("a", -1)
		gomega.Expect(h.Take(now, "a")).To(gomega.BeTrue())
		exchange(o, h, now.Add(identifier.Millisecond))
		o.SetLimits(now, nil)
		now = now.Add(2 * permitter.BriefTerm)
		exchange(o, h, now)
		gomega.Expect(o.Balanced()).To(gomega.BeTrue())
	})

	// What the previous owner allotted can be spent until then, in addition to the new one's level.
	ginkgo.It("are not made by a new owner while earlier ones last, if new owners wait", func() {
		for _, c := range []struct {
			at   identifier.Micros
			held permitter.Requests
		}{
			{permitter.Overlap + permitter.BriefTerm - 1, 0},
			{permitter.Overlap + permitter.BriefTerm + identifier.Second, 1},
		} {
			o, h, _ := start(permitter.Limit{Rate: 10}, permitter.BriefTerms)
			now := identifier.Instant(c.at)
			h.Use(now, "a")
			h.Wait("a", 1)
			exchange(o, h, now)
			gomega.Expect(h.Held(now, "a")).To(gomega.Equal(c.held))
		}
	})

	ginkgo.It("that are lent can't be used by the lender, and come back if they were not sent", func() {
		o, h, now := start(permitter.Limit{Rate: 10}, permitter.BriefTerms)
		h.Use(now, "a")
		h.Wait("a", 1)
		exchange(o, h, now)
		l, ok := h.Lend(now, "a")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(l.Until).To(gomega.Equal(now.Add(permitter.BriefTerm)))
		gomega.Expect(h.Take(now, "a")).To(gomega.BeFalse())
		h.Settle(now, "a", l, false)
		h.Settle(now, "a", l, false)
		gomega.Expect(h.Take(now, "a")).To(gomega.BeTrue())
		gomega.Expect(h.Take(now, "a")).To(gomega.BeFalse())
	})

	// A holder that was frozen for almost a term first drops its session, and then reads the answer.
	ginkgo.It("are not granted again by an answer of a session that the holder has ended", func() {
		o, h, now := start(permitter.Limit{Rate: 10, Burst: 10}, permitter.QuotaTerms)
		h.Use(now, "a")
		exchange(o, h, now)
		h.Take(now, "a")
		now = now.Add(permitter.Term / 2)
		h.Use(now, "a")
		answer := o.Handle(now, "host", h.Report(permitter.Reading{Process: 1, At: now}))
		now = now.Add(permitter.Term / 2)
		gomega.Expect(h.Held(now, "a")).To(gomega.BeZero())
		h.Receive(now, answer)
		gomega.Expect(h.Held(now, "a")).To(gomega.BeZero())
		now = now.Add(permitter.Term / 6)
		exchange(o, h, now)
		gomega.Expect(h.Held(now, "a")).To(gomega.Equal(o.Held("a")))
	})

	ginkgo.It("are asked for again after a denial that was forgotten", func() {
		o, h, now := start(permitter.Limit{Rate: 0.01}, permitter.QuotaTerms)
		for range limitOf(permitter.Limit{Rate: 0.01}) {
			h.Use(now, "a")
		}
		exchange(o, h, now)
		for h.Take(now, "a") {
		}
		h.Wait("a", 1)
		now = now.Add(permitter.Term / 30)
		exchange(o, h, now)
		gomega.Expect(h.NextReport(now)).To(gomega.BeNumerically(">", now.Add(10*permitter.Term)))
		o.SetLimits(now, map[customer]permitter.Limit{"a": {Rate: 100}})
		h.ForgetDenials()
		now = now.Add(permitter.Term / 30)
		gomega.Expect(h.NextReport(now)).To(gomega.Equal(now))
		exchange(o, h, now)
		gomega.Expect(h.Take(now, "a")).To(gomega.BeTrue())
	})

	// The owner must survive the end of the session, and a customer without a limit is not refused.
	for _, c := range []struct {
		name           string
		held, restored bool
	}{
		{"that are spent", false, false},
		{"that are held", true, false},
		{"that are spent before it is restored", false, true},
		{"that are held until it is restored", true, true},
	} {
		ginkgo.It("of a limit that is withdrawn, "+c.name+", end with their session", func() {
			o, h, now := start(permitter.Limit{Rate: 10, Burst: 10}, permitter.QuotaTerms)
			h.Use(now, "a")
			exchange(o, h, now)
			if !c.held {
				h.Take(now, "a")
				now = now.Add(permitter.Term / 30)
				o.Handle(now, "host", permitter.Report[customer]{
					Session: permitter.SessionID{Owner: "control-1", Began: identifier.Instant(identifier.Minute)},
					Asked:   permitter.Reading{Process: 1, At: now}, Accounts: []permitter.AccountReport[customer]{{Account: "a", Spent: 1}},
				})
				gomega.Expect(o.Held("a")).To(gomega.BeZero())
			}
			o.SetLimits(now, nil)
			now++
			h.Use(now, "a")
			exchange(o, h, now)
			gomega.Expect(h.Unknown("a")).To(gomega.BeTrue())
			if c.restored {
				o.SetLimits(now, map[customer]permitter.Limit{"a": {Rate: 10, Burst: 10}})
				exchange(o, h, now)
			}
			now = now.Add(permitter.Term * 2)
			o.Handle(now, "other", permitter.Report[customer]{Asked: permitter.Reading{Process: 1, At: now}})
			gomega.Expect(o.Balanced()).To(gomega.BeTrue())
		})
	}

	// Requests allotted before run by the limit before. If they counted by the new one, the customer would
	// have no credit for as long as the new rate takes to make up for them.
	ginkgo.It("of a lowered limit don't count against the new one", func() {
		o, h, now := start(permitter.Limit{Rate: 100, Burst: 100}, permitter.QuotaTerms)
		for range 100 {
			h.Use(now, "a")
		}
		exchange(o, h, now)
		gomega.Expect(o.Held("a")).To(gomega.BeNumerically(">", 20))
		o.SetLimits(now, map[customer]permitter.Limit{"a": {Rate: 1, Burst: 1}})
		for h.Take(now, "a") {
		}
		now = now.Add(permitter.Term / 30)
		exchange(o, h, now)
		now = now.Add(2 * identifier.Second)
		h.Use(now, "a")
		h.Wait("a", 1)
		exchange(o, h, now)
		gomega.Expect(h.Held(now, "a")).To(gomega.BeNumerically(">", 0))
		gomega.Expect(o.Balanced()).To(gomega.BeTrue())
	})

	// What is held is renewed with each report, so without a return the earlier limit could be used much later.
	ginkgo.It("of an earlier burst go back to the owner when the demand falls", func() {
		o, h, now := start(permitter.Limit{Rate: 100, Burst: 100}, permitter.QuotaTerms)
		for range 100 {
			h.Use(now, "a")
		}
		exchange(o, h, now)
		gomega.Expect(h.Held(now, "a")).To(gomega.BeNumerically(">", 50))
		o.SetLimits(now, map[customer]permitter.Limit{"a": {Rate: 1, Burst: 1}})
		// The new limit binds a window after the 4 s in which it reaches all hosts.
		for range 18 {
			now = now.Add(permitter.Term / 6)
			h.Use(now, "a")
			h.Take(now, "a")
			exchange(o, h, now)
		}
		gomega.Expect(h.Held(now, "a")).To(gomega.BeNumerically("<", limitOf(permitter.Limit{Rate: 1, Burst: 1})))
		gomega.Expect(o.Held("a")).To(gomega.Equal(h.Held(now, "a")))
	})

	ginkgo.It("of a lowered limit are granted by the new one", func() {
		o, h, now := start(permitter.Limit{Rate: 100, Burst: 100}, permitter.QuotaTerms)
		o.SetLimits(now, map[customer]permitter.Limit{"a": {Rate: 1, Burst: 1}})
		for range 200 {
			h.Use(now, "a")
		}
		exchange(o, h, now)
		gomega.Expect(h.Held(now, "a")).To(gomega.BeNumerically("<=", limitOf(permitter.Limit{Rate: 1, Burst: 1})))
	})
})

var _ = ginkgo.Describe("a prover", func() {
	ginkgo.It("confirms what was asked before a read began", func() {
		p := permitter.NewProver()
		now := identifier.Instant(identifier.Minute)
		p.Ask("a", permitter.Reading{Process: 1, At: 5})
		gomega.Expect(p.Begin(now)).To(gomega.BeTrue())
		gomega.Expect(p.Begin(now)).To(gomega.BeFalse())
		p.Ask("a", permitter.Reading{Process: 1, At: 9})
		p.Finish(true, 7)
		reading, version, ok := p.Proof("a")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(reading.At).To(gomega.Equal(identifier.Instant(5)))
		gomega.Expect(version).To(gomega.Equal(identifier.Version(7)))
	})

	ginkgo.It("confirms nothing when the read fails, and reads again", func() {
		p := permitter.NewProver()
		now := identifier.Instant(identifier.Minute)
		p.Ask("a", permitter.Reading{Process: 1, At: 5})
		p.Begin(now)
		p.Finish(false, 0)
		_, _, ok := p.Proof("a")
		gomega.Expect(ok).To(gomega.BeFalse())
		gomega.Expect(p.Begin(now.Add(permitter.ProofInterval))).To(gomega.BeTrue())
		p.Finish(true, 7)
		reading, _, _ := p.Proof("a")
		gomega.Expect(reading.At).To(gomega.Equal(identifier.Instant(5)))
	})

	ginkgo.It("prefers the reading of the latest process", func() {
		p := permitter.NewProver()
		p.Ask("a", permitter.Reading{Process: 2, At: 1})
		p.Ask("a", permitter.Reading{Process: 1, At: 9})
		p.Begin(identifier.Instant(identifier.Minute))
		p.Finish(true, 7)
		reading, _, _ := p.Proof("a")
		gomega.Expect(reading.Process).To(gomega.Equal(identifier.Instant(2)))
	})
})

var _ = ginkgo.Describe("the holdings of a holder", func() {
	for _, c := range []struct {
		name  string
		most  int
		after identifier.Micros
		held  []permitter.Holding[customer]
		total permitter.Requests
	}{
		{"name the accounts with most first", 9, 0, []permitter.Holding[customer]{{"b", 3}, {"a", 1}, {"c", 1}}, 5},
		// Metrics with a label for each of thousands of customers would be too large.
		{"name no more accounts than wanted, and count all", 1, 0, []permitter.Holding[customer]{{"b", 3}}, 5},
		{"end with the allotments", 9, permitter.Term, []permitter.Holding[customer]{}, 0},
	} {
		ginkgo.It(c.name, func() {
			owner := permitter.NewAllotter[customer](0, "control-1", tolerance, permitter.QuotaTerms)
			limit := permitter.Limit{Rate: 20, Burst: 20}
			owner.SetLimits(0, map[customer]permitter.Limit{"a": limit, "b": limit, "c": limit})
			now := identifier.Instant(10 * identifier.Second)
			holder := permitter.NewHolder[customer](permitter.QuotaTerms)
			for _, id := range []customer{"a", "b", "b", "b", "c"} {
				holder.Use(now, id)
			}
			holder.Receive(now, owner.Handle(now, "host-1", holder.Report(permitter.Reading{Process: 1, At: now})))
			gomega.Expect(owner.Sessions(now)).To(gomega.Equal(1))
			held, total := holder.Holdings(now.Add(c.after), c.most)
			gomega.Expect(held).To(gomega.HaveExactElements(c.held))
			gomega.Expect(total).To(gomega.Equal(c.total))
			gomega.Expect(owner.Sessions(now.Add(c.after + 1))).To(gomega.Equal(min(1, len(held))))
		})
	}
})

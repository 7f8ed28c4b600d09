package reducer

import (
	"maps"
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/throttler"
)

// All entry hosts together may send a service extra attempts up to a share of the first attempts
// plus a slack in each window. Each host earns the share with its own first attempts. Part of the
// slack is saved up by each host, for use without a message. Another part is lent by the control
// hosts on demand, since a server that is slow or drops connections costs a few hosts many extra
// attempts and the other hosts none. The portions keep the sum within the limit even in the worst
// case: all hosts have saved up their part, and all borrow until they are notified, with a delay,
// that nothing is left.
const (
	// earnedPortion is the fraction of the share that hosts earn.
	earnedPortion = 0.65
	// savedPortion is the fraction of the slack that hosts may save up, at least one attempt each.
	savedPortion = 0.4
	// lentPortion is the fraction of the slack that control hosts lend in a window. The rest of the
	// slack and the share covers what is borrowed before all hosts know that no more is lent.
	lentPortion = 0.55
	// creditPortion is the fraction of the slack that hosts may borrow between two messages from
	// their control hosts, at least one attempt each.
	creditPortion = 0.2
)

// Counters of extra attempts.
const (
	ExtraAttemptsCounter         Counter = "repeated-exchanges"
	ExtraAttemptsBorrowedCounter Counter = "repeated-exchanges-borrowed"
	ExtraAttemptsWithheldCounter Counter = "repeated-exchanges-withheld"
)

// LendingUpdated passes to the traffic states of a host what the control host that it subscribes to
// lends.
type LendingUpdated struct {
	processEvent
	Lending Lending
}

// Lending describes the extra attempts that a control host lends.
type Lending struct {
	// Open is set while any extra attempts are lent.
	Open bool `msgpack:"o"`
	// Exhausted are the services for which no more extra attempts are lent.
	Exhausted []identifier.ServiceID `msgpack:"x"`
}

// Borrowed is how many extra attempts to a service a host has borrowed since its last report.
type Borrowed struct {
	Service identifier.ServiceID `msgpack:"s"`
	Count   int                  `msgpack:"n"`
}

// credit tracks the extra attempts that a traffic state may borrow and has borrowed.
type credit struct {
	open      bool
	exhausted map[identifier.ServiceID]bool
	// used counts the attempts borrowed since the control host's last message or not yet reported to
	// it; unreported counts the latter.
	used, unreported map[identifier.ServiceID]int
}

func newCredit() credit {
	return credit{
		exhausted:  map[identifier.ServiceID]bool{},
		used:       map[identifier.ServiceID]int{},
		unreported: map[identifier.ServiceID]int{},
	}
}

// updateLending sets what the control host lends from now on.
func (c *credit) updateLending(l Lending) {
	c.open = l.Open
	clear(c.exhausted)
	for _, id := range l.Exhausted {
		c.exhausted[id] = true
	}
	// The control host has not counted what is unreported: a message must not make room for more of it.
	clear(c.used)
	maps.Copy(c.used, c.unreported)
}

// available returns how many extra attempts the host may borrow, given its limit.
func (c *credit) available(id identifier.ServiceID, limit int) int {
	if !c.open || c.exhausted[id] {
		return 0
	}
	return max(0, limit-c.used[id])
}

// borrow takes an extra attempt from what is lent, if the host's limit allows one more.
func (c *credit) borrow(id identifier.ServiceID, limit int) bool {
	if c.available(id, limit) <= 0 {
		return false
	}
	c.used[id]++
	c.unreported[id]++
	return true
}

// spendAttempt takes an attempt for a piece from the budgets, and reports whether they allow it.
// The first attempt is free and earns a share of an extra one; an extra one is taken from what
// this host has saved up for the service, or else from what is lent.
func (s *State) spendAttempt(q *request, p *piece) bool {
	budget := s.extraBudget(p.service)
	if p.arrivals == 0 {
		budget.Earn(s.extraShare())
		return true
	}
	saved := budget.Spend()
	if !saved && !s.borrowExtra(p.service) {
		s.count(ExtraAttemptsWithheldCounter, "", q.rank)
		s.logRequest(q, Info, "no budget for another attempt", Field{"service", string(p.service)})
		return false
	}
	s.require(budget.WithinBudget(), RetryInvariant, string(p.service))
	s.count(ExtraAttemptsCounter, "", q.rank)
	from := "saved"
	if !saved {
		from = "borrowed"
		s.count(ExtraAttemptsBorrowedCounter, "", q.rank)
	}
	s.logRequest(q, Info, "another attempt", Field{"service", string(p.service)}, Field{"budget", from},
		Field{"tried", formatServers(p.tried)}, Field{"refused", formatServers(p.refused)})
	return true
}

// borrowExtra borrows an extra attempt to a service.
func (s *State) borrowExtra(id identifier.ServiceID) bool {
	if !s.traffic.credit.borrow(id, s.creditLimit()) {
		return false
	}
	s.scheduleMeasurements()
	s.schedulePromptReport(id)
	return true
}

// creditLimit returns how many extra attempts to a service this host may borrow at a time.
func (s *State) creditLimit() int {
	return max(1, int(math.Ceil(creditPortion*s.extraSlack())))
}

// extraBudget returns this host's own budget of extra attempts to a service.
func (s *State) extraBudget(id identifier.ServiceID) *throttler.Throttler {
	budget, ok := s.traffic.extraBudgets[id]
	if !ok {
		size := bucketSize(s.extraSlack())
		full := throttler.New(size, size)
		budget = &full
		s.traffic.extraBudgets[id] = budget
	}
	return budget
}

// bucketSize returns the maximum number of extra attempts that a host saves up, given its part of
// the slack.
func bucketSize(slack float64) float64 {
	return max(1, slack*savedPortion)
}

// extraSlack returns this host's part of the slack.
func (s *State) extraSlack() float64 {
	d, ok := s.parameters.Duty.(EntryDuty)
	if !ok {
		return 0
	}
	counts := s.traffic.view.Fleet.HostCounts
	return float64(d.ExtraAttempts.Slack) / float64(counts.Local+counts.Remote)
}

// extraShare returns the fraction of an extra attempt that a first attempt earns.
func (s *State) extraShare() identifier.Ratio {
	d, ok := s.parameters.Duty.(EntryDuty)
	if !ok {
		return 0
	}
	return d.ExtraAttempts.Share * earnedPortion
}

// extraWindow returns the time window of the slack on a control host; it is 0 on other hosts and
// on control hosts that lend no extra attempts.
func (s *State) extraWindow() identifier.Micros {
	if d, ok := s.parameters.Duty.(ControlDuty); ok {
		return d.ExtraAttempts.Window
	}
	return 0
}

// lend counts what an entry host has borrowed, and reports whether it exhausts further services,
// so that subscribers must be notified.
func (s *State) lend(borrowed []Borrowed) bool {
	if len(borrowed) == 0 {
		return false
	}
	sl := &s.control.serverList
	before := len(s.lending(len(s.allEntryHosts())).Exhausted)
	for _, b := range borrowed {
		sl.lender.RecordLoans(s.now, b.Service, b.Count)
	}
	return len(s.lending(len(s.allEntryHosts())).Exhausted) > before
}

// lending returns what this control host lends: in each window, its subscribers' part of the
// slack. For one window after its start a host lends nothing, since it doesn't know what was lent
// before.
func (s *State) lending(entryHosts int) Lending {
	d, ok := s.parameters.Duty.(ControlDuty)
	window := s.extraWindow()
	if !ok || window == 0 || s.now.Since(s.control.started) < window {
		return Lending{}
	}
	subscribers := 0
	for _, p := range s.control.serverList.pollers {
		if p.subscribed {
			subscribers++
		}
	}
	limit := lentPortion * float64(d.ExtraAttempts.Slack) * float64(subscribers) / float64(max(subscribers, entryHosts))
	if limit < 1 {
		return Lending{}
	}
	return Lending{Open: true, Exhausted: s.control.serverList.lender.Exhausted(s.now, limit)}
}

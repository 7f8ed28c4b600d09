package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

// The leader of the replicated log owns the quotas of customers. Control hosts hold allotments for the entry hosts
// that subscribe to them: the entry hosts of a failure domain together send enough requests of most customers to
// make use of what is held, and a few of them alone don't. An entry host asks its control host for one credit for
// each request, whatever the number of its attempts, and returns it if no attempt has run.

const (
	// creditWaitDivisor divides the target latency to limit how long a request waits for a credit: a client that
	// is refused within that time can still be served elsewhere.
	creditWaitDivisor = 4
	// minCreditWait is the least time for the round trip to the owner on busy hosts.
	minCreditWait = 10 * identifier.Millisecond
	// creditRetryInterval is the time after which a request asks another control host for its credit: several
	// round trips between failure domains.
	creditRetryInterval = 25 * identifier.Millisecond
	// creditHoldTime is how long a control host keeps a request for a credit that it can't answer yet.
	creditHoldTime = 250 * identifier.Millisecond
	// creditReturnLimit is how long after it was given a credit may be returned. The customer's level rises meanwhile, up
	// to its maximum; what is returned later would come on top of that and could exceed the limit after an outage of
	// servers.
	creditReturnLimit = 500 * identifier.Millisecond
	// OwnerMissingRetryAfter is the Retry-After of a request that waited for a credit in vain: about half the
	// time in which another owner is elected.
	OwnerMissingRetryAfter = 500 * identifier.Millisecond
	// minQuotaRetryAfter is the least Retry-After of a request beyond the quota, so that clients don't return
	// before the owner can answer another report.
	minQuotaRetryAfter = 50 * identifier.Millisecond
)

// AllotmentInvariant requires that the owner of quotas allots no more than accrues.
const AllotmentInvariant Invariant = "allotted-as-earned"

// CreditInvariant requires that nothing is sent for a request that waits for a credit: it may be refused as not
// run.
const CreditInvariant Invariant = "admitted-before-sent"

// Counters of quotas, by customer or, for the messages of allotments, in total.
const (
	CustomerRequestsCounter  Counter = "customer-requests"
	QuotaRefusalsCounter     Counter = "customer-quota-refusals"
	OwnerMissingCounter      Counter = "customer-owner-missing"
	AllotmentReportsCounter  Counter = "allotment-reports"
	AllotmentAnswersCounter  Counter = "allotment-answers"
	CreditsRequestedCounter  Counter = "credits-requested"
	UnprovenRefusalsCounter  Counter = "unproven-refusals"
	UnknownKeyRefusalCounter Counter = "unknown-key-refusals"
)

// Events about quotas.
type (
	// CreditRequested asks a control host for a credit for one request.
	CreditRequested struct {
		membershipEvent
		From     identifier.HostID     `msgpack:"f"`
		Request  identifier.RequestID  `msgpack:"r"`
		Customer identifier.CustomerID `msgpack:"c"`
	}
	// CreditReturned gives back a credit whose request did not run.
	CreditReturned struct {
		membershipEvent
		Customer identifier.CustomerID `msgpack:"c"`
	}
	// CreditAnswered grants or denies the credit.
	CreditAnswered struct {
		requestEvent
		From    identifier.HostID    `msgpack:"f"`
		Request identifier.RequestID `msgpack:"r"`
		// RetryAfter is set if the credit is denied: when there will be another one, in microseconds.
		RetryAfter identifier.Micros     `msgpack:"a"`
		Customer   identifier.CustomerID `msgpack:"c"`
	}
	// AllotmentsRequested reports to the owner of the quotas what a control host has spent and wants.
	AllotmentsRequested struct {
		membershipEvent
		From   identifier.HostID                       `msgpack:"f"`
		Report permitter.Report[identifier.CustomerID] `msgpack:"r"`
	}
	// AllotmentsSent is the owner's answer.
	AllotmentsSent struct {
		membershipEvent
		Answer permitter.Answer[identifier.CustomerID] `msgpack:"a"`
	}
)

// Key returns the request.
func (e CreditAnswered) Key() identifier.RequestName {
	return identifier.RequestName{Request: e.Request}
}

// hasQuota reports whether requests of the customer need a credit.
func (s *State) hasQuota(c *declarer.Customer) bool {
	d, _ := s.parameters.Duty.(EntryDuty)
	return d.Quotas && c != nil && c.Limited()
}

// admitByQuota reports whether a request goes on now. If its customer has a quota, the request waits for a credit,
// or is refused if the customer's last one was denied and there is no other yet.
func (s *State) admitByQuota(q *request) bool {
	if !s.hasQuota(q.customer) {
		return true
	}
	if until := s.traffic.deniedUntil[q.customer.ID]; until > s.now {
		s.refuseByQuota(q, until)
		return false
	}
	q.credit = creditAwaited
	q.creditDeadline = min(q.deadline, s.now.Add(max(minCreditWait, q.route.TargetLatency/creditWaitDivisor)))
	s.requestCredit(q)
	return false
}

// requestCredit asks a control host for a credit, first the one that this host subscribes to and then others in
// turn, until the request has waited for too long.
func (s *State) requestCredit(q *request) {
	hosts := s.traffic.view.Fleet.creditHosts()
	if len(hosts) > 0 {
		s.count(CreditsRequestedCounter, "", q.rank)
		s.emit(Send{To: hosts[q.creditTries%len(hosts)], Event: CreditRequested{
			From: s.parameters.Host, Request: q.Request, Customer: q.customer.ID,
		}})
	}
	q.creditTries++
	s.schedule(min(q.creditDeadline, s.now.Add(creditRetryInterval)), creditDue{q.Request})
}

// creditHosts returns the control hosts that may be asked for credits, in the order in which they are asked.
func (v *FleetView) creditHosts() []identifier.HostID {
	if v.ControlHost == "" {
		return v.ControlHosts
	}
	return append([]identifier.HostID{v.ControlHost}, slices.DeleteFunc(slices.Clone(v.ControlHosts), func(h identifier.HostID) bool {
		return h == v.ControlHost
	})...)
}

// handleCreditTimer asks again for the credit of a request that still waits, or refuses the request if it has
// waited for too long.
func (s *State) handleCreditTimer(id identifier.RequestID) {
	q, ok := s.traffic.requests[identifier.RequestName{Request: id}]
	if !ok || q.credit != creditAwaited {
		return
	}
	if s.now < q.creditDeadline {
		s.requestCredit(q)
		return
	}
	s.count(OwnerMissingCounter, q.customer.ID, q.rank)
	s.finishRequest(q, Declined{Reason: QuotaOwnerMissing, Ran: RanNo, RetryAfter: OwnerMissingRetryAfter})
}

// receiveCredit lets a request go on, or refuses it. A credit that is no longer needed is returned. An answer may be
// meant for a request with the same number of an earlier process of this host, or have waited while this host was
// frozen, so that its credit was counted long ago.
func (s *State) receiveCredit(e CreditAnswered) {
	q, ok := s.traffic.requests[e.Key()]
	waits := ok && q.credit == creditAwaited && q.customer.ID == e.Customer
	if waits && s.now >= q.creditDeadline {
		s.handleCreditTimer(e.Request)
		waits = false
	}
	switch {
	case e.RetryAfter > 0 && waits:
		until := s.now.Add(e.RetryAfter)
		s.traffic.deniedUntil[q.customer.ID] = until
		s.refuseByQuota(q, until)
		return
	case e.RetryAfter > 0:
		return
	case !waits:
		s.emit(Send{To: e.From, Event: CreditReturned{Customer: e.Customer}})
		return
	}
	q.credit, q.creditFrom, q.creditAt = creditTaken, e.From, s.now
	s.beginRequest(q)
}

// refuseByQuota refuses a request beyond its customer's quota.
func (s *State) refuseByQuota(q *request, until identifier.Instant) {
	s.count(QuotaRefusalsCounter, q.customer.ID, q.rank)
	s.finishRequest(q, Declined{Reason: QuotaExceeded, Ran: RanNo, RetryAfter: max(minQuotaRetryAfter, until.Since(s.now))})
}

// returnCredit gives back the credit of a request that ends soon, before any attempt may have run.
func (s *State) returnCredit(q *request) {
	if q.credit == creditTaken && !q.mayHaveRun() && s.now.Since(q.creditAt) <= creditReturnLimit {
		s.emit(Send{To: q.creditFrom, Event: CreditReturned{Customer: q.customer.ID}})
	}
	q.credit = creditNone
}

// creditState is what a request has of its customer's quota.
type creditState uint8

const (
	creditNone creditState = iota
	// creditAwaited requests have asked for a credit; nothing is sent for them meanwhile.
	creditAwaited
	creditTaken
)

// quotaState is the part of a control host that holds allotments and gives credits to entry hosts.
type quotaState struct {
	holder *permitter.Holder[identifier.CustomerID]
	// waiting holds the requests for credits that can't be answered yet, in order of arrival.
	waiting map[identifier.CustomerID][]waitingCredit
	// reportAt is the instant of the next report; Never if none is scheduled.
	reportAt identifier.Instant
	// publishAt is the instant from which the credits are published again.
	publishAt identifier.Instant
	// leads is set while this host leads. owner divides the quotas then, unless they are unknown; nil otherwise.
	leads bool
	owner *permitter.Allotter[identifier.CustomerID]
}

type waitingCredit struct {
	request CreditRequested
	until   identifier.Instant
}

func newQuotaState() quotaState {
	return quotaState{
		holder: permitter.NewHolder[identifier.CustomerID](permitter.QuotaTerms), waiting: map[identifier.CustomerID][]waitingCredit{}, reportAt: identifier.Never,
	}
}

// tolerance returns by how much customers may exceed their quotas, and whether this host takes part in them.
func (s *State) tolerance() (permitter.Tolerance, bool) {
	d, ok := s.parameters.Duty.(ControlDuty)
	return d.Quotas, ok && d.Quotas.Window > 0
}

// giveCredit answers an entry host that asks for a credit, or keeps the question until the owner has answered.
func (s *State) giveCredit(e CreditRequested) {
	if _, ok := s.tolerance(); !ok {
		return
	}
	d := &s.control.credits
	d.holder.Use(s.now, e.Customer)
	d.waiting[e.Customer] = append(d.waiting[e.Customer], waitingCredit{e, s.now.Add(creditHoldTime)})
	d.holder.Wait(e.Customer, 1)
	s.answerWaiting(e.Customer)
	s.scheduleReport()
}

// answerWaiting answers the waiting questions for credits of a customer as far as possible.
func (s *State) answerWaiting(id identifier.CustomerID) {
	d := &s.control.credits
	waiting := d.waiting[id]
	for len(waiting) > 0 {
		answer := CreditAnswered{From: s.parameters.Host, Request: waiting[0].request.Request, Customer: id}
		taken := d.holder.Take(s.now, id)
		switch denied := d.holder.DeniedUntil(id); {
		case taken, d.holder.Unknown(id):
			// The owner knows no limit of a customer whose quota the newest declaration has lifted.
		case denied > s.now:
			answer.RetryAfter = denied.Since(s.now)
		case waiting[0].until > s.now:
			d.waiting[id] = waiting
			return
		default:
			// The entry host no longer waits.
			answer.Request = ""
		}
		if answer.Request != "" {
			s.emit(Send{To: waiting[0].request.From, Event: answer})
		}
		waiting = waiting[1:]
		d.holder.Wait(id, -1)
	}
	delete(d.waiting, id)
}

// takeBackCredit makes a credit whose request did not run available again.
func (s *State) takeBackCredit(e CreditReturned) {
	if _, ok := s.tolerance(); ok {
		s.control.credits.holder.Undo(s.now, e.Customer)
		s.answerWaiting(e.Customer)
		s.scheduleReport()
	}
}

// scheduleReport schedules the next report to the owner.
func (s *State) scheduleReport() {
	d := &s.control.credits
	if at := d.holder.NextReport(s.now); at < d.reportAt {
		d.reportAt = at
		s.schedule(at, reportDue{at})
	}
}

// handleReportTimer sends the report that is due, if there still is one.
func (s *State) handleReportTimer(due reportDue) {
	d := &s.control.credits
	if due.at != d.reportAt {
		return
	}
	d.reportAt = identifier.Never
	for _, id := range sortedKeys(d.waiting) {
		s.answerWaiting(id)
	}
	if d.holder.NextReport(s.now) <= s.now {
		s.sendReport()
	}
	s.scheduleReport()
}

// sendReport reports to the owner what this host has spent and wants.
func (s *State) sendReport() {
	report := s.control.credits.holder.Report(permitter.Reading{Process: s.control.started, At: s.now})
	leader, _ := s.leader()
	if leader == "" {
		return
	}
	s.count(AllotmentReportsCounter, "", 0)
	s.sendOrHandle(leader, AllotmentsRequested{From: s.parameters.Host, Report: report})
}

// returnAllotments gives back what this control host holds before it stops.
func (s *State) returnAllotments() {
	if _, ok := s.tolerance(); ok {
		s.control.credits.holder.Drain()
		s.sendReport()
	}
}

// sendOrHandle sends an event to a control host, which may be this one.
func (s *State) sendOrHandle(to identifier.HostID, e MembershipEvent) {
	if to == s.parameters.Host {
		s.reduceMembership(e)
		return
	}
	s.emit(Send{To: to, Event: e})
}

// handleAllotmentRequest answers the report of a control host if this host owns the quotas.
func (s *State) handleAllotmentRequest(e AllotmentsRequested) {
	leader, _ := s.leader()
	owner := s.control.credits.owner
	if leader != s.parameters.Host || owner == nil {
		return
	}
	answer := owner.Handle(s.now, e.From, e.Report)
	s.require(!owner.Violated(), AllotmentInvariant, string(e.From))
	s.count(AllotmentAnswersCounter, "", 0)
	s.sendOrHandle(e.From, AllotmentsSent{Answer: answer})
}

// receiveAllotments records the owner's answer and gives the credits that were waited for.
func (s *State) receiveAllotments(e AllotmentsSent) {
	if _, ok := s.tolerance(); !ok {
		return
	}
	s.control.credits.holder.Receive(s.now, e.Answer)
	for _, a := range e.Answer.Accounts {
		s.answerWaiting(a.Account)
	}
	s.scheduleReport()
}

// ownQuotas makes this host, which has become the leader, the owner of the quotas.
func (s *State) ownQuotas() {
	s.control.credits.leads = true
	s.updateQuotas()
}

// disownQuotas ends this host's ownership of the quotas.
func (s *State) disownQuotas() {
	s.control.credits.leads, s.control.credits.owner = false, nil
}

// updateQuotas applies the quotas of the committed declaration if this host leads. Each control host asks again for
// what was denied by the earlier ones. A leader that can't interpret the declaration owns no quotas, so that requests of
// customers that have one are refused: to an owner without limits, none of them would have one.
func (s *State) updateQuotas() {
	c := &s.control.credits
	c.holder.ForgetDenials()
	tolerance, ok := s.tolerance()
	if !ok || !c.leads {
		return
	}
	limits, err := s.committedQuotas()
	if err != nil {
		s.log(ConfigurationSubsystem, Error, "cannot interpret declaration; its quotas have no owner", Field{"reason", err.Error()})
		c.owner = nil
		return
	}
	if c.owner == nil {
		c.owner = permitter.NewAllotter[identifier.CustomerID](s.now, s.parameters.Host, tolerance, permitter.QuotaTerms)
	}
	c.owner.SetLimits(s.now, limits)
}

// committedQuotas returns the limits of the customers of the committed declaration.
func (s *State) committedQuotas() (map[identifier.CustomerID]permitter.Limit, error) {
	limits := map[identifier.CustomerID]permitter.Limit{}
	source := s.control.replicated.source.Source
	if source.Version == 0 {
		return limits, nil
	}
	d, err := s.interpret(source)
	if err != nil {
		return nil, err
	}
	for i := range d.Customers {
		if c := &d.Customers[i]; c.Limited() {
			limits[c.ID] = permitter.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	return limits, nil
}

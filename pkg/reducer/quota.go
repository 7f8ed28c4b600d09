package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

// The leader of the replicated log owns the quotas of customers, and entry hosts ask it for allotments. A request
// takes one request of the allotment when it arrives, whatever the number of its attempts, and gives it back if it
// turns out that no attempt ran.

const (
	// creditWaitDivisor divides the target latency to limit how long a request waits for an allotment: a client
	// that is refused within that time can still be served elsewhere.
	creditWaitDivisor = 4
	// minCreditWait is the least time for the round trip to the owner on two busy hosts.
	minCreditWait = 10 * identifier.Millisecond
	// OwnerMissingRetryAfter is the Retry-After of a request that waited for an allotment in vain: about half the
	// time in which another owner is elected.
	OwnerMissingRetryAfter = 500 * identifier.Millisecond
	// minQuotaRetryAfter is the least Retry-After of a request beyond the quota, so that clients don't return
	// before the owner can answer another report.
	minQuotaRetryAfter = 50 * identifier.Millisecond
)

// AllotmentInvariant requires that the owner of quotas allots no more than accrues.
const AllotmentInvariant Invariant = "allotted-as-earned"

// CreditInvariant requires that nothing is sent for a request that waits for an allotment: it may be refused as
// not run.
const CreditInvariant Invariant = "admitted-before-sent"

// Counters of quotas, by customer.
const (
	CustomerRequestsCounter  Counter = "customer-requests"
	QuotaRefusalsCounter     Counter = "customer-quota-refusals"
	OwnerMissingCounter      Counter = "customer-owner-missing"
	AllotmentReportsCounter  Counter = "allotment-reports"
	AllotmentAnswersCounter  Counter = "allotment-answers"
	UnprovenRefusalsCounter  Counter = "unproven-refusals"
	UnknownKeyRefusalCounter Counter = "unknown-key-refusals"
)

// Events about the allotments of quotas.
type (
	// AllotmentsRequested reports to the owner of the quotas what an entry host has spent and wants.
	AllotmentsRequested struct {
		membershipEvent
		From   identifier.HostID                       `msgpack:"f"`
		Report permitter.Report[identifier.CustomerID] `msgpack:"r"`
	}
	// AllotmentsSent is the owner's answer. From a host that is not the owner it names the owner, if known.
	AllotmentsSent struct {
		processEvent
		Owner  identifier.HostID                       `msgpack:"o"`
		Answer permitter.Answer[identifier.CustomerID] `msgpack:"a"`
	}
)

// quotas is the part of a traffic state that holds allotments.
type quotas struct {
	holder *permitter.Holder[identifier.CustomerID]
	// owner is the host that owns the quotas, as far as known.
	owner identifier.HostID
	// waiting holds the requests that wait for an allotment, in order of arrival.
	waiting map[identifier.CustomerID][]identifier.RequestID
	// reportAt is the instant of the next report; Never if none is scheduled.
	reportAt identifier.Instant
}

func newQuotas() quotas {
	return quotas{
		holder:  permitter.NewHolder[identifier.CustomerID](),
		waiting: map[identifier.CustomerID][]identifier.RequestID{}, reportAt: identifier.Never,
	}
}

// hasQuota reports whether requests of the customer need an allotment.
func (s *State) hasQuota(c *declarer.Customer) bool {
	d, _ := s.parameters.Duty.(EntryDuty)
	return d.Quotas && c != nil && c.Limited()
}

// admitByQuota takes a request from its customer's allotment. If that is empty, the request waits for the owner's
// answer, or is refused if the owner has denied more. It reports whether the request goes on now.
func (s *State) admitByQuota(q *request) bool {
	if !s.hasQuota(q.customer) {
		return true
	}
	t, id := &s.traffic.quotas, q.customer.ID
	t.holder.Use(s.now, id)
	credit, ok := t.holder.Take(s.now, id)
	s.scheduleReport()
	if ok {
		q.credit = credit
		return true
	}
	if until := t.holder.DeniedUntil(id); until > s.now {
		s.refuseByQuota(q, until)
		return false
	}
	q.awaitsCredit = true
	t.holder.Wait(id, 1)
	t.waiting[id] = append(t.waiting[id], q.Request)
	s.schedule(min(q.deadline, s.now.Add(max(minCreditWait, q.route.TargetLatency/creditWaitDivisor))), creditDue{q.Request})
	s.scheduleReport()
	return false
}

// refuseByQuota refuses a request beyond its customer's quota.
func (s *State) refuseByQuota(q *request, until identifier.Instant) {
	s.count(QuotaRefusalsCounter, q.customer.ID, q.rank)
	s.finishRequest(q, Declined{Reason: QuotaExceeded, Ran: RanNo, RetryAfter: max(minQuotaRetryAfter, until.Since(s.now))})
}

// endCreditWait refuses a request that has waited for an allotment for too long.
func (s *State) endCreditWait(id identifier.RequestID) {
	q, ok := s.traffic.requests[id]
	if !ok || !q.awaitsCredit {
		return
	}
	s.stopCreditWait(q)
	s.count(OwnerMissingCounter, q.customer.ID, q.rank)
	s.finishRequest(q, Declined{Reason: QuotaOwnerMissing, Ran: RanNo, RetryAfter: OwnerMissingRetryAfter})
}

// stopCreditWait removes a request from those that wait for an allotment.
func (s *State) stopCreditWait(q *request) {
	if q.awaitsCredit {
		q.awaitsCredit = false
		s.traffic.quotas.holder.Wait(q.customer.ID, -1)
	}
}

// returnCredit gives back the credit of a request that ends before any attempt may have run.
func (s *State) returnCredit(q *request) {
	s.stopCreditWait(q)
	if q.customer != nil && !q.mayHaveRun() {
		s.traffic.quotas.holder.Undo(s.now, q.credit)
		s.scheduleReport()
	}
}

// scheduleReport schedules the next report to the owner.
func (s *State) scheduleReport() {
	t := &s.traffic.quotas
	if at := t.holder.NextReport(s.now); at < t.reportAt {
		t.reportAt = at
		s.schedule(at, reportDue{at})
	}
}

// handleReportTimer sends the report that is due, if there still is one.
func (s *State) handleReportTimer(due reportDue) {
	t := &s.traffic.quotas
	if due.at != t.reportAt {
		return
	}
	t.reportAt = identifier.Never
	if at := t.holder.NextReport(s.now); at > s.now {
		s.scheduleReport()
		return
	}
	s.sendReport()
	s.scheduleReport()
}

// sendReport reports to the owner what this host has spent and wants.
func (s *State) sendReport() {
	t := &s.traffic.quotas
	report := t.holder.Report(permitter.Reading{Process: s.traffic.started, At: s.now})
	if t.owner == "" {
		return
	}
	s.count(AllotmentReportsCounter, "", 0)
	s.emit(Send{To: t.owner, Event: AllotmentsRequested{From: s.parameters.Host, Report: report}})
}

// setQuotaOwner records the leader of the replicated log that the view names.
func (s *State) setQuotaOwner(leader identifier.HostID) {
	if leader != "" {
		s.traffic.quotas.owner = leader
	}
}

// receiveAllotments records the owner's answer and continues the requests that waited for it.
func (s *State) receiveAllotments(e AllotmentsSent) {
	if _, ok := s.parameters.Duty.(EntryDuty); !ok {
		return
	}
	t := &s.traffic.quotas
	s.setQuotaOwner(e.Owner)
	t.holder.Receive(s.now, e.Answer)
	for _, a := range e.Answer.Accounts {
		s.resumeWaiting(a.Account, a.Unknown)
	}
	s.scheduleReport()
}

// resumeWaiting continues the waiting requests of a customer as far as the allotment goes, and refuses the
// others if the owner has denied more.
func (s *State) resumeWaiting(id identifier.CustomerID, unknown bool) {
	t := &s.traffic.quotas
	waiting := t.waiting[id]
	for len(waiting) > 0 {
		q, ok := s.traffic.requests[waiting[0]]
		if !ok || !q.awaitsCredit {
			waiting = waiting[1:]
			continue
		}
		credit, ok := t.holder.Take(s.now, id)
		denied := t.holder.DeniedUntil(id) > s.now
		if !ok && !denied && !unknown {
			break
		}
		waiting = waiting[1:]
		s.stopCreditWait(q)
		switch {
		case ok:
			q.credit = credit
			s.beginRequest(q)
		case denied:
			s.refuseByQuota(q, t.holder.DeniedUntil(id))
		default:
			s.finishRequest(q, Declined{Reason: QuotaOwnerMissing, Ran: RanNo, RetryAfter: OwnerMissingRetryAfter})
		}
	}
	t.waiting[id] = waiting
	if len(waiting) == 0 {
		delete(t.waiting, id)
	}
}

// handleAllotmentRequest answers the report of an entry host if this host owns the quotas, and names the owner
// otherwise.
func (s *State) handleAllotmentRequest(e AllotmentsRequested) {
	leader, _ := s.leader()
	owner := s.control.quotaOwner
	if leader != s.parameters.Host || owner == nil {
		s.emit(Send{To: e.From, Event: AllotmentsSent{Owner: leader}})
		return
	}
	answer := owner.Handle(s.now, e.From, e.Report)
	s.require(!owner.Violated(), AllotmentInvariant, string(e.From))
	s.count(AllotmentAnswersCounter, "", 0)
	s.emit(Send{To: e.From, Event: AllotmentsSent{Owner: s.parameters.Host, Answer: answer}})
}

// ownQuotas makes this host, which has become the leader, the owner of the quotas.
func (s *State) ownQuotas() {
	if d, ok := s.parameters.Duty.(ControlDuty); ok && d.Quotas.Window > 0 {
		s.control.quotaOwner = permitter.NewAllotter[identifier.CustomerID](s.now, s.parameters.Host, d.Quotas)
		s.updateQuotas()
	}
}

// updateQuotas applies the quotas of the committed declaration if this host owns them.
func (s *State) updateQuotas() {
	source := s.control.replicated.source.Source
	if s.control.quotaOwner == nil || source.Version == 0 {
		return
	}
	d, err := s.interpret(source)
	if err != nil {
		s.log(ConfigurationSubsystem, Error, "cannot interpret declaration", Field{"reason", err.Error()})
		return
	}
	limits := map[identifier.CustomerID]permitter.Limit{}
	for i := range d.Customers {
		if c := &d.Customers[i]; c.Limited() {
			limits[c.ID] = permitter.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	s.control.quotaOwner.SetLimits(s.now, limits)
}

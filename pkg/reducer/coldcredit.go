package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

// The leader of the replicated log owns the limits of cold servers, each an account of a server's incarnation, and
// control hosts hold allotments for the credits that entry hosts ask for, as with quotas. They hold none in advance:
// a limit is a few requests a second.

const (
	// maxColdHold limits how long an entry host keeps a credit: what is left of an allotment that a control host has
	// just failed to renew twice.
	maxColdHold = 800 * identifier.Millisecond
	// minColdHold is the least time for which a credit is given: a few round trips.
	minColdHold = 50 * identifier.Millisecond
	// settlementTime is how long after its end a control host hears that a credit was not used.
	settlementTime = 50 * identifier.Millisecond
	// coldQuestionTime is how long a control host keeps a question that it can't answer yet; it takes the owner a
	// round trip between failure domains to answer, or two if a report was just sent.
	coldQuestionTime = 50 * identifier.Millisecond
	// unknownRunRetryAfter is when an entry host asks again for a credit of a server that the owner doesn't know to
	// be cold: announcements reach all control hosts within that time.
	unknownRunRetryAfter = 100 * identifier.Millisecond
)

// ColdAllotmentInvariant requires that the owner of the limits of cold servers allots no more than accrues.
const ColdAllotmentInvariant Invariant = "cold-allotted-as-earned"

// Events about the limits of cold servers between control hosts.
type (
	// ColdAllotmentsRequested reports to the owner of the limits what a control host has spent and wants.
	ColdAllotmentsRequested struct {
		membershipEvent
		From   identifier.HostID                      `msgpack:"f"`
		Report permitter.Report[identifier.ServerRun] `msgpack:"r"`
	}
	// ColdAllotmentsSent is the owner's answer.
	ColdAllotmentsSent struct {
		membershipEvent
		Answer permitter.Answer[identifier.ServerRun] `msgpack:"a"`
	}
)

// coldDesk is the part of a control host that holds allotments of cold servers and gives credits to entry hosts.
type coldDesk struct {
	holder *permitter.Holder[identifier.ServerRun]
	// waiting holds the questions that can't be answered yet, in order of arrival.
	waiting map[identifier.ServerRun][]coldQuestion
	// loans are the credits given and not settled.
	loans map[coldLoan]permitter.Loan
	// reportAt is the instant of the next report; Never if none is scheduled.
	reportAt identifier.Instant
	// owner divides the limits while this host leads; nil otherwise.
	owner *permitter.Allotter[identifier.ServerRun]
	// returned holds when the evacuation of each failure domain ended.
	returned map[identifier.DomainID]identifier.Instant
}

// coldLoan identifies a credit that was given.
type coldLoan struct {
	run   identifier.ServerRun
	host  identifier.HostID
	asked identifier.Instant
}

type coldQuestion struct {
	request ColdCreditRequested
	until   identifier.Instant
}

func newColdDesk() coldDesk {
	return coldDesk{
		holder: permitter.NewHolder[identifier.ServerRun](permitter.BriefTerms), waiting: map[identifier.ServerRun][]coldQuestion{},
		loans: map[coldLoan]permitter.Loan{}, reportAt: identifier.Never, returned: map[identifier.DomainID]identifier.Instant{},
	}
}

// warmUpTolerance returns by how much cold servers may get more than their limits, and whether this host takes part in
// them.
func (s *State) warmUpTolerance() (permitter.Tolerance, bool) {
	d, ok := s.parameters.Duty.(ControlDuty)
	return d.WarmUp, ok && d.WarmUp.Window > 0
}

// hasAsked reports whether a request for a credit is a copy of one that waits or was granted.
func (d *coldDesk) hasAsked(loan coldLoan) bool {
	_, granted := d.loans[loan]
	return granted || slices.ContainsFunc(d.waiting[loan.run], func(q coldQuestion) bool {
		return q.request.From == loan.host && q.request.Asked == loan.asked
	})
}

// lendCredit lends a credit for a question, if there is one, and sets the answer's time. The entry host asked before
// now, so its credit ends before the loan does.
func (s *State) lendCredit(id identifier.ServerRun, answer *ColdCreditAnswered, e ColdCreditRequested) bool {
	d := &s.control.cold
	loan, ok := d.holder.Lend(s.now, id)
	if !ok {
		return false
	}
	loan.Until = min(loan.Until, s.now.Add(maxColdHold))
	answer.Hold = loan.Until.Since(s.now)
	if answer.Hold < minColdHold {
		d.holder.Settle(s.now, id, loan, false)
		return false
	}
	d.loans[coldLoan{id, e.From, e.Asked}] = loan
	return true
}

// settle ends a loan.
func (d *coldDesk) settle(now identifier.Instant, loan coldLoan, used bool) {
	if x, ok := d.loans[loan]; ok {
		delete(d.loans, loan)
		d.holder.Settle(now, loan.run, x, used)
	}
}

// settleLoan records whether an entry host has used a credit. It gives one that was not used to a host that waits.
func (s *State) settleLoan(e ColdCreditSettled) {
	id := runOf(e.Server, e.Incarnation)
	s.control.cold.settle(s.now, coldLoan{id, e.From, e.Asked}, e.Used)
	s.answerColdQuestions(id, false)
	s.scheduleColdReport()
}

// giveColdCredit answers an entry host that asks for a credit, or keeps the question until the owner has answered.
func (s *State) giveColdCredit(e ColdCreditRequested) {
	d := &s.control.cold
	id := runOf(e.Server, e.Incarnation)
	if _, ok := s.warmUpTolerance(); !ok || d.hasAsked(coldLoan{id, e.From, e.Asked}) {
		return
	}
	d.holder.Use(s.now, id)
	d.waiting[id] = append(d.waiting[id], coldQuestion{e, s.now.Add(coldQuestionTime)})
	d.holder.Wait(id, 1)
	s.answerColdQuestions(id, false)
	s.scheduleColdReport()
}

// answerColdQuestions answers the questions about a server as far as possible, and drops those that are too old. The
// owner has just said that it knows no limit of the server if unknown is set.
func (s *State) answerColdQuestions(id identifier.ServerRun, unknown bool) {
	d := &s.control.cold
	waiting := d.waiting[id]
	for len(waiting) > 0 {
		e := waiting[0].request
		answer := ColdCreditAnswered{From: s.parameters.Host, Server: e.Server, Incarnation: e.Incarnation, Asked: e.Asked}
		denied := d.holder.DeniedUntil(id)
		expired := waiting[0].until <= s.now
		switch {
		case expired:
		case s.lendCredit(id, &answer, e):
			s.count(ColdCreditsGivenCounter, "", 0)
		case unknown:
			answer.RetryAfter = unknownRunRetryAfter
		case denied > s.now:
			answer.RetryAfter = denied.Since(s.now)
		default:
			d.waiting[id] = waiting
			return
		}
		if !expired {
			s.emit(Send{To: e.From, Event: answer})
		}
		waiting = waiting[1:]
		d.holder.Wait(id, -1)
	}
	delete(d.waiting, id)
}

// scheduleColdReport schedules the next report to the owner, and the end of the oldest questions.
func (s *State) scheduleColdReport() {
	d := &s.control.cold
	at := d.holder.NextReport(s.now)
	for _, waiting := range d.waiting {
		at = min(at, waiting[0].until)
	}
	for _, x := range d.loans {
		at = min(at, x.Until.Add(settlementTime))
	}
	if at < d.reportAt {
		d.reportAt = at
		s.schedule(at, coldReportDue{at})
	}
}

// handleColdReportTimer drops the questions that are too old and sends the report that is due, if there is one.
func (s *State) handleColdReportTimer(due coldReportDue) {
	d := &s.control.cold
	if due.at != d.reportAt {
		return
	}
	d.reportAt = identifier.Never
	for loan, x := range d.loans {
		if x.Until.Add(settlementTime) <= s.now {
			d.settle(s.now, loan, true)
		}
	}
	for _, id := range sortedKeys(d.waiting) {
		s.answerColdQuestions(id, false)
	}
	if d.holder.NextReport(s.now) <= s.now {
		report := d.holder.Report(permitter.Reading{Process: s.control.started, At: s.now})
		if leader, _ := s.leader(); leader != "" {
			s.sendOrHandle(leader, ColdAllotmentsRequested{From: s.parameters.Host, Report: report})
		}
	}
	s.scheduleColdReport()
}

// receiveColdAllotments records the owner's answer and gives the credits that were waited for.
func (s *State) receiveColdAllotments(e ColdAllotmentsSent) {
	if _, ok := s.warmUpTolerance(); !ok {
		return
	}
	s.control.cold.holder.Receive(s.now, e.Answer)
	for _, a := range e.Answer.Accounts {
		s.answerColdQuestions(a.Account, a.Unknown)
	}
	s.scheduleColdReport()
}

// ownColdServers makes this host, which has become the leader, the owner of the limits of cold servers.
func (s *State) ownColdServers() {
	if tolerance, ok := s.warmUpTolerance(); ok {
		s.control.cold.owner = permitter.NewAllotter[identifier.ServerRun](s.now, s.parameters.Host, tolerance, permitter.BriefTerms)
	}
}

// handleColdReport answers the report of a control host if this host owns the limits.
func (s *State) handleColdReport(e ColdAllotmentsRequested) {
	leader, _ := s.leader()
	owner := s.control.cold.owner
	if leader != s.parameters.Host || owner == nil {
		return
	}
	owner.SetLimits(s.now, s.coldLimits())
	answer := owner.Handle(s.now, e.From, e.Report)
	s.require(!owner.Violated(), ColdAllotmentInvariant, string(e.From))
	s.sendOrHandle(e.From, ColdAllotmentsSent{Answer: answer})
}

// coldLimits returns the limits of the servers that are cold.
func (s *State) coldLimits() map[identifier.ServerRun]permitter.Limit {
	limits := map[identifier.ServerRun]permitter.Limit{}
	for id, l := range s.control.serverList.servers {
		a := &l.Announcement
		service := s.declaredService(a.Service)
		if service == nil || service.WarmUpRate <= 0 {
			continue
		}
		returned, known := s.control.cold.returned[a.Domain]
		if isColdAt(s.now, a, service.WarmUp, returned, known) {
			limits[runOf(id, a.Incarnation)] = permitter.Limit{Rate: service.WarmUpRate}
		}
	}
	return limits
}

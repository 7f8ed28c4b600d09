package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// OrderTimeout is how long the sender of an order waits for the answer before it calls another host.
	OrderTimeout = identifier.Second
	// MaxOrderAge is the age up to which an order is executed. Its sender then still waits, also if the time to connect
	// counts for the sender.
	MaxOrderAge = 3 * OrderTimeout / 4
	// PauseThreshold is by how much a wake-up of this process is late at least if the process was stopped.
	PauseThreshold = 200 * identifier.Millisecond
	// ResumptionPeriod is how long after a pause this host may handle connections that were established during it.
	ResumptionPeriod = 250 * identifier.Millisecond
	// UnknownServerDelay is how long a host that has just started waits before it declines the withdrawal of a
	// server that it doesn't know.
	UnknownServerDelay = 100 * identifier.Millisecond
)

// UnprovenOrdersCounter counts the orders that were not executed since they may be older than MaxOrderAge.
const UnprovenOrdersCounter Counter = "orders-unproven"

// OrderUnproven answers an order that isn't executed since it may be older than MaxOrderAge. Its sender may send it again on a
// new connection.
type OrderUnproven struct{}

func (OrderUnproven) isAnswer() {}

// CallerConfirmed reports whether the sender of an order still waits for the answer.
type CallerConfirmed struct {
	operationEvent
	Ticket  Ticket
	Waiting bool
}

// ConfirmCaller asks whether the sender of an order still waits for the answer, as far as the end of its
// connection has arrived. CallerConfirmed follows.
type ConfirmCaller struct {
	effect
	Ticket Ticket
}

// order is an order whose base is known and whose sender has not been checked. The interface is sealed: only types
// of this package implement it.
//
// A sender that gives up sends the order to another host and goes on, so a copy that is handled late must not undo what was
// acknowledged since. This host bounds the age of an order by its own clock. If it is still young after the read of its base,
// its sender waited then, and what the sender does next is later than the base. A sender whose connection has failed may
// give up sooner; it is checked as far as the end of its connection has arrived.
type order interface{ isOrder() }

// sentFrom returns the earliest time at which an order of an age may have been sent. Connections that were
// established while the process was stopped are older than it could measure.
func (s *State) sentFrom(age identifier.Micros) identifier.Instant {
	from := s.now.Add(-age)
	if s.resumedAt > 0 && from < s.resumedAt.Add(ResumptionPeriod) {
		from = min(from, s.pausedAt)
	}
	return from
}

// isProven reports whether the sender of an order that was sent at the time or later still waits.
func (s *State) isProven(sentFrom identifier.Instant) bool {
	return s.now.Since(sentFrom) < MaxOrderAge
}

// notePause notes that the process was stopped if nothing was reduced for long after the time of a wake-up.
func (s *State) notePause(at identifier.Instant) {
	if s.wakeAt == identifier.Never || at.Since(max(s.now, s.wakeAt)) < PauseThreshold {
		return
	}
	s.pausedAt, s.resumedAt = s.now, at
}

// refuseUnproven answers an order that isn't executed because of its age.
func (s *State) refuseUnproven(t Ticket, subject string, sentFrom identifier.Instant) {
	s.countUnproven(subject, sentFrom)
	s.emit(ReplyOperator{Ticket: t, Reply: OrderUnproven{}, Control: s.controlStatus()})
}

// countUnproven counts and logs an order that isn't executed because of its age.
func (s *State) countUnproven(subject string, sentFrom identifier.Instant) {
	s.count(UnprovenOrdersCounter, "", 0)
	s.log(ConfigurationSubsystem, Info, "order not executed: its sender may have gone on", Field{"order", subject},
		Field{"age-us", strconv.FormatInt(int64(s.now.Since(sentFrom)), 10)})
}

// confirmCaller checks the sender of an order whose base was just read, and then executes the order.
func (s *State) confirmCaller(t Ticket, o order) {
	s.control.orders[t] = o
	s.emit(ConfirmCaller{Ticket: t})
}

// receiveCaller executes an order whose sender still waits, and drops it otherwise.
func (s *State) receiveCaller(e CallerConfirmed) {
	o, ok := s.control.orders[e.Ticket]
	if !ok {
		return
	}
	delete(s.control.orders, e.Ticket)
	switch o := o.(type) {
	case evacuationOrder:
		s.proposeEvacuation(o, e.Waiting)
	case memberChange:
		s.changeMembers(o, e.Waiting)
	case releaseOrder:
		s.releaseQuarantine(o, e.Waiting)
	case withdrawalOrder:
		s.executeWithdrawal(o, e.Waiting)
	}
}

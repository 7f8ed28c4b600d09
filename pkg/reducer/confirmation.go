package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// OrderTimeout is how long the sender of an order waits for the answer before it calls another host.
	OrderTimeout = identifier.Second
	// CallerCheckDelay is the time between the read of an order's base and the check that its sender still waits.
	// When a link recovers, the end of the connection arrives a round trip after the order that it follows.
	CallerCheckDelay = 100 * identifier.Millisecond
)

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
// acknowledged since. The base is read first and the sender checked after it. If the sender gave up before the read, the
// check finds that it has gone; if it gave up later, the base is from before what it did next.
type order interface{ isOrder() }

// isLate reports whether the sender of an order that was received that long ago has called another host.
func isLate(age identifier.Micros) bool { return age >= OrderTimeout }

// confirmCaller checks the sender of an order whose base was just read, and then executes the order.
func (s *State) confirmCaller(t Ticket, o order) {
	s.control.orders[t] = o
	s.schedule(s.now.Add(CallerCheckDelay), callerDue{t})
}

// checkCaller asks whether the sender of an order still waits.
func (s *State) checkCaller(t Ticket) {
	if o, ok := s.control.orders[t].(withdrawalOrder); ok && !o.known {
		o.departure, o.known = s.withdrawalOf(o.server)
		s.control.orders[t] = o
	}
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

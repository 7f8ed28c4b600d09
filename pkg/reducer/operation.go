package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

const (
	// ChangeTimeout limits the time for an operator's change.
	ChangeTimeout = 5 * identifier.Second
	// ReadTimeout is how long a host tries to reach the leader before it answers a read
	// with stale data.
	ReadTimeout = 2 * identifier.Second
	// OperationRetryInterval is the time between retries of an unanswered operation.
	OperationRetryInterval = 250 * identifier.Millisecond
	// RecordTimeout limits how long a host tries to record that a request with an intent has ended.
	RecordTimeout = 30 * identifier.Second
	// maxImmediateRedirects limits the redirects followed immediately between two retries.
	maxImmediateRedirects = 2
)

// OperationNumber identifies an operation among those of one host.
type OperationNumber uint64

// Operation is a request to the leader of the replicated log. The interface is sealed: only
// types of this package implement it.
type Operation interface{ isOperation() }

// Operations that the leader executes.
type (
	// Proposal requests that a command be committed.
	Proposal struct {
		Command Command `msgpack:"c"`
	}
	// ObjectsRead is a linearizable read of templates or customers.
	ObjectsRead struct {
		// Name selects one object or, without an ID, all objects of its kind.
		Name registrar.Name `msgpack:"n"`
		// History requests all retained revisions of the object.
		History bool `msgpack:"h"`
	}
)

func (Proposal) isOperation()    {}
func (ObjectsRead) isOperation() {}

// Answer is the result of an operation. The interface is sealed: only types of this package
// implement it.
type Answer interface{ isAnswer() }

// Answers of the leader.
type (
	// ChangeDecided is the result of a committed change.
	ChangeDecided struct {
		Result registrar.Result `msgpack:"r"`
	}
	// ObjectsFound is the result of a read.
	ObjectsFound struct {
		// Version is the version of the configuration that was read.
		Version   identifier.Version   `msgpack:"v"`
		Revisions []registrar.Revision `msgpack:"r"`
	}
	// IntentDecided is the result of a committed intent.
	IntentDecided struct {
		Decision deduplicator.Decision `msgpack:"d"`
		// Outcome is set if the request ran before.
		Outcome Outcome `msgpack:"o"`
	}
	// Committed is the result of a command that returns nothing else.
	Committed struct{}
)

func (ChangeDecided) isAnswer() {}
func (ObjectsFound) isAnswer()  {}
func (IntentDecided) isAnswer() {}
func (Committed) isAnswer()     {}

// OperationEvent is the family of events about operations on the replicated control state.
type OperationEvent interface {
	Event
	isOperationEvent()
}

type operationEvent struct{}

func (operationEvent) isEvent()          {}
func (operationEvent) isOperationEvent() {}

// Operation events.
type (
	// OperationForwarded carries an operation to a control host.
	OperationForwarded struct {
		operationEvent
		From      identifier.HostID `msgpack:"f"`
		Number    OperationNumber   `msgpack:"n"`
		Operation Operation         `msgpack:"o"`
	}
	// OperationRedirected reports that the control host does not lead.
	OperationRedirected struct {
		operationEvent
		Number OperationNumber `msgpack:"n"`
		// Leader is empty if the control host knows no leader.
		Leader identifier.HostID `msgpack:"l"`
	}
	// OperationAnswered carries the leader's answer.
	OperationAnswered struct {
		operationEvent
		From   identifier.HostID `msgpack:"f"`
		Number OperationNumber   `msgpack:"n"`
		Answer Answer            `msgpack:"a"`
	}
)

// origin identifies what waits for an operation of this host. The interface is sealed: only
// types of this package implement it.
type origin interface{ isOrigin() }

type (
	// operatorOrigin is an operator's connection.
	operatorOrigin struct{ ticket Ticket }
	// queryOrigin is a query whose intent is being recorded.
	queryOrigin struct{ request identifier.RequestID }
	// noOrigin means that nothing waits: the operation only has to be committed.
	noOrigin struct{}
)

func (operatorOrigin) isOrigin() {}
func (queryOrigin) isOrigin()    {}
func (noOrigin) isOrigin()       {}

// pendingOperation is an operation of this host that has no answer yet.
type pendingOperation struct {
	operation Operation
	origin    origin
	deadline  identifier.Instant
	// target is the control host that the operation was last sent to.
	target    identifier.HostID
	redirects int
}

// waiter identifies an operation that this host executes as the leader, by the host that
// waits for it and that host's number for it.
type waiter struct {
	from   identifier.HostID
	number OperationNumber
}

// pendingRead is a read that waits for a quorum to confirm the leader.
type pendingRead struct {
	waiter
	read Operation
}

// operations is the part of control for operations on the replicated state.
type operations struct {
	pending map[OperationNumber]*pendingOperation
	// lastNumber is the number of the last operation. It starts at the random seed, so that
	// answers to an earlier process of this host match no operation.
	lastNumber OperationNumber
	// target is the last known leader.
	target identifier.HostID

	// proposed, reads and inProgress are used by the leader.
	proposed   map[identifier.LogIndex]waiter
	reads      map[Ticket]pendingRead
	inProgress map[waiter]bool
	ticket     Ticket
}

func newOperations() operations {
	return operations{
		pending:    map[OperationNumber]*pendingOperation{},
		proposed:   map[identifier.LogIndex]waiter{},
		reads:      map[Ticket]pendingRead{},
		inProgress: map[waiter]bool{},
	}
}

func (s *State) reduceOperation(event OperationEvent) {
	switch e := event.(type) {
	case OperationForwarded:
		s.receiveOperation(waiter{e.From, e.Number}, e.Operation)
	case OperationRedirected:
		s.followRedirect(e)
	case OperationAnswered:
		s.completeOperation(e)
	case CallerConfirmed:
		s.receiveCaller(e)
	case MembersRequested:
		s.orderMembers(e)
	case IntentRequested:
		s.startOperation(Proposal{Command: IntentRecorded{Intent: e.Intent}}, queryOrigin{e.Intent.Request}, e.Deadline)
	case IntentReturned:
		s.startOperation(Proposal{Command: IntentAbandoned{Intent: e.Intent}}, noOrigin{}, s.now.Add(RecordTimeout))
	case OutcomeReported:
		s.startOperation(Proposal{Command: OutcomeRecorded{Intent: e.Intent, Outcome: e.Outcome}}, noOrigin{}, s.now.Add(RecordTimeout))
	}
}

// startOperation starts an operation and retries it until the deadline.
func (s *State) startOperation(o Operation, from origin, deadline identifier.Instant) {
	s.control.operations.lastNumber++
	number := s.control.operations.lastNumber
	s.control.operations.pending[number] = &pendingOperation{operation: o, origin: from, deadline: deadline}
	s.tryOperation(number)
}

// tryOperation sends an operation to its target and schedules a retry. At the deadline, or if
// there is no control host, it fails the operation.
func (s *State) tryOperation(number OperationNumber) {
	p, ok := s.control.operations.pending[number]
	if !ok {
		return
	}
	if s.now >= p.deadline || len(s.controlHosts()) == 0 {
		delete(s.control.operations.pending, number)
		s.failOperation(p)
		return
	}
	s.schedule(min(p.deadline, s.now.Add(OperationRetryInterval)), operationDue{number})
	if p.target != "" && s.control.operations.target == p.target {
		// The target has not answered for a whole interval.
		s.control.operations.target = ""
	}
	p.redirects = 0
	s.sendOperation(number, p)
}

func (s *State) sendOperation(number OperationNumber, p *pendingOperation) {
	target := s.operationTarget()
	p.target = target
	if target == s.parameters.Host {
		s.receiveOperation(waiter{target, number}, p.operation)
		return
	}
	s.emit(Send{To: target, Event: OperationForwarded{From: s.parameters.Host, Number: number, Operation: p.operation}})
}

// operationTarget returns the leader or, if none is known, the last known leader, or else a random
// other control host. A sole control host returns itself.
func (s *State) operationTarget() identifier.HostID {
	if leader, known := s.leader(); known {
		return leader
	}
	if s.control.operations.target != "" {
		return s.control.operations.target
	}
	others := slices.DeleteFunc(s.controlHosts(), func(h identifier.HostID) bool {
		return h == s.parameters.Host
	})
	if len(others) == 0 {
		return s.parameters.Host
	}
	return others[s.random.IntN(len(others))]
}

// followRedirect sends the operation to the reported leader immediately. After
// maxImmediateRedirects it waits for the next retry, which may find the leader.
func (s *State) followRedirect(e OperationRedirected) {
	p, ok := s.control.operations.pending[e.Number]
	if !ok || e.Leader == "" || p.redirects >= maxImmediateRedirects {
		return
	}
	p.redirects++
	s.control.operations.target = e.Leader
	s.sendOperation(e.Number, p)
}

// receiveOperation executes an operation if this host leads, and otherwise redirects it.
func (s *State) receiveOperation(w waiter, o Operation) {
	leader, _ := s.leader()
	if leader != s.parameters.Host {
		s.redirect(w)
		return
	}
	if s.control.operations.inProgress[w] {
		return
	}
	switch o := o.(type) {
	case Proposal:
		s.receiveProposal(w, o)
	case AddMember, RemoveMember:
		// Hosts of earlier versions send no base.
		s.receiveMemberOperation(w, o, s.control.replication.log.MembershipIndex())
	case MemberOrder:
		s.receiveMemberOperation(w, o.Operation, o.Base)
	case ObjectsRead, DeclarationRead, EvacuationRead, MembershipRead:
		s.control.operations.ticket++
		ticket := s.control.operations.ticket
		s.control.operations.inProgress[w] = true
		s.control.operations.reads[ticket] = pendingRead{w, o}
		s.confirmRead(ticket)
	}
}

func (s *State) receiveProposal(w waiter, p Proposal) {
	index, ok := s.propose(withProposalTime(p.Command, s.now))
	if !ok {
		s.redirect(w)
		return
	}
	s.control.operations.inProgress[w] = true
	s.control.operations.proposed[index] = w
}

// redirect reports to a waiter, which may be this host, that this host can't execute the
// operation. To another host it names the leader if a different one is known.
func (s *State) redirect(w waiter) {
	leader, _ := s.leader()
	if leader == s.parameters.Host || w.from == s.parameters.Host {
		leader = ""
	}
	s.notifyWaiter(w, OperationRedirected{Number: w.number, Leader: leader})
}

// answerOperation sends the leader's answer to a waiter.
func (s *State) answerOperation(w waiter, a Answer) {
	delete(s.control.operations.inProgress, w)
	s.notifyWaiter(w, OperationAnswered{From: s.parameters.Host, Number: w.number, Answer: a})
}

// notifyWaiter delivers an event to a waiter, which may be this state.
func (s *State) notifyWaiter(w waiter, e OperationEvent) {
	if w.from == s.parameters.Host {
		s.reduceOperation(e)
		return
	}
	s.emit(Send{To: w.from, Event: e})
}

// answerProposal answers the host that waits for the command at the index, if this host proposed
// it.
func (s *State) answerProposal(index identifier.LogIndex, a Answer) {
	w, ok := s.control.operations.proposed[index]
	if !ok {
		return
	}
	delete(s.control.operations.proposed, index)
	s.answerOperation(w, a)
}

// redirectWaiters redirects every host that waits for this one, which no longer leads.
// Retrying an operation is safe: commands are idempotent.
func (s *State) redirectWaiters() {
	proposed, reads := s.control.operations.proposed, s.control.operations.reads
	s.control.operations.proposed = map[identifier.LogIndex]waiter{}
	s.control.operations.reads = map[Ticket]pendingRead{}
	s.control.operations.inProgress = map[waiter]bool{}
	for _, index := range sortedKeys(proposed) {
		s.redirect(proposed[index])
	}
	for _, ticket := range sortedKeys(reads) {
		s.redirect(reads[ticket].waiter)
	}
}

// completeOperation passes the leader's answer on to the origin of the operation.
func (s *State) completeOperation(e OperationAnswered) {
	p, ok := s.control.operations.pending[e.Number]
	if !ok {
		return
	}
	delete(s.control.operations.pending, e.Number)
	s.control.operations.target = e.From
	switch o := p.origin.(type) {
	case operatorOrigin:
		s.emit(ReplyOperator{Ticket: o.ticket, Reply: s.fillDeclaration(e.Answer), Control: s.controlStatus()})
	case queryOrigin:
		s.emit(Send{To: s.parameters.Host, Event: IntentAnswered{Request: o.request, Answer: e.Answer}})
	case departureOrigin:
		s.answerDepartures(true)
	case proofOrigin:
		s.finishProof(e.Answer)
	case evacuationOrigin:
		s.receiveEvacuationBase(o, e.Answer)
	case memberOrigin:
		s.receiveMembershipBase(o, e.Answer)
	}
}

// failOperation reports to the origin that no leader answered in time. A read is answered
// with this host's own, possibly stale state; a change may have been accepted.
func (s *State) failOperation(p *pendingOperation) {
	switch o := p.origin.(type) {
	case operatorOrigin:
		s.emit(ReplyOperator{Ticket: o.ticket, Reply: s.replyWithoutLeader(p.operation), Control: s.controlStatus()})
	case queryOrigin:
		s.emit(Send{To: s.parameters.Host, Event: IntentAnswered{Request: o.request}})
	case departureOrigin:
		s.answerDepartures(false)
	case proofOrigin:
		s.finishProof(LeaderMissing{})
	case evacuationOrigin:
		s.receiveEvacuationBase(o, nil)
	case memberOrigin:
		s.receiveMembershipBase(o, nil)
	}
}

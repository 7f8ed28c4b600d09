package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

const (
	// ChangeTimeout is how long an operator's change may take.
	ChangeTimeout = 5 * identifier.Second
	// ReadTimeout is how long a host looks for the leader before it answers a read as stale.
	ReadTimeout = 2 * identifier.Second
	// OperationRetryInterval separates the tries of an operation that has no answer.
	OperationRetryInterval = 250 * identifier.Millisecond
	// RecordTimeout is how long a host tries to store the end of a recorded request.
	RecordTimeout = 30 * identifier.Second
	// maxPromptRedirects bounds the redirects followed at once between two tries.
	maxPromptRedirects = 2
)

// OperationNumber tells the operations of one host apart.
type OperationNumber uint64

// Operation is what a host asks of the leader of the replicated log. It is
// sealed: the types of this package are all there are.
type Operation interface{ isOperation() }

// Operations of the leader.
type (
	// Proposal asks for a command to be committed.
	Proposal struct {
		Command Command `msgpack:"c"`
	}
	// ObjectsRead asks for templates or customers as of now.
	ObjectsRead struct {
		// Name names one object; without an id it names all of its kind.
		Name registrar.Name `msgpack:"n"`
		// History asks for all kept revisions of the object.
		History bool `msgpack:"h"`
	}
)

func (Proposal) isOperation()    {}
func (ObjectsRead) isOperation() {}

// Answer is how an operation ended at the leader. It is sealed: the types of
// this package are all there are.
type Answer interface{ isAnswer() }

// Answers of the leader.
type (
	// ChangeDecided answers a change that is committed.
	ChangeDecided struct {
		Result registrar.Result `msgpack:"r"`
	}
	// ObjectsFound answers a read.
	ObjectsFound struct {
		// Version is the version of the configuration that was read.
		Version   identifier.Version   `msgpack:"v"`
		Revisions []registrar.Revision `msgpack:"r"`
	}
	// IntentDecided answers an intent that is committed.
	IntentDecided struct {
		Decision deduplicator.Decision `msgpack:"d"`
		// Outcome is set when the request ran before.
		Outcome Outcome `msgpack:"o"`
	}
	// Committed answers a command that has no other result.
	Committed struct{}
)

func (ChangeDecided) isAnswer() {}
func (ObjectsFound) isAnswer()  {}
func (IntentDecided) isAnswer() {}
func (Committed) isAnswer()     {}

// OperationEvent is the family about operations on the replicated control state.
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
	// OperationRedirected says that the control host does not lead.
	OperationRedirected struct {
		operationEvent
		Number OperationNumber `msgpack:"n"`
		// Leader is empty when the control host knows none.
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

// origin is who waits for an operation of this host. It is sealed.
type origin interface{ isOrigin() }

type (
	// operatorOrigin is an operator's connection.
	operatorOrigin struct{ ticket Ticket }
	// queryOrigin is a query whose intent is being recorded.
	queryOrigin struct{ request identifier.RequestID }
	// noOrigin is nobody: the operation only has to be committed.
	noOrigin struct{}
)

func (operatorOrigin) isOrigin() {}
func (queryOrigin) isOrigin()    {}
func (noOrigin) isOrigin()       {}

// pendingOperation is an operation of this host without an answer.
type pendingOperation struct {
	operation Operation
	origin    origin
	deadline  identifier.Instant
	// target is the control host that was asked last.
	target    identifier.HostID
	redirects int
}

// waiter is a host that waits for an operation which this host, as the leader, carries out.
type waiter struct {
	from   identifier.HostID
	number OperationNumber
}

// pendingRead is a read that waits for the quorum to confirm the leader.
type pendingRead struct {
	waiter
	read Operation
}

// operations is the part of control about operations on the replicated state.
type operations struct {
	pending map[OperationNumber]*pendingOperation
	// number is that of the last operation; it starts at the seed, so that answers
	// to an earlier process of this host match nothing.
	number OperationNumber
	// target is the control host that led last, as far as this host knows.
	target identifier.HostID

	// proposed, reads and known are kept by the leader.
	proposed map[identifier.LogIndex]waiter
	reads    map[Ticket]pendingRead
	known    map[waiter]bool
	ticket   Ticket
}

func newOperations() operations {
	return operations{
		pending:  map[OperationNumber]*pendingOperation{},
		proposed: map[identifier.LogIndex]waiter{},
		reads:    map[Ticket]pendingRead{},
		known:    map[waiter]bool{},
	}
}

func (s *State) reduceOperation(event OperationEvent) {
	switch e := event.(type) {
	case OperationForwarded:
		s.receiveOperation(waiter{e.From, e.Number}, e.Operation)
	case OperationRedirected:
		s.followRedirect(e)
	case OperationAnswered:
		s.endOperation(e)
	case MembersRequested:
		s.operate(e.Operation, operatorOrigin{e.Ticket}, s.now.Add(MemberTimeout))
	case IntentRequested:
		s.operate(Proposal{Command: IntentRecorded{Intent: e.Intent}}, queryOrigin{e.Intent.Request}, e.Deadline)
	case IntentReturned:
		s.operate(Proposal{Command: IntentAbandoned{Intent: e.Intent}}, noOrigin{}, s.now.Add(RecordTimeout))
	case OutcomeReported:
		s.operate(Proposal{Command: OutcomeRecorded{Intent: e.Intent, Outcome: e.Outcome}}, noOrigin{}, s.now.Add(RecordTimeout))
	}
}

// operate starts an operation and tries it until the deadline.
func (s *State) operate(o Operation, from origin, deadline identifier.Instant) {
	s.control.operations.number++
	number := s.control.operations.number
	s.control.operations.pending[number] = &pendingOperation{operation: o, origin: from, deadline: deadline}
	s.tryOperation(number)
}

// tryOperation sends an operation to the control host that leads as far as this
// host knows, and tries again later. At the deadline it gives up.
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
		// The target has been silent for a whole interval.
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

// operationTarget returns the leader if one is known, else a random control host.
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

// followRedirect sends the operation to the leader at once, unless redirects
// follow each other too fast; then the next try has to find the leader.
func (s *State) followRedirect(e OperationRedirected) {
	p, ok := s.control.operations.pending[e.Number]
	if !ok || e.Leader == "" || p.redirects >= maxPromptRedirects {
		return
	}
	p.redirects++
	s.control.operations.target = e.Leader
	s.sendOperation(e.Number, p)
}

// receiveOperation carries out an operation if this host leads, else redirects it.
func (s *State) receiveOperation(w waiter, o Operation) {
	leader, _ := s.leader()
	if leader != s.parameters.Host {
		s.redirect(w)
		return
	}
	if s.control.operations.known[w] {
		return
	}
	switch o := o.(type) {
	case Proposal:
		s.receiveProposal(w, o)
	case AddMember, RemoveMember:
		s.receiveMemberOperation(w, o)
	case ObjectsRead, DeclarationRead:
		s.control.operations.ticket++
		ticket := s.control.operations.ticket
		s.control.operations.known[w] = true
		s.control.operations.reads[ticket] = pendingRead{w, o}
		s.confirmRead(ticket)
	}
}

func (s *State) receiveProposal(w waiter, p Proposal) {
	index, ok := s.propose(stamp(p.Command, s.now))
	if !ok {
		s.redirect(w)
		return
	}
	s.control.operations.known[w] = true
	s.control.operations.proposed[index] = w
}

// redirect tells a waiter which host leads; the waiter may be this host.
func (s *State) redirect(w waiter) {
	leader, _ := s.leader()
	if leader == s.parameters.Host || w.from == s.parameters.Host {
		leader = ""
	}
	s.tell(w, OperationRedirected{Number: w.number, Leader: leader})
}

// answerOperation gives the leader's answer to a waiter.
func (s *State) answerOperation(w waiter, a Answer) {
	delete(s.control.operations.known, w)
	s.tell(w, OperationAnswered{From: s.parameters.Host, Number: w.number, Answer: a})
}

// tell gives an event to a waiter, which may be this state.
func (s *State) tell(w waiter, e OperationEvent) {
	if w.from == s.parameters.Host {
		s.reduceOperation(e)
		return
	}
	s.emit(Send{To: w.from, Event: e})
}

// answerProposal answers the host that waits for the command at the index, if this host proposed it.
func (s *State) answerProposal(index identifier.LogIndex, a Answer) {
	w, ok := s.control.operations.proposed[index]
	if !ok {
		return
	}
	delete(s.control.operations.proposed, index)
	s.answerOperation(w, a)
}

// dropWaiters redirects every host that waits for this one, which leads no longer.
// Trying an operation again is safe: commands are idempotent.
func (s *State) dropWaiters() {
	proposed, reads := s.control.operations.proposed, s.control.operations.reads
	s.control.operations.proposed = map[identifier.LogIndex]waiter{}
	s.control.operations.reads = map[Ticket]pendingRead{}
	s.control.operations.known = map[waiter]bool{}
	for _, index := range sortedKeys(proposed) {
		s.redirect(proposed[index])
	}
	for _, ticket := range sortedKeys(reads) {
		s.redirect(reads[ticket].waiter)
	}
}

// endOperation passes the leader's answer on to who waits for it.
func (s *State) endOperation(e OperationAnswered) {
	p, ok := s.control.operations.pending[e.Number]
	if !ok {
		return
	}
	delete(s.control.operations.pending, e.Number)
	s.control.operations.target = e.From
	switch o := p.origin.(type) {
	case operatorOrigin:
		s.emit(ReplyOperator{Ticket: o.ticket, Reply: s.completeFound(e.Answer), Control: s.controlStatus()})
	case queryOrigin:
		s.emit(Send{To: s.parameters.Host, Event: IntentAnswered{Request: o.request, Answer: e.Answer}})
	}
}

// failOperation tells who waits that no leader answered in time. A read is
// answered from this host's own state, as stale; a change may have been accepted.
func (s *State) failOperation(p *pendingOperation) {
	switch o := p.origin.(type) {
	case operatorOrigin:
		s.emit(ReplyOperator{Ticket: o.ticket, Reply: s.replyWithoutLeader(p.operation), Control: s.controlStatus()})
	case queryOrigin:
		s.emit(Send{To: s.parameters.Host, Event: IntentAnswered{Request: o.request}})
	}
}

package reducer

import (
	"errors"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// MemberTimeout limits the time for a change of the control hosts.
const MemberTimeout = 15 * identifier.Second

// Operations on the membership of the replicated log. Both are idempotent.
type (
	// AddMember makes a host a voter.
	AddMember struct {
		Host identifier.HostID `msgpack:"h"`
	}
	// RemoveMember removes a host from the membership.
	RemoveMember struct {
		Host identifier.HostID `msgpack:"h"`
	}
)

// Operations that let the leader recognize a late copy of an operator's order.
type (
	// MembershipRead asks the leader for the index of the membership.
	MembershipRead struct{}
	// MemberOrder is an AddMember or a RemoveMember that starts no change if the membership has changed since the
	// read of Base.
	MemberOrder struct {
		Operation Operation           `msgpack:"o"`
		Base      identifier.LogIndex `msgpack:"b"`
	}
)

func (AddMember) isOperation()      {}
func (RemoveMember) isOperation()   {}
func (MembershipRead) isOperation() {}
func (MemberOrder) isOperation()    {}

// MembershipFound answers a MembershipRead.
type MembershipFound struct {
	Index identifier.LogIndex `msgpack:"i"`
}

func (MembershipFound) isAnswer() {}

// MembersDecided is the answer to an operation on the membership.
type MembersDecided struct {
	// Members is the committed membership.
	Members replicator.Membership `msgpack:"m"`
	// Refusal is the reason why nothing was changed; it is empty if the operation succeeded.
	Refusal string `msgpack:"r"`
}

func (MembersDecided) isAnswer() {}

// MembersRequested is an operator's change of the control hosts: an AddMember or a RemoveMember.
type MembersRequested struct {
	operationEvent
	Ticket    Ticket
	Operation Operation
	// Age is the most by which the order is older than this event, by the clock of the host.
	Age identifier.Micros
}

// memberOrigin is an operator's change of the control hosts whose base is being read.
type memberOrigin struct {
	order    MembersRequested
	sentFrom identifier.Instant
	deadline identifier.Instant
}

func (memberOrigin) isOrigin() {}

// memberChange is an operator's change of the control hosts whose base was read.
type memberChange struct {
	memberOrigin
	base identifier.LogIndex
}

func (memberChange) isOrder() {}

// orderMembers reads the base of a change of the control hosts through the leader.
func (s *State) orderMembers(e MembersRequested) {
	o := memberOrigin{e, s.sentFrom(e.Age), s.now.Add(MemberTimeout)}
	if !s.isProven(o.sentFrom) {
		s.dropMemberChange(o)
		return
	}
	s.startOperation(MembershipRead{}, o, o.deadline)
}

// receiveMembershipBase checks that the sender of a change whose base was read still waits.
func (s *State) receiveMembershipBase(o memberOrigin, a Answer) {
	found, ok := a.(MembershipFound)
	if !ok {
		s.emit(ReplyOperator{Ticket: o.order.Ticket, Reply: LeaderMissing{}, Control: s.controlStatus()})
		return
	}
	if !s.isProven(o.sentFrom) {
		s.dropMemberChange(o)
		return
	}
	s.confirmCaller(o.order.Ticket, memberChange{o, found.Index})
}

// dropMemberChange drops a change of the control hosts whose sender has given up, or may have done so.
func (s *State) dropMemberChange(o memberOrigin) {
	if !s.isProven(o.sentFrom) {
		s.refuseUnproven(o.order.Ticket, "change of the control hosts", o.sentFrom)
		return
	}
	s.log(ConfigurationSubsystem, Info, "change of the control hosts dropped: its sender has gone")
	s.emit(ReplyOperator{Ticket: o.order.Ticket, Reply: LeaderMissing{}, Control: s.controlStatus()})
}

// changeMembers has the leader change the control hosts if the sender of the order still waits.
func (s *State) changeMembers(c memberChange, waiting bool) {
	if !waiting {
		s.dropMemberChange(c.memberOrigin)
		return
	}
	s.startOperation(MemberOrder{Operation: c.order.Operation, Base: c.base}, operatorOrigin{c.order.Ticket}, c.deadline)
}

// receiveMemberOperation performs the next step towards the requested membership, and answers once that is committed.
// The requesting host retries until then. A change starts only from the base of the order.
func (s *State) receiveMemberOperation(w waiter, o Operation, base identifier.LogIndex) {
	log := s.control.replication.log
	var change func(identifier.Instant, identifier.HostID) error
	var host identifier.HostID
	done := false
	switch o := o.(type) {
	case AddMember:
		host = o.Host
		if done = hasVoter(log.CommittedMembers(), host); !done && !log.Members().HasHost(host) {
			change = log.AddMember
		}
	case RemoveMember:
		host = o.Host
		if done = !log.CommittedMembers().HasHost(host); !done && log.Members().HasHost(host) {
			change = log.RemoveMember
		}
	}
	var err error
	if change != nil {
		if base != log.MembershipIndex() {
			s.answerOperation(w, MembersDecided{Members: log.CommittedMembers(), Refusal: "the control hosts have changed since the order"})
			return
		}
		err = change(s.now, host)
	}
	var refused *replicator.MemberError
	if errors.As(err, &refused) && !refused.Temporary {
		s.answerOperation(w, MembersDecided{Members: log.CommittedMembers(), Refusal: refused.Reason})
		return
	}
	if done {
		s.answerOperation(w, MembersDecided{Members: log.CommittedMembers()})
	}
}

func hasVoter(m replicator.Membership, h identifier.HostID) bool {
	for _, member := range m {
		if member.Host == h && member.Voter {
			return true
		}
	}
	return false
}

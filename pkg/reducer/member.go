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

func (AddMember) isOperation()    {}
func (RemoveMember) isOperation() {}

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
}

// receiveMemberOperation performs the next step towards the requested membership, and
// answers once that is committed. The requesting host retries until then.
func (s *State) receiveMemberOperation(w waiter, o Operation) {
	log := s.control.replication.log
	var err error
	done := false
	switch o := o.(type) {
	case AddMember:
		if done = hasVoter(log.CommittedMembers(), o.Host); !done && !log.Members().HasHost(o.Host) {
			err = log.AddMember(s.now, o.Host)
		}
	case RemoveMember:
		if done = !log.CommittedMembers().HasHost(o.Host); !done && log.Members().HasHost(o.Host) {
			err = log.RemoveMember(s.now, o.Host)
		}
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

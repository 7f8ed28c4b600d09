package reducer

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// propose appends a command to the replicated log when this host leads it. It
// returns the command's index, and false, with nothing appended, when this host
// does not lead. Every appended command ends in apply, leadershipLost, or both.
func (s *State) propose(Command) (identifier.LogIndex, bool) {
	return 0, false
}

// confirmRead asks a quorum whether this host still leads; readConfirmed follows,
// at once when it does not lead.
func (s *State) confirmRead(t Ticket) {
	s.readConfirmed(t, false)
}

// leader returns the control host that leads the replicated log as far as this
// host knows, and whether one is known. A host without the control role knows none.
func (s *State) leader() (identifier.HostID, bool) {
	return "", false
}

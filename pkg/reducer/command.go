package reducer

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Command is an entry of the replicated log. It is sealed: the types of this
// package are all there are. Every control host applies the same commands in the
// same order.
type Command interface{ isCommand() }

type command struct{}

func (command) isCommand() {}

// NoCommand is the entry that a new leader commits first; it changes nothing.
type NoCommand struct{ command }

// ControlSnapshot is the replicated control state after all commands up to an
// index. It shares no memory that a later command changes.
type ControlSnapshot struct{}

// apply carries out a committed command on the replicated control state. It is
// called once for each index of this process's life, in order, on every control
// host; a command that waits for a reply is answered here by the host that
// proposed it.
func (s *State) apply(_ identifier.LogIndex, c Command) {
	switch c.(type) {
	case NoCommand:
	}
}

// snapshotState returns the replicated control state after the last applied command.
func (s *State) snapshotState() ControlSnapshot {
	return ControlSnapshot{}
}

// restoreState replaces the replicated control state by a later one, from this
// host's disk or from the leader.
func (s *State) restoreState(ControlSnapshot) {}

// leadershipWon is called when this host leads the replicated log and has
// applied all that earlier leaders committed.
func (s *State) leadershipWon() {}

// leadershipLost is called when this host leads no longer. Whether commands that
// it proposed and that apply has not seen will commit is unknown.
func (s *State) leadershipLost() {}

// readConfirmed answers confirmRead: the applied state reflects every command
// that was committed when confirmRead was called, or, if not confirmed, this
// host lost its quorum and knows nothing.
func (s *State) readConfirmed(_ Ticket, _ bool) {}

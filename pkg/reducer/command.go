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

// apply carries out a committed command on the replicated control state.
func (s *State) apply(_ identifier.LogIndex, c Command) {
	switch c.(type) {
	case NoCommand:
	}
}

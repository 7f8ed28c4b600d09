package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// DeclarationTimeout limits an operator's write or read of the declaration; operators try
// another host after a second.
const DeclarationTimeout = 900 * identifier.Millisecond

// ConfigurationDeclared replaces the declaration by one with a higher version; a lower or equal
// version has no effect.
type ConfigurationDeclared struct {
	command
	Source declarer.Source `msgpack:"s"`
}

// DeclarationRead asks the leader for the current declaration.
type DeclarationRead struct {
	// Held is the version that the requesting host holds; if it is current, the answer omits the
	// text.
	Held identifier.Version `msgpack:"h"`
}

func (DeclarationRead) isOperation() {}

// DeclarationFound answers a DeclarationRead.
type DeclarationFound struct {
	// Version is the version of the declaration; 0 means that there is none.
	Version identifier.Version `msgpack:"v"`
	// Source is nil when the requesting host holds the version.
	Source *declarer.Source `msgpack:"s"`
}

func (DeclarationFound) isAnswer() {}

// Operators' events about the declaration.
type (
	// DeclarationRequested is an operator's declaration, which has been validated.
	DeclarationRequested struct {
		configurationEvent
		Ticket Ticket
		Source declarer.Source
	}
	// DeclarationReadRequested is an operator's read of the declaration.
	DeclarationReadRequested struct {
		configurationEvent
		Ticket Ticket
	}
)

// committedDeclaration is the declaration in the replicated log; version 0 means that there is
// none.
type committedDeclaration struct {
	declarer.Source
}

// sourceAfter returns the source if it is newer than the version, and nil otherwise.
func (d *committedDeclaration) sourceAfter(version identifier.Version) *declarer.Source {
	if d.Version <= version {
		return nil
	}
	return &d.Source
}

// declare commits an operator's declaration if it is newer than the committed one.
func (s *State) declare(e DeclarationRequested) {
	if e.Source.Version <= s.control.replicated.source.Version {
		s.emit(ReplyOperator{Ticket: e.Ticket, Reply: Committed{}, Control: s.controlStatus()})
		return
	}
	s.startOperation(Proposal{Command: ConfigurationDeclared{Source: e.Source}}, operatorOrigin{e.Ticket},
		s.now.Add(DeclarationTimeout))
}

// readDeclaration reads the current declaration through the leader.
func (s *State) readDeclaration(e DeclarationReadRequested) {
	s.startOperation(DeclarationRead{Held: s.control.replicated.source.Version}, operatorOrigin{e.Ticket},
		s.now.Add(DeclarationTimeout))
}

// applyDeclaration records a committed declaration and puts it in force if it is newer than the
// previous one.
func (s *State) applyDeclaration(c ConfigurationDeclared) {
	if c.Source.Version <= s.control.replicated.source.Version {
		s.log(ConfigurationSubsystem, Info, "declaration is not newer than the one in force",
			versionField(c.Source.Version), Field{"in-force", formatVersion(s.control.replicated.source.Version)})
		return
	}
	s.control.replicated.source = committedDeclaration{c.Source}
	s.activateDeclaration()
}

// activateDeclaration puts the committed declaration in force on this host if it is newer than the
// current one, publishes the view and notifies subscribers.
func (s *State) activateDeclaration() {
	source := s.control.replicated.source
	if source.Version <= s.control.version {
		return
	}
	s.control.version = source.Version
	s.log(ConfigurationSubsystem, Info, "declaration committed", versionField(source.Version))
	s.updateQuotas()
	s.publish()
	s.notifySubscribers()
}

// answerDeclarationRead returns the result of a confirmed read.
func (s *State) answerDeclarationRead(read DeclarationRead) DeclarationFound {
	source := s.control.replicated.source
	return DeclarationFound{Version: source.Version, Source: source.sourceAfter(read.Held)}
}

// fillDeclaration adds the text to the answer of a read that omits it, since this host holds the
// version. If this host's declaration is older after all, the answer is LeaderMissing.
func (s *State) fillDeclaration(a Answer) Answer {
	found, ok := a.(DeclarationFound)
	if !ok || found.Source != nil || found.Version == 0 {
		return a
	}
	held := s.control.replicated.source.Source
	if held.Version < found.Version {
		return LeaderMissing{}
	}
	found.Source = &held
	found.Version = held.Version
	return found
}

func formatVersion(v identifier.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

func versionField(v identifier.Version) Field {
	return Field{"version", formatVersion(v)}
}

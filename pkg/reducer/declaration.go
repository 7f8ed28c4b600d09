package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// DeclarationTimeout is how long an operator's declaration or read of it may take;
// operators turn to another host after a second.
const DeclarationTimeout = 900 * identifier.Millisecond

// ConfigurationDeclared replaces the declaration by one of a higher version; one
// that is not higher changes nothing.
type ConfigurationDeclared struct {
	command
	Source declarer.Source `msgpack:"s"`
}

// DeclarationRead asks the leader for the declaration as of now.
type DeclarationRead struct {
	// Held is the version that the asking host holds; the answer leaves out a text that it has.
	Held identifier.Version `msgpack:"h"`
}

func (DeclarationRead) isOperation() {}

// DeclarationFound answers a DeclarationRead.
type DeclarationFound struct {
	// Version is that of the declaration; 0 says that there is none.
	Version identifier.Version `msgpack:"v"`
	// Source is nil when the asking host holds the version.
	Source *declarer.Source `msgpack:"s"`
}

func (DeclarationFound) isAnswer() {}

// Events of operators about the declaration.
type (
	// DeclarationRequested is an operator's declaration, which has been checked.
	DeclarationRequested struct {
		configurationEvent
		Ticket Ticket
		Source declarer.Source
	}
	// DeclarationWanted is an operator's read of the declaration.
	DeclarationWanted struct {
		configurationEvent
		Ticket Ticket
	}
)

// declared is the declaration that the replicated log holds; a zero version is none.
type declared struct {
	declarer.Source
}

// newerThan returns the source if it is newer than the version, else nil.
func (d *declared) newerThan(version identifier.Version) *declarer.Source {
	if d.Version <= version {
		return nil
	}
	return &d.Source
}

// declare commits an operator's declaration, unless one as new is committed already.
func (s *State) declare(e DeclarationRequested) {
	if e.Source.Version <= s.control.replicated.source.Version {
		s.emit(ReplyOperator{Ticket: e.Ticket, Reply: Committed{}, Control: s.controlStatus()})
		return
	}
	s.operate(Proposal{Command: ConfigurationDeclared{Source: e.Source}}, operatorOrigin{e.Ticket},
		s.now.Add(DeclarationTimeout))
}

// readDeclaration asks the leader whether this host's declaration is the newest.
func (s *State) readDeclaration(e DeclarationWanted) {
	s.operate(DeclarationRead{Held: s.control.replicated.source.Version}, operatorOrigin{e.Ticket},
		s.now.Add(DeclarationTimeout))
}

// applyDeclaration puts a committed declaration in force and tells the entry hosts.
func (s *State) applyDeclaration(c ConfigurationDeclared) {
	if c.Source.Version <= s.control.replicated.source.Version {
		s.log(ConfigurationSubsystem, Info, "declaration is not newer than the one in force",
			versionField(c.Source.Version), Field{"in-force", formatVersion(s.control.replicated.source.Version)})
		return
	}
	s.control.replicated.source = declared{c.Source}
	s.adoptDeclaration()
}

// adoptDeclaration notes the version that the replicated log has brought and tells the readers.
func (s *State) adoptDeclaration() {
	source := s.control.replicated.source
	if source.Version <= s.control.version {
		return
	}
	s.control.version = source.Version
	s.log(ConfigurationSubsystem, Info, "declaration committed", versionField(source.Version))
	s.publish()
	s.tellReaders()
}

// answerDeclarationRead returns what a confirmed read found.
func (s *State) answerDeclarationRead(read DeclarationRead) DeclarationFound {
	source := s.control.replicated.source
	return DeclarationFound{Version: source.Version, Source: source.newerThan(read.Held)}
}

// completeFound fills in the text of a read that this host holds itself.
func (s *State) completeFound(a Answer) Answer {
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

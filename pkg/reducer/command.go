package reducer

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// Command is an entry of the replicated log. Every control host applies the same commands
// in the same order. The interface is sealed: only types of this package implement it.
type Command interface{ isCommand() }

type command struct{}

func (command) isCommand() {}

// Commands of the replicated log. Applying a command twice has no further effect.
type (
	// NoCommand is the entry that a new leader commits first; it changes nothing.
	NoCommand struct{ command }
	// ConfigurationImported fills an empty registry with its initial templates and customers.
	ConfigurationImported struct {
		command
		At     identifier.Instant `msgpack:"a"`
		Import registrar.Import   `msgpack:"i"`
	}
	// ObjectChanged is an operator's change of a template or customer.
	ObjectChanged struct {
		command
		Change registrar.Change `msgpack:"c"`
	}
	// IntentRecorded records that a non-repeatable request is about to run.
	IntentRecorded struct {
		command
		Intent deduplicator.Intent `msgpack:"i"`
	}
	// IntentAbandoned records that such a request did not run and never will.
	IntentAbandoned struct {
		command
		Intent deduplicator.Intent `msgpack:"i"`
	}
	// OutcomeRecorded records the outcome of such a request.
	OutcomeRecorded struct {
		command
		Intent  deduplicator.Intent `msgpack:"i"`
		Outcome Outcome             `msgpack:"o"`
	}
)

// ControlSnapshot is the replicated control state after all commands up to an index. It
// shares no memory that a later command modifies.
type ControlSnapshot struct {
	Registry registrar.Snapshot             `msgpack:"r"`
	Ledger   deduplicator.Snapshot[Outcome] `msgpack:"l"`
	// Source is the declaration in force; its version is 0 if there is none.
	Source declarer.Source `msgpack:"d"`
	// Departures are the recent departures of backend servers, in order of server and service.
	Departures []RecordedDeparture `msgpack:"p"`
	// Evacuations are the last orders about failure domains, in order of domain.
	Evacuations []RecordedEvacuation `msgpack:"e"`
}

// replicated is the state that every control host maintains by applying commands.
type replicated struct {
	registry *registrar.Registry
	ledger   *deduplicator.Ledger[Outcome]
	source   committedDeclaration
	// departures holds the departures of backend servers that were acknowledged.
	departures departures
	// evacuations holds the last order about each failure domain.
	evacuations evacuationOrders
}

func newReplicated() replicated {
	return replicated{
		registry: registrar.New(), ledger: deduplicator.New[Outcome](ledgerLimits), departures: departures{},
		evacuations: evacuationOrders{},
	}
}

// withProposalTime returns the command with the time at which the leader proposes it.
func withProposalTime(c Command, at identifier.Instant) Command {
	switch c := c.(type) {
	case ConfigurationImported:
		c.At = at
		return c
	case ObjectChanged:
		c.Change.At = at
		return c
	case IntentRecorded:
		c.Intent.At = at
		return c
	case IntentAbandoned:
		c.Intent.At = at
		return c
	case OutcomeRecorded:
		c.Intent.At = at
		return c
	case ServersDeparted:
		c.At = at
		return c
	case EvacuationOrdered:
		c.At = at
		return c
	}
	return c
}

// apply applies a committed command to the replicated control state. Within one process it
// is called once for each index, in order, on every control host. If a host waits for the
// command's result, the control host that proposed it answers here.
func (s *State) apply(index identifier.LogIndex, c Command) {
	s.answerProposal(index, s.applyCommand(c))
}

// applyCommand changes the replicated state and returns the answer for the host that waits
// for the command.
func (s *State) applyCommand(c Command) Answer {
	ledger := s.control.replicated.ledger
	switch c := c.(type) {
	case NoCommand:
		return Committed{}
	case ConfigurationImported:
		s.applyImport(c)
		return Committed{}
	case ObjectChanged:
		return ChangeDecided{Result: s.applyChange(c.Change)}
	case IntentRecorded:
		decision := ledger.Record(c.Intent)
		outcome, _ := ledger.Outcome(c.Intent.Key)
		return IntentDecided{Decision: decision, Outcome: outcome}
	case IntentAbandoned:
		ledger.Abandon(c.Intent)
		return Committed{}
	case OutcomeRecorded:
		ledger.Settle(c.Intent, c.Outcome)
		return Committed{}
	case ConfigurationDeclared:
		s.applyDeclaration(c)
		return Committed{}
	case ServersDeparted:
		s.applyDepartures(c)
		return Committed{}
	case EvacuationOrdered:
		s.applyEvacuation(c)
		return Committed{}
	}
	panic(fmt.Sprintf("reducer: unknown command %T", c))
}

// snapshotState returns the replicated control state after the last applied command.
func (s *State) snapshotState() ControlSnapshot {
	return ControlSnapshot{
		Registry: s.control.replicated.registry.Snapshot(),
		Ledger:   s.control.replicated.ledger.Snapshot(),
		Source:   s.control.replicated.source.Source,

		Departures: s.control.replicated.departures.snapshot(),

		Evacuations: s.control.replicated.evacuations.snapshot(),
	}
}

// restoreState replaces the replicated control state with a later one, from this host's
// disk or from the leader.
func (s *State) restoreState(c ControlSnapshot) {
	s.control.replicated = replicated{
		registry: registrar.Restore(c.Registry),
		ledger:   deduplicator.Restore(ledgerLimits, c.Ledger),
		source:   committedDeclaration{c.Source},

		departures: restoreDepartures(c.Departures),

		evacuations: restoreEvacuations(c.Evacuations),
	}
	s.adoptEvacuations(s.control.replicated.evacuations.current())
	for _, d := range c.Departures {
		s.listDepartures(ServersDeparted{At: d.At, Departures: []Departure{d.Departure}})
	}
	if _, ok := s.parameters.Duty.(ControlDuty); ok {
		s.activateDeclaration()
		return
	}
	s.syncCatalog()
}

// leadershipWon is called when this host leads the replicated log and has applied
// everything that earlier leaders committed.
func (s *State) leadershipWon() {
	if _, ok := s.parameters.Duty.(ControlDuty); !ok {
		s.proposeImport()
	}
	s.ownQuotas()
	s.ownColdServers()
	s.publishControlStatus()
}

// leadershipLost is called when this host no longer leads. Commands that it proposed and
// that have not reached apply may or may not be committed.
func (s *State) leadershipLost() {
	s.disownQuotas()
	s.control.cold.owner = nil
	s.redirectWaiters()
	s.publishControlStatus()
}

// readConfirmed completes a read that confirmRead started. If confirmed, the applied state
// reflects every command that was committed when confirmRead was called. Otherwise this
// host has lost its quorum and can't answer the read.
func (s *State) readConfirmed(t Ticket, confirmed bool) {
	p, ok := s.control.operations.reads[t]
	if !ok {
		return
	}
	delete(s.control.operations.reads, t)
	if !confirmed {
		delete(s.control.operations.inProgress, p.waiter)
		s.redirect(p.waiter)
		return
	}
	switch read := p.read.(type) {
	case ObjectsRead:
		s.answerOperation(p.waiter, readRegistry(s.control.replicated.registry, read))
	case DeclarationRead:
		s.answerOperation(p.waiter, s.answerDeclarationRead(read))
	case MembershipRead:
		s.answerOperation(p.waiter, MembershipFound{Index: s.control.replication.log.MembershipIndex()})
	case EvacuationRead:
		s.answerOperation(p.waiter, EvacuationFound{Revision: s.control.replicated.evacuations[read.Domain].Revision})
	}
}

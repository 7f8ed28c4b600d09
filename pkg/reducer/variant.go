package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// Variants returns a value of every type that a field of a sealed interface type may hold
// in events, commands and snapshots. Encoders number the types by their index, so new types
// are appended and none is ever removed.
func Variants() []any {
	return []any{
		registrar.TemplatePut{},
		registrar.CustomerPut{},
		registrar.TemplateDeleted{},
		registrar.CustomerDeleted{},
		registrar.Accepted{},
		registrar.Conflict{},
		registrar.Invalid{},
		registrar.Reused{},
		deduplicator.Granted{},
		deduplicator.Settled{},
		deduplicator.Unsettled{},
		deduplicator.Withdrawn{},
		deduplicator.Expired{},
		deduplicator.Early{},
		deduplicator.Mismatched{},
		deduplicator.Full{},
		Answered{},
		Failed{},
		NoCommand{},
		ConfigurationImported{},
		ObjectChanged{},
		IntentRecorded{},
		IntentAbandoned{},
		OutcomeRecorded{},
		Proposal{},
		ObjectsRead{},
		ChangeDecided{},
		ObjectsFound{},
		IntentDecided{},
		Committed{},
		replicator.Proposal[Command]{},
		replicator.MembershipChange{},
		replicator.HardState{},
		replicator.EntriesAppended{},
		replicator.SnapshotSaved[ControlSnapshot]{},
		replicator.Probe{},
		replicator.PreVoteRequest{},
		replicator.PreVoteReply{},
		replicator.VoteRequest{},
		replicator.VoteReply{},
		replicator.AppendRequest{},
		replicator.AppendReply{},
		replicator.SnapshotRequest[ControlSnapshot]{},
		AddMember{},
		RemoveMember{},
		MembersDecided{},
		ConfigurationDeclared{},
		DeclarationRead{},
		DeclarationFound{},
		ServersDeparted{},
		EvacuationOrdered{},
		EvacuationRead{},
		EvacuationFound{},
		MembershipRead{},
		MemberOrder{},
		MembershipFound{},
	}
}

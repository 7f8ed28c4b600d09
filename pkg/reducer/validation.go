package reducer

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// InvalidMessageError reports a message of another host with a value that no host sends. Hosts of other versions, or programs
// that are none of ours, may send such messages.
type InvalidMessageError struct {
	// Message is the type of the message, and Field the field with the value.
	Message, Field string
}

// Error returns a message that names the field.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("reducer: %s: the value of %s is missing or out of range", e.Message, e.Field)
}

// Check returns an *InvalidMessageError if a message of another host has a value that the states rely on and that is missing
// or out of range. It must be called before a message from another host is reduced.
func Check(event Event) error {
	if field := invalidField(event); field != "" {
		return &InvalidMessageError{Message: fmt.Sprintf("%T", event), Field: field}
	}
	return nil
}

// invalidField returns the name of a field with an invalid value; empty if there is none.
func invalidField(event Event) string {
	switch e := event.(type) {
	case RevisionsSent:
		return invalidRevisions(e.Revisions)
	case ContentsSent:
		return invalidRevisions(e.Contents.Revisions)
	case AttemptSubmitted:
		if e.Rank >= identifier.RankCount {
			return "rank"
		}
	case ReplicaMessaged:
		return invalidReplicaMessage(e.Envelope.Message)
	case OperationForwarded:
		return invalidOperation(e.Operation)
	case OperationAnswered:
		return invalidAnswer(e.Answer)
	}
	return ""
}

// invalidReplicaMessage returns the name of an invalid field of a message between replicas.
func invalidReplicaMessage(message replicator.Message) string {
	switch m := message.(type) {
	case nil:
		return "message"
	case replicator.AppendRequest:
		for i := range m.Entries {
			x := &m.Entries[i]
			if x.Index != m.Previous+identifier.LogIndex(i)+1 || x.Index == 0 {
				return "entries"
			}
			if field := invalidContent(x.Content); field != "" {
				return field
			}
		}
	case replicator.SnapshotRequest[ControlSnapshot]:
		return invalidSnapshot(&m.Snapshot.State)
	}
	return ""
}

func invalidContent(content replicator.Content) string {
	switch c := content.(type) {
	case nil:
		return "content"
	case replicator.Proposal[Command]:
		return invalidCommand(c.Command)
	}
	return ""
}

func invalidCommand(command Command) string {
	switch c := command.(type) {
	case nil:
		return "command"
	case ObjectChanged:
		if c.Change.Edit == nil {
			return "edit"
		}
	}
	return ""
}

func invalidSnapshot(c *ControlSnapshot) string {
	if field := invalidRevisions(c.Registry.Contents.Revisions); field != "" {
		return field
	}
	return invalidRevisions(c.Registry.History)
}

func invalidOperation(operation Operation) string {
	switch o := operation.(type) {
	case nil:
		return "operation"
	case Proposal:
		return invalidCommand(o.Command)
	case MemberOrder:
		switch o.Operation.(type) {
		case AddMember, RemoveMember:
		default:
			return "operation"
		}
	}
	return ""
}

func invalidAnswer(answer Answer) string {
	switch a := answer.(type) {
	case nil:
		return "answer"
	case ObjectsFound:
		return invalidRevisions(a.Revisions)
	}
	return ""
}

func invalidRevisions(revisions []registrar.Revision) string {
	for i := range revisions {
		if revisions[i].Edit == nil {
			return "revisions"
		}
	}
	return ""
}

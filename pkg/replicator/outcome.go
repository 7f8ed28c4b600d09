package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// WriteSequence is the number of a record that a replica has issued for storage.
type WriteSequence uint64

// ReadTicket identifies a Read; its ReadDone has the same ticket.
type ReadTicket uint64

// Output is the output of a Replicator since the last Take.
type Output struct {
	// Records must be stored and synced in order. Persisted must then be called with Sequence.
	Records  []Record
	Sequence WriteSequence
	Messages []Envelope
	Outcomes []Outcome
}

// Outcome is an event that the caller of a Replicator must act on. It is sealed.
type Outcome interface{ isOutcome() }

type (
	// Committed delivers a committed command. Commands are delivered in index order; the
	// indexes of membership changes are skipped.
	Committed[C any] struct {
		Index   identifier.LogIndex
		Command C
	}
	// MembersCommitted reports that a membership is committed.
	MembersCommitted struct {
		Index   identifier.LogIndex
		Members Membership
	}
	// SnapshotInstalled replaces the caller's state with that of a snapshot.
	SnapshotInstalled[S any] struct {
		Index identifier.LogIndex
		State S
	}
	// ReadDone completes a Read. When Confirmed, the outcomes before it include everything
	// that was committed when Read was called.
	ReadDone struct {
		Ticket    ReadTicket
		Confirmed bool
	}
	// LeadershipWon reports that this replica leads. It comes after the outcomes of all
	// entries of earlier leaders.
	LeadershipWon struct {
		Term identifier.Term
	}
	// LeadershipLost reports that this replica no longer leads.
	LeadershipLost struct {
		Term   identifier.Term
		Reason LossReason
	}
)

func (Committed[C]) isOutcome()         {}
func (MembersCommitted) isOutcome()     {}
func (SnapshotInstalled[S]) isOutcome() {}
func (ReadDone) isOutcome()             {}
func (LeadershipWon) isOutcome()        {}
func (LeadershipLost) isOutcome()       {}

// LossReason is the reason why a leader stepped down.
type LossReason string

// The reasons for stepping down.
const (
	LostToHigherTerm LossReason = "higher-term"
	LostQuorum       LossReason = "quorum-out-of-touch"
	LostStorage      LossReason = "storage-failed"
	LostMembership   LossReason = "no-voter"
)

// Invariant names a property that must always hold.
type Invariant string

// The invariants that a Replicator checks.
const (
	OneLeaderInvariant          Invariant = "one-leader-a-term"
	CommittedImmutableInvariant Invariant = "committed-entries-stay"
	AppliedInOrderInvariant     Invariant = "applied-in-order"
	OneVoterChangeInvariant     Invariant = "one-voter-changes-at-a-time"
)

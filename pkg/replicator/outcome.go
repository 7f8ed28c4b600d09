package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// WriteSequence numbers what a replica gave out to be stored.
type WriteSequence uint64

// ReadTicket matches a ReadDone to its Read.
type ReadTicket uint64

// Output is what follows from the inputs since the last Take.
type Output struct {
	// Records are to be stored and synced, in order; then Persisted is due with Sequence.
	Records  []Record
	Sequence WriteSequence
	Messages []Envelope
	Outcomes []Outcome
}

// Outcome is something that the owner of a Replicator acts on. It is sealed.
type Outcome interface{ isOutcome() }

type (
	// Committed hands over the command of the next index.
	Committed[C any] struct {
		Index   identifier.LogIndex
		Command C
	}
	// MembersCommitted reports that the membership is final.
	MembersCommitted struct {
		Index   identifier.LogIndex
		Members Membership
	}
	// Installed replaces the state by that of a snapshot.
	Installed[S any] struct {
		Index identifier.LogIndex
		State S
	}
	// ReadDone answers a Read. When Confirmed, the outcomes before it hold all
	// that was committed when Read was called.
	ReadDone struct {
		Ticket    ReadTicket
		Confirmed bool
	}
	// LeadershipWon follows on the outcomes of all earlier leaders' entries.
	LeadershipWon struct {
		Term identifier.Term
	}
	// LeadershipLost says that this replica leads no longer.
	LeadershipLost struct {
		Term   identifier.Term
		Reason LossReason
	}
)

func (Committed[C]) isOutcome()     {}
func (MembersCommitted) isOutcome() {}
func (Installed[S]) isOutcome()     {}
func (ReadDone) isOutcome()         {}
func (LeadershipWon) isOutcome()    {}
func (LeadershipLost) isOutcome()   {}

// LossReason says why a leader stepped down.
type LossReason string

// The reasons for stepping down.
const (
	LostToHigherTerm  LossReason = "higher-term"
	LostQuorum        LossReason = "quorum-out-of-touch"
	LostStorage       LossReason = "storage-failed"
	LostByMemberships LossReason = "no-voter"
)

// Invariant names a property that must always hold.
type Invariant string

// The invariants that a Replicator checks.
const (
	OneLeaderInvariant       Invariant = "one-leader-a-term"
	CommittedStaysInvariant  Invariant = "committed-entries-stay"
	AppliedInOrderInvariant  Invariant = "applied-in-order"
	OneMemberChangeInvariant Invariant = "one-voter-changes-at-a-time"
)

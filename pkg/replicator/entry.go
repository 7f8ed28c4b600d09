package replicator

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Content is the content of a log entry: a Proposal or a MembershipChange. It is sealed.
type Content interface{ isContent() }

type (
	// Proposal holds a command.
	Proposal[C any] struct {
		Command C
	}
	// MembershipChange replaces the membership. It takes effect when it is appended.
	MembershipChange struct {
		Members Membership `msgpack:"m"`
	}
)

func (Proposal[C]) isContent()      {}
func (MembershipChange) isContent() {}

// Entry is an entry of the log.
type Entry struct {
	Index   identifier.LogIndex
	Term    identifier.Term
	Content Content
}

// Snapshot is the state after applying all entries up to Index.
type Snapshot[S any] struct {
	Index   identifier.LogIndex `msgpack:"i"`
	Term    identifier.Term     `msgpack:"t"`
	Members Membership          `msgpack:"m"`
	State   S                   `msgpack:"s"`
}

// Record is a record in stable storage. It is sealed. Records are stored in order; where two
// conflict, the later one applies.
type Record interface{ isRecord() }

type (
	// HardState is what a replica must persist besides the log.
	HardState struct {
		// Group is the replica id of the member that bootstrapped the group.
		Group identifier.ReplicaID `msgpack:"g"`
		Term  identifier.Term      `msgpack:"t"`
		// Vote is the replica that this one voted for in the term; 0 is none.
		Vote identifier.ReplicaID `msgpack:"v"`
	}
	// EntriesAppended replaces the log from the index of the first entry.
	EntriesAppended struct {
		Entries []Entry
	}
	// SnapshotSaved replaces all earlier records.
	SnapshotSaved[S any] struct {
		Snapshot Snapshot[S]
		Hard     HardState
		// Tail holds the entries that follow the snapshot.
		Tail []Entry
	}
)

func (HardState) isRecord()        {}
func (EntriesAppended) isRecord()  {}
func (SnapshotSaved[S]) isRecord() {}

// Recovered is the state rebuilt from the stored records.
type Recovered[S any] struct {
	Hard     HardState
	Snapshot *Snapshot[S]
	Entries  []Entry
}

// GapError reports stored entries whose indexes are not contiguous.
type GapError struct {
	After, Found identifier.LogIndex
}

// Error returns a message with both indexes.
func (e *GapError) Error() string {
	return fmt.Sprintf("replicator: stored entry %d does not follow entry %d", e.Found, e.After)
}

// Rebuild replays the records. It returns a *GapError when entries are missing
// between them.
func Rebuild[S any](records []Record) (Recovered[S], error) {
	var r Recovered[S]
	for _, x := range records {
		switch x := x.(type) {
		case HardState:
			r.Hard = x
		case SnapshotSaved[S]:
			r = Recovered[S]{Hard: x.Hard, Snapshot: &x.Snapshot}
			if err := r.append(x.Tail); err != nil {
				return Recovered[S]{}, err
			}
		case EntriesAppended:
			if err := r.append(x.Entries); err != nil {
				return Recovered[S]{}, err
			}
		}
	}
	return r, nil
}

// append replaces the entries from the index of the first one. It skips entries
// that the snapshot covers.
func (r *Recovered[S]) append(entries []Entry) error {
	var base identifier.LogIndex
	if r.Snapshot != nil {
		base = r.Snapshot.Index
	}
	for _, x := range entries {
		if x.Index <= base {
			continue
		}
		offset := int(x.Index - base - 1)
		if offset > len(r.Entries) {
			return &GapError{After: base + identifier.LogIndex(len(r.Entries)), Found: x.Index}
		}
		r.Entries = append(r.Entries[:offset], x)
	}
	return nil
}

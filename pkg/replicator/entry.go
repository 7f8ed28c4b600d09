package replicator

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Content is what an entry of the log holds: a Proposal or a MembershipChange. It is sealed.
type Content interface{ isContent() }

type (
	// Proposal holds a command.
	Proposal[C any] struct {
		Command C
	}
	// MembershipChange replaces the membership, from the moment it is appended.
	MembershipChange struct {
		Members Membership `msgpack:"m"`
	}
)

func (Proposal[C]) isContent()      {}
func (MembershipChange) isContent() {}

// Entry is one place of the log.
type Entry struct {
	Index   identifier.LogIndex
	Term    identifier.Term
	Content Content
}

// Snapshot is the state after all entries up to an index.
type Snapshot[S any] struct {
	Index   identifier.LogIndex `msgpack:"i"`
	Term    identifier.Term     `msgpack:"t"`
	Members Membership          `msgpack:"m"`
	State   S                   `msgpack:"s"`
}

// Record is something to store. It is sealed. Records are stored in order, and
// the later wins.
type Record interface{ isRecord() }

type (
	// HardState is what a replica must not forget besides the log.
	HardState struct {
		// Group is the founder's replica id.
		Group identifier.ReplicaID `msgpack:"g"`
		Term  identifier.Term      `msgpack:"t"`
		// Vote is the replica that got this one's vote in the term.
		Vote identifier.ReplicaID `msgpack:"v"`
	}
	// EntriesAppended replaces the log from the first entry's index on.
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

// Recovered is what the stored records amount to.
type Recovered[S any] struct {
	Hard     HardState
	Snapshot *Snapshot[S]
	Entries  []Entry
}

// GapError reports stored entries that don't follow on each other.
type GapError struct {
	After, Found identifier.LogIndex
}

// Error gives both indexes.
func (e *GapError) Error() string {
	return fmt.Sprintf("replicator: entry %d is stored after entry %d", e.Found, e.After)
}

// Rebuild returns what the records amount to. It returns a *GapError when
// entries are missing between them.
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

// append replaces the entries from the first one's index on; those that the
// snapshot covers are left out.
func (r *Recovered[S]) append(entries []Entry) error {
	var base identifier.LogIndex
	if r.Snapshot != nil {
		base = r.Snapshot.Index
	}
	for _, x := range entries {
		if x.Index <= base {
			continue
		}
		place := int(x.Index - base - 1)
		if place > len(r.Entries) {
			return &GapError{After: base + identifier.LogIndex(len(r.Entries)), Found: x.Index}
		}
		r.Entries = append(r.Entries[:place], x)
	}
	return nil
}

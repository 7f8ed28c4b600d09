package registrar

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Memory is the first result of a change id.
type Memory struct {
	Change      identifier.ChangeID    `msgpack:"c"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	Result      Result                 `msgpack:"r"`
}

// Snapshot is the whole state of a Registry.
type Snapshot struct {
	Contents Contents `msgpack:"c"`
	// History holds the kept revisions of all objects, in order of name, then of version.
	History []Revision `msgpack:"h"`
	// Remembered holds the first results of change ids, the oldest first.
	Remembered []Memory `msgpack:"m"`
}

// Snapshot returns the state of the registry; equal registries give equal snapshots.
func (r *Registry) Snapshot() Snapshot {
	s := Snapshot{Contents: r.catalog.Contents()}
	names := make([]Name, 0, len(r.history))
	for n := range r.history {
		names = append(names, n)
	}
	slices.SortFunc(names, compareNames)
	for _, n := range names {
		s.History = append(s.History, r.history[n]...)
	}
	for _, id := range r.order {
		s.Remembered = append(s.Remembered, r.remembered[id])
	}
	return s
}

// Restore returns the registry of a snapshot. It has no recent revisions, so
// hosts that lag behind it receive whole contents at first.
func Restore(s Snapshot) *Registry {
	r := New()
	r.catalog.Load(s.Contents)
	for _, v := range s.History {
		n := v.Edit.Target()
		r.history[n] = append(r.history[n], v)
	}
	for _, m := range s.Remembered {
		r.remember(m)
	}
	return r
}

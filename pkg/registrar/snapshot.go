package registrar

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// RememberedChange holds the fingerprint and the original result of a change id.
type RememberedChange struct {
	Change      identifier.ChangeID    `msgpack:"c"`
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	Result      Result                 `msgpack:"r"`
}

// Snapshot is the state of a Registry, except for the recent revisions.
type Snapshot struct {
	Contents Contents `msgpack:"c"`
	// History holds the kept revisions of all objects, sorted by name and version.
	History []Revision `msgpack:"h"`
	// Remembered holds the original results of change ids, oldest first.
	Remembered []RememberedChange `msgpack:"m"`
}

// Snapshot returns the state of the registry. The result is deterministic: equal
// registries return equal snapshots.
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
	for _, id := range r.rememberedOrder {
		s.Remembered = append(s.Remembered, r.remembered[id])
	}
	return s
}

// Restore returns a registry with the state of the snapshot. It has no recent
// revisions, so hosts with an older version first receive the complete contents.
func Restore(s Snapshot) *Registry {
	r := New()
	r.catalog.Load(s.Contents)
	for _, v := range s.History {
		n := v.Edit.Target()
		r.history[n] = append(r.history[n], v)
	}
	for _, m := range s.Remembered {
		r.rememberResult(m)
	}
	return r
}

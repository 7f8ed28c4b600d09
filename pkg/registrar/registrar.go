// Package registrar keeps the templates and customers of a deployment as a
// replicated state machine: the same changes, applied in the same order, give
// the same Registry on every control host.
//
// A Change names the version of the object that it replaces, so that of two
// operators racing with equal versions exactly one wins; the other gets a
// Conflict that shows what won. A change id that is sent again gets its first
// result. Registry.Apply raises the global version by one per accepted change.
//
// Change ids are remembered for the last RememberedChanges results. Forgetting an
// older one is safe: an accepted change has raised its object's version, a deleted
// object keeps the version of its deletion, and versions are never used twice, so
// a change that was accepted once can only conflict when it is sent again.
//
// A Catalog is the part that every entry host holds: the current objects and the
// policies that follow from them, without history and change ids.
//
// # Usage
//
//	r := registrar.New()
//	result := r.Apply(registrar.Change{
//		ID: "c-1", Replaces: 0, Edit: registrar.TemplatePut{Template: template},
//	})
//	switch result := result.(type) {
//	case registrar.Accepted:
//		...
//	case registrar.Conflict:
//		...
//	}
package registrar

import (
	"errors"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// RememberedChanges is how many results are kept for change ids that are sent again.
	RememberedChanges = 1024
	// KeptRevisions is how many revisions the history of one object holds.
	KeptRevisions = 32
	// RecentRevisions is how many of the last revisions can be sent one by one.
	RecentRevisions = 256
)

// Registry holds all objects with their history. It is not safe for concurrent use.
type Registry struct {
	catalog    *Catalog
	history    map[Name][]Revision
	remembered map[identifier.ChangeID]Memory
	order      []identifier.ChangeID
	recent     []Revision
}

// New returns a Registry at version 0, without objects.
func New() *Registry {
	return &Registry{
		catalog:    NewCatalog(),
		history:    map[Name][]Revision{},
		remembered: map[identifier.ChangeID]Memory{},
	}
}

// Catalog returns the current objects; the caller must not change it.
func (r *Registry) Catalog() *Catalog {
	return r.catalog
}

// Apply carries out a change, or returns the first result of one sent again.
func (r *Registry) Apply(c Change) Result {
	if m, ok := r.remembered[c.ID]; ok {
		if m.Fingerprint != c.Fingerprint {
			return Reused{Change: c.ID}
		}
		return m.Result
	}
	result := r.decide(c)
	r.remember(Memory{Change: c.ID, Fingerprint: c.Fingerprint, Result: result})
	return result
}

func (r *Registry) decide(c Change) Result {
	target := c.Edit.Target()
	current, _ := r.catalog.Object(target)
	if current.Version != c.Replaces {
		return Conflict{Target: target, Current: current}
	}
	revision := Revision{Version: r.catalog.version + 1, Change: c.ID, At: c.At, Edit: c.Edit}
	if err := r.catalog.Apply(revision); err != nil {
		return invalidOf(target, err)
	}
	r.record(revision)
	return Accepted{Target: target, Version: revision.Version}
}

func invalidOf(target Name, err error) Invalid {
	var field *configurer.InvalidFieldError
	if errors.As(err, &field) {
		return Invalid{Target: target, Object: field.Object, Field: field.Field, Reason: field.Reason}
	}
	return Invalid{Target: target, Object: target.String(), Field: string(target.Kind), Reason: err.Error()}
}

// record adds a revision to the history of its object and to the recent ones.
func (r *Registry) record(v Revision) {
	target := v.Edit.Target()
	r.history[target] = keepLast(append(r.history[target], v), KeptRevisions)
	r.recent = keepLast(append(r.recent, v), RecentRevisions)
}

// keepLast returns the last so many elements, in memory of their own when some are dropped.
func keepLast[T any](list []T, count int) []T {
	if len(list) <= count {
		return list
	}
	return slices.Clone(list[len(list)-count:])
}

func (r *Registry) remember(m Memory) {
	r.remembered[m.Change] = m
	r.order = append(r.order, m.Change)
	if len(r.order) > RememberedChanges {
		delete(r.remembered, r.order[0])
		r.order = slices.Clone(r.order[1:])
	}
}

// Import fills an empty registry with the first templates and customers. It
// reports false and changes nothing when the registry has objects already, and
// returns why customers were left out.
func (r *Registry) Import(at identifier.Instant, i Import) (bool, []error) {
	if r.catalog.version > 0 {
		return false, nil
	}
	faults := r.catalog.Import(at, i)
	for _, v := range r.catalog.Contents().Revisions {
		r.record(v)
	}
	r.recent = nil
	return true, faults
}

// History returns the kept revisions of an object, the oldest first.
func (r *Registry) History(n Name) []Revision {
	return slices.Clone(r.history[n])
}

// Since returns the revisions after the version, in order. It reports false when
// they are no longer all kept; Catalog.Contents then replaces them.
func (r *Registry) Since(version identifier.Version) ([]Revision, bool) {
	if version >= r.catalog.version {
		return nil, true
	}
	first := slices.IndexFunc(r.recent, func(v Revision) bool { return v.Version == version+1 })
	if first < 0 {
		return nil, false
	}
	return slices.Clone(r.recent[first:]), true
}

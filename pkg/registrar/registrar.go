// Package registrar keeps the templates and customers of a deployment as a
// replicated state machine: the same changes, applied in the same order, give
// the same Registry on every control host.
//
// Concurrency control is optimistic: a Change carries the version of the object that
// it replaces. If several operators replace the same version, exactly one change is
// accepted and the others get a Conflict with the object's current revision. A change
// that is resent with the same id gets its original result. Registry.Apply increments
// the global version for each accepted change.
//
// The results of the last MaxRememberedChanges change ids are kept. Discarding older
// ones is safe: an accepted change has increased its object's version, a deleted object
// keeps the version of its deletion, and versions are never reused, so an accepted
// change that is sent again can only conflict.
//
// A Catalog is the part that every entry host holds: the current objects and the
// policies resolved from them, without the history and the change ids.
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
	// MaxRememberedChanges is the number of change ids whose results are kept for resent changes.
	MaxRememberedChanges = 1024
	// MaxHistoryRevisions is the number of revisions kept in the history of one object.
	MaxHistoryRevisions = 32
	// MaxRecentRevisions is the number of latest revisions kept for Since.
	MaxRecentRevisions = 256
)

// Registry holds all objects, their history and the results of recent changes. It is
// not safe for concurrent use.
type Registry struct {
	catalog         *Catalog
	history         map[Name][]Revision
	remembered      map[identifier.ChangeID]RememberedChange
	rememberedOrder []identifier.ChangeID
	recent          []Revision
}

// New returns an empty Registry at version 0.
func New() *Registry {
	return &Registry{
		catalog:    NewCatalog(),
		history:    map[Name][]Revision{},
		remembered: map[identifier.ChangeID]RememberedChange{},
	}
}

// Catalog returns the catalog of the current objects. The caller must not modify it.
func (r *Registry) Catalog() *Catalog {
	return r.catalog
}

// Apply applies a change. For a resent change it returns the original result, and for a
// different change with the same id Reused.
func (r *Registry) Apply(c Change) Result {
	if m, ok := r.remembered[c.ID]; ok {
		if m.Fingerprint != c.Fingerprint {
			return Reused{Change: c.ID}
		}
		return m.Result
	}
	result := r.applyNew(c)
	r.rememberResult(RememberedChange{Change: c.ID, Fingerprint: c.Fingerprint, Result: result})
	return result
}

func (r *Registry) applyNew(c Change) Result {
	target := c.Edit.Target()
	current, _ := r.catalog.Object(target)
	if current.Version != c.Replaces {
		return Conflict{Target: target, Current: current}
	}
	revision := Revision{Version: r.catalog.version + 1, Change: c.ID, At: c.At, Edit: c.Edit}
	if err := r.catalog.Apply(revision); err != nil {
		return invalidResult(target, err)
	}
	r.recordRevision(revision)
	return Accepted{Target: target, Version: revision.Version}
}

func invalidResult(target Name, err error) Invalid {
	var field *configurer.InvalidFieldError
	if errors.As(err, &field) {
		return Invalid{Target: target, Object: field.Object, Field: field.Field, Reason: field.Reason}
	}
	return Invalid{Target: target, Object: target.String(), Field: string(target.Kind), Reason: err.Error()}
}

// recordRevision adds a revision to the history of its object and to the recent revisions.
func (r *Registry) recordRevision(v Revision) {
	target := v.Edit.Target()
	r.history[target] = keepLast(append(r.history[target], v), MaxHistoryRevisions)
	r.recent = keepLast(append(r.recent, v), MaxRecentRevisions)
}

// keepLast returns the last count elements. If it drops any, it copies the rest so that
// the dropped elements can be garbage collected.
func keepLast[T any](list []T, count int) []T {
	if len(list) <= count {
		return list
	}
	return slices.Clone(list[len(list)-count:])
}

func (r *Registry) rememberResult(m RememberedChange) {
	r.remembered[m.Change] = m
	r.rememberedOrder = append(r.rememberedOrder, m.Change)
	if len(r.rememberedOrder) > MaxRememberedChanges {
		delete(r.remembered, r.rememberedOrder[0])
		r.rememberedOrder = slices.Clone(r.rememberedOrder[1:])
	}
}

// Import loads the initial templates and customers into an empty registry. It omits
// invalid customers and returns an error for each of them. If the registry already has
// a version, Import returns false and changes nothing.
func (r *Registry) Import(at identifier.Instant, i Import) (bool, []error) {
	if r.catalog.version > 0 {
		return false, nil
	}
	errs := r.catalog.Import(at, i)
	for _, v := range r.catalog.Contents().Revisions {
		r.recordRevision(v)
	}
	r.recent = nil
	return true, errs
}

// History returns the kept revisions of an object, oldest first.
func (r *Registry) History(n Name) []Revision {
	return slices.Clone(r.history[n])
}

// Since returns the revisions after the given version, oldest first. It returns false
// if some of them are no longer kept; use Catalog.Contents instead.
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

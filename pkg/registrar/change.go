package registrar

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	TemplateKind Kind = "template"
	CustomerKind Kind = "customer"
)

// ObjectID is the id of a template or customer.
type ObjectID string

// Name identifies an object by kind and id.
type Name struct {
	Kind Kind     `msgpack:"k"`
	ID   ObjectID `msgpack:"i"`
}

// String returns the kind and the id, for example "customer desk".
func (n Name) String() string {
	return fmt.Sprintf("%s %s", n.Kind, n.ID)
}

// Edit is a modification of one object. The interface is sealed: only this package
// implements it.
type Edit interface {
	// Target returns the name of the object that the edit modifies.
	Target() Name
	isEdit()
}

// The implementations of Edit.
type (
	// TemplatePut creates or replaces a template.
	TemplatePut struct {
		Template configurer.Template `msgpack:"t"`
	}
	// CustomerPut creates or replaces a customer.
	CustomerPut struct {
		Customer configurer.Customer `msgpack:"c"`
	}
	// TemplateDeleted deletes a template, which must not be used by any customer.
	TemplateDeleted struct {
		Template identifier.TemplateID `msgpack:"t"`
	}
	// CustomerDeleted deletes a customer.
	CustomerDeleted struct {
		Customer identifier.CustomerID `msgpack:"c"`
	}
)

func (TemplatePut) isEdit()     {}
func (CustomerPut) isEdit()     {}
func (TemplateDeleted) isEdit() {}
func (CustomerDeleted) isEdit() {}

// Target returns the name of the template.
func (e TemplatePut) Target() Name { return templateName(e.Template.ID) }

// Target returns the name of the customer.
func (e CustomerPut) Target() Name { return customerName(e.Customer.ID) }

// Target returns the name of the template.
func (e TemplateDeleted) Target() Name { return templateName(e.Template) }

// Target returns the name of the customer.
func (e CustomerDeleted) Target() Name { return customerName(e.Customer) }

func templateName(id identifier.TemplateID) Name {
	return Name{Kind: TemplateKind, ID: ObjectID(id)}
}

func customerName(id identifier.CustomerID) Name {
	return Name{Kind: CustomerKind, ID: ObjectID(id)}
}

// Change is an operator's edit of one object.
type Change struct {
	// ID makes the change idempotent: an operator resends a change with the same ID.
	ID identifier.ChangeID `msgpack:"i"`
	// Fingerprint detects a different change that reuses the id by mistake.
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// Replaces is the version of the object that the change replaces, or 0 if the
	// object has never existed.
	Replaces identifier.Version `msgpack:"r"`
	// At is the time at which the leader proposed the change.
	At   identifier.Instant `msgpack:"a"`
	Edit Edit               `msgpack:"e"`
}

// Revision is an accepted edit. Its version becomes the version of the object and
// of the whole configuration.
type Revision struct {
	Version identifier.Version  `msgpack:"v"`
	Change  identifier.ChangeID `msgpack:"c"`
	At      identifier.Instant  `msgpack:"a"`
	Edit    Edit                `msgpack:"e"`
}

// Result is the outcome of a change. The interface is sealed: only this package
// implements it.
type Result interface{ isResult() }

// The implementations of Result.
type (
	// Accepted means that the change is committed and created the given version.
	Accepted struct {
		Target  Name               `msgpack:"t"`
		Version identifier.Version `msgpack:"v"`
	}
	// Conflict means that the object's current version is not the one that the change replaces.
	Conflict struct {
		Target Name `msgpack:"t"`
		// Current is the object's current revision. Its version is 0 if the object has never existed.
		Current Revision `msgpack:"c"`
	}
	// Invalid means that the change would make an object invalid.
	Invalid struct {
		Target Name   `msgpack:"t"`
		Object string `msgpack:"o"`
		Field  string `msgpack:"f"`
		Reason string `msgpack:"r"`
	}
	// Reused means that a different change has already used the id.
	Reused struct {
		Change identifier.ChangeID `msgpack:"c"`
	}
)

func (Accepted) isResult() {}
func (Conflict) isResult() {}
func (Invalid) isResult()  {}
func (Reused) isResult()   {}

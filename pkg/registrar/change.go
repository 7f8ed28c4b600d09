package registrar

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Kind tells templates from customers.
type Kind string

// The kinds of object.
const (
	TemplateKind Kind = "template"
	CustomerKind Kind = "customer"
)

// ObjectID is the id of a template or customer.
type ObjectID string

// Name names one object.
type Name struct {
	Kind Kind     `msgpack:"k"`
	ID   ObjectID `msgpack:"i"`
}

// String returns the name in the form "customer desk".
func (n Name) String() string {
	return fmt.Sprintf("%s %s", n.Kind, n.ID)
}

// Edit is what a change does to an object. It is sealed: the types of this
// package are all there are.
type Edit interface {
	// Target returns the object that the edit is about.
	Target() Name
	isEdit()
}

// Edits of objects.
type (
	// TemplatePut creates or replaces a template.
	TemplatePut struct {
		Template configurer.Template `msgpack:"t"`
	}
	// CustomerPut creates or replaces a customer.
	CustomerPut struct {
		Customer configurer.Customer `msgpack:"c"`
	}
	// TemplateDeleted removes a template that no customer uses.
	TemplateDeleted struct {
		Template identifier.TemplateID `msgpack:"t"`
	}
	// CustomerDeleted removes a customer.
	CustomerDeleted struct {
		Customer identifier.CustomerID `msgpack:"c"`
	}
)

func (TemplatePut) isEdit()     {}
func (CustomerPut) isEdit()     {}
func (TemplateDeleted) isEdit() {}
func (CustomerDeleted) isEdit() {}

// Target returns the template.
func (e TemplatePut) Target() Name { return templateName(e.Template.ID) }

// Target returns the customer.
func (e CustomerPut) Target() Name { return customerName(e.Customer.ID) }

// Target returns the template.
func (e TemplateDeleted) Target() Name { return templateName(e.Template) }

// Target returns the customer.
func (e CustomerDeleted) Target() Name { return customerName(e.Customer) }

func templateName(id identifier.TemplateID) Name {
	return Name{Kind: TemplateKind, ID: ObjectID(id)}
}

func customerName(id identifier.CustomerID) Name {
	return Name{Kind: CustomerKind, ID: ObjectID(id)}
}

// Change is an operator's edit of one object.
type Change struct {
	// ID makes the change idempotent.
	ID identifier.ChangeID `msgpack:"i"`
	// Fingerprint tells another change that uses the same id by mistake.
	Fingerprint identifier.Fingerprint `msgpack:"f"`
	// Replaces is the object's version that the change replaces; 0 when there never was one.
	Replaces identifier.Version `msgpack:"r"`
	// At is when the leader proposed the change.
	At   identifier.Instant `msgpack:"a"`
	Edit Edit               `msgpack:"e"`
}

// Revision is an accepted edit. Its version is that of the object and that of
// the whole configuration.
type Revision struct {
	Version identifier.Version  `msgpack:"v"`
	Change  identifier.ChangeID `msgpack:"c"`
	At      identifier.Instant  `msgpack:"a"`
	Edit    Edit                `msgpack:"e"`
}

// Result is how a change ended. It is sealed: the types of this package are all there are.
type Result interface{ isResult() }

// Results of changes.
type (
	// Accepted says that the change is committed and which version it made.
	Accepted struct {
		Target  Name               `msgpack:"t"`
		Version identifier.Version `msgpack:"v"`
	}
	// Conflict says that the object has another version than the change replaces.
	Conflict struct {
		Target Name `msgpack:"t"`
		// Current is the revision that won; its version is 0 when the object never existed.
		Current Revision `msgpack:"c"`
	}
	// Invalid says that the change would break a rule.
	Invalid struct {
		Target Name   `msgpack:"t"`
		Object string `msgpack:"o"`
		Field  string `msgpack:"f"`
		Reason string `msgpack:"r"`
	}
	// Reused says that another change has the same id.
	Reused struct {
		Change identifier.ChangeID `msgpack:"c"`
	}
)

func (Accepted) isResult() {}
func (Conflict) isResult() {}
func (Invalid) isResult()  {}
func (Reused) isResult()   {}

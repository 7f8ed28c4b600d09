package loader

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// ChangeFile is an operator's change of one template or customer. Exactly one of
// Template, Customer, DeleteTemplate and DeleteCustomer is set.
type ChangeFile struct {
	// ChangeID makes the change idempotent; without one it follows from the file's content.
	ChangeID identifier.ChangeID `yaml:"change-id,omitempty"`
	// Replaces is the object's version that the change replaces; 0 when there never was one.
	Replaces *identifier.Version `yaml:"replaces"`
	// Template creates or replaces a template.
	Template *configurer.Template `yaml:"template,omitempty"`
	// Customer creates or replaces a customer.
	Customer *configurer.Customer `yaml:"customer,omitempty"`
	// DeleteTemplate removes a template that no customer uses.
	DeleteTemplate identifier.TemplateID `yaml:"delete-template,omitempty"`
	// DeleteCustomer removes a customer.
	DeleteCustomer identifier.CustomerID `yaml:"delete-customer,omitempty"`
}

// LoadChange reads and checks a change. It returns a *FaultsError when the file
// can be read but breaks a rule.
func LoadChange(file string) (registrar.Change, error) {
	var f ChangeFile
	d, err := read(file, &f)
	if err != nil {
		return registrar.Change{}, err
	}
	edits := f.edits()
	if len(edits) != 1 {
		d.fault("(file)", "exactly one of template, customer, delete-template and delete-customer must be set")
		return registrar.Change{}, d.err()
	}
	if f.Replaces == nil {
		d.fault("replaces", "must be set: the version of the object that this change replaces, 0 for a new object")
		return registrar.Change{}, d.err()
	}
	edit := edits[0]
	name := edit.Target()
	if name.ID == "" {
		d.fault(fmt.Sprintf("%s.%s", name.Kind, name.Kind), "must be set")
	}
	if put, ok := edit.(registrar.TemplatePut); ok {
		d.checkTemplate(put.Template)
	}
	return registrar.Change{ID: f.id(), Replaces: *f.Replaces, Edit: edit}, d.err()
}

// edits returns the edits that the file asks for.
func (f ChangeFile) edits() []registrar.Edit {
	var edits []registrar.Edit
	if f.Template != nil {
		edits = append(edits, registrar.TemplatePut{Template: *f.Template})
	}
	if f.Customer != nil {
		edits = append(edits, registrar.CustomerPut{Customer: *f.Customer})
	}
	if f.DeleteTemplate != "" {
		edits = append(edits, registrar.TemplateDeleted{Template: f.DeleteTemplate})
	}
	if f.DeleteCustomer != "" {
		edits = append(edits, registrar.CustomerDeleted{Customer: f.DeleteCustomer})
	}
	return edits
}

// id returns the change id, or one that follows from the content, so that the
// same file sent again is the same change.
func (f ChangeFile) id() identifier.ChangeID {
	if f.ChangeID != "" {
		return f.ChangeID
	}
	// What was decoded from YAML can be encoded again.
	data, _ := yaml.Marshal(f)
	return identifier.ChangeID(fmt.Sprintf("content-%016x", xxhash.Sum64(data)))
}

func (d *document) checkTemplate(t configurer.Template) {
	var invalid *configurer.InvalidFieldError
	if err := configurer.CheckTemplate(t); errors.As(err, &invalid) {
		d.fault("template."+invalid.Field, invalid.Reason)
	}
}

// LocateFault returns the fault of a field of a change file that only the
// leader could find.
func LocateFault(file, field, reason string) Fault {
	var f ChangeFile
	d, err := read(file, &f)
	if err != nil {
		return Fault{File: file, Line: 1, Field: field, Reason: reason}
	}
	return Fault{File: file, Line: d.line(field), Field: field, Reason: reason}
}

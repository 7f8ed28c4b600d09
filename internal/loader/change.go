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

// ChangeFile is an operator's change to one template or customer. Exactly one of
// Template, Customer, DeleteTemplate and DeleteCustomer must be set.
type ChangeFile struct {
	// ChangeID makes the change idempotent; by default it is derived from the file's content.
	ChangeID identifier.ChangeID `yaml:"change-id,omitempty"`
	// Replaces is the version of the object that the change replaces; 0 for an object that
	// has never existed.
	Replaces *identifier.Version `yaml:"replaces"`
	// Template creates or replaces a template.
	Template *configurer.Template `yaml:"template,omitempty"`
	// Customer creates or replaces a customer.
	Customer *configurer.Customer `yaml:"customer,omitempty"`
	// DeleteTemplate deletes a template that no customer uses.
	DeleteTemplate identifier.TemplateID `yaml:"delete-template,omitempty"`
	// DeleteCustomer deletes a customer.
	DeleteCustomer identifier.CustomerID `yaml:"delete-customer,omitempty"`
}

// LoadChange reads and validates a change. It returns a *FaultsError if the file can be
// read but is invalid.
func LoadChange(file string) (registrar.Change, error) {
	var f ChangeFile
	d, err := read(file, &f)
	if err != nil {
		return registrar.Change{}, err
	}
	edits := f.edits()
	if len(edits) != 1 {
		d.addFault("(file)", "exactly one of template, customer, delete-template and delete-customer must be set")
		return registrar.Change{}, d.err()
	}
	if f.Replaces == nil {
		d.addFault("replaces", "must be set: the version of the object that this change replaces, 0 for a new object")
		return registrar.Change{}, d.err()
	}
	edit := edits[0]
	name := edit.Target()
	if name.ID == "" {
		d.addFault(fmt.Sprintf("%s.%s", name.Kind, name.Kind), "must be set")
	}
	if put, ok := edit.(registrar.TemplatePut); ok {
		d.checkTemplate(put.Template)
	}
	return registrar.Change{ID: f.id(), Replaces: *f.Replaces, Edit: edit}, d.err()
}

// edits returns the edits that are set in the file.
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

// id returns the change ID. By default it is a hash of the content, so that sending the
// same file again repeats the same change.
func (f ChangeFile) id() identifier.ChangeID {
	if f.ChangeID != "" {
		return f.ChangeID
	}
	// Encoding can't fail, since the value was decoded from YAML.
	data, _ := yaml.Marshal(f)
	return identifier.ChangeID(fmt.Sprintf("content-%016x", xxhash.Sum64(data)))
}

func (d *document) checkTemplate(t configurer.Template) {
	var invalid *configurer.InvalidFieldError
	if err := configurer.CheckTemplate(t); errors.As(err, &invalid) {
		d.addFault("template."+invalid.Field, invalid.Reason)
	}
}

// LocateFault returns the fault for a field of a change file that the leader rejected,
// with the line of the field.
func LocateFault(file, field, reason string) Fault {
	var f ChangeFile
	d, err := read(file, &f)
	if err != nil {
		return Fault{File: file, Line: 1, Field: field, Reason: reason}
	}
	return Fault{File: file, Line: d.lineOf(field), Field: field, Reason: reason}
}

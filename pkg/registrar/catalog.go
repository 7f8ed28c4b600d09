package registrar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Catalog holds the current objects and the resolved policy of each customer. It is
// not safe for concurrent use.
type Catalog struct {
	version identifier.Version
	// objects holds the latest revision of each object, including deletions.
	objects  map[Name]Revision
	policies map[identifier.CustomerID]*configurer.Policy
}

// Import is the initial set of templates and customers.
type Import struct {
	// Version is assigned to the configuration and to every object.
	Version   identifier.Version    `msgpack:"v"`
	Templates []configurer.Template `msgpack:"t"`
	Customers []configurer.Customer `msgpack:"c"`
}

// Contents is a complete copy of a Catalog that is sent to another host.
type Contents struct {
	Version identifier.Version `msgpack:"v"`
	// Revisions holds the latest revision of each object, sorted by name.
	Revisions []Revision `msgpack:"r"`
}

// NewCatalog returns an empty Catalog at version 0.
func NewCatalog() *Catalog {
	return &Catalog{
		objects:  map[Name]Revision{},
		policies: map[identifier.CustomerID]*configurer.Policy{},
	}
}

// Version returns the version of the configuration.
func (c *Catalog) Version() identifier.Version {
	return c.version
}

// Policies returns the policies of all customers. The map is never modified:
// later revisions build a new one.
func (c *Catalog) Policies() map[identifier.CustomerID]*configurer.Policy {
	return c.policies
}

// Object returns the latest revision of an object, which may be its deletion. It
// returns false if the object has never existed.
func (c *Catalog) Object(n Name) (Revision, bool) {
	v, ok := c.objects[n]
	return v, ok
}

// RevisionOrderError is returned for a revision whose version is not the one after
// the catalog's current version.
type RevisionOrderError struct {
	Version identifier.Version
	Current identifier.Version
}

// Error returns a message with both versions.
func (e *RevisionOrderError) Error() string {
	return fmt.Sprintf("revision %d does not follow version %d", e.Version, e.Current)
}

// Apply applies the next revision. If the revision is out of order or invalid, it
// returns an error and leaves the catalog unchanged.
func (c *Catalog) Apply(r Revision) error {
	if r.Version != c.version+1 {
		return &RevisionOrderError{Version: r.Version, Current: c.version}
	}
	policies, err := c.policiesAfter(r.Edit)
	if err != nil {
		return err
	}
	c.version = r.Version
	c.objects[r.Edit.Target()] = r
	c.policies = policies
	return nil
}

// policiesAfter returns the policies that result from an edit. It returns an error
// if the edit is invalid.
func (c *Catalog) policiesAfter(e Edit) (map[identifier.CustomerID]*configurer.Policy, error) {
	if e.Target().ID == "" {
		return nil, &configurer.InvalidFieldError{Object: string(e.Target().Kind), Field: string(e.Target().Kind), Reason: "must not be empty"}
	}
	switch e := e.(type) {
	case TemplatePut:
		return c.putTemplate(e.Template)
	case CustomerPut:
		return c.putCustomer(e.Customer)
	case TemplateDeleted:
		return c.deleteTemplate(e.Template)
	case CustomerDeleted:
		return c.deleteCustomer(e.Customer)
	}
	panic(fmt.Sprintf("registrar: unknown edit %T", e))
}

// putTemplate resolves all customers of the template again. It rejects the edit if
// any of them becomes invalid.
func (c *Catalog) putTemplate(t configurer.Template) (map[identifier.CustomerID]*configurer.Policy, error) {
	if err := configurer.CheckTemplate(t); err != nil {
		return nil, err
	}
	policies := maps.Clone(c.policies)
	for _, customer := range c.customersOf(t.ID) {
		policy, err := configurer.Resolve(t, customer)
		if err != nil {
			return nil, err
		}
		policies[customer.ID] = policy
	}
	return policies, nil
}

func (c *Catalog) putCustomer(customer configurer.Customer) (map[identifier.CustomerID]*configurer.Policy, error) {
	policy, err := c.resolve(customer)
	if err != nil {
		return nil, err
	}
	policies := maps.Clone(c.policies)
	policies[customer.ID] = policy
	return policies, nil
}

// resolve merges a customer with its current template.
func (c *Catalog) resolve(customer configurer.Customer) (*configurer.Policy, error) {
	object, _ := c.Object(templateName(customer.Template))
	put, ok := object.Edit.(TemplatePut)
	if !ok {
		return nil, &configurer.InvalidFieldError{
			Object: customerName(customer.ID).String(), Field: "template", Reason: fmt.Sprintf("template %q does not exist", customer.Template),
		}
	}
	return configurer.Resolve(put.Template, customer)
}

func (c *Catalog) deleteTemplate(id identifier.TemplateID) (map[identifier.CustomerID]*configurer.Policy, error) {
	if err := c.checkExists(templateName(id)); err != nil {
		return nil, err
	}
	if users := c.customersOf(id); len(users) > 0 {
		return nil, &configurer.InvalidFieldError{
			Object: templateName(id).String(), Field: "template", Reason: fmt.Sprintf("customer %s uses it", users[0].ID),
		}
	}
	return c.policies, nil
}

func (c *Catalog) deleteCustomer(id identifier.CustomerID) (map[identifier.CustomerID]*configurer.Policy, error) {
	if err := c.checkExists(customerName(id)); err != nil {
		return nil, err
	}
	policies := maps.Clone(c.policies)
	delete(policies, id)
	return policies, nil
}

func (c *Catalog) checkExists(n Name) error {
	object, _ := c.Object(n)
	switch object.Edit.(type) {
	case TemplatePut, CustomerPut:
		return nil
	}
	return &configurer.InvalidFieldError{Object: n.String(), Field: string(n.Kind), Reason: "does not exist"}
}

// customersOf returns the customers of a template, sorted by id.
func (c *Catalog) customersOf(id identifier.TemplateID) []configurer.Customer {
	var customers []configurer.Customer
	for _, r := range c.objects {
		if put, ok := r.Edit.(CustomerPut); ok && put.Customer.Template == id {
			customers = append(customers, put.Customer)
		}
	}
	slices.SortFunc(customers, func(a, b configurer.Customer) int { return cmp.Compare(a.ID, b.ID) })
	return customers
}

// Import replaces all objects. It omits invalid customers and returns an error for
// each of them.
func (c *Catalog) Import(at identifier.Instant, i Import) []error {
	contents := Contents{Version: i.Version}
	for _, t := range i.Templates {
		contents.Revisions = append(contents.Revisions, Revision{Version: i.Version, At: at, Edit: TemplatePut{Template: t}})
	}
	for _, customer := range i.Customers {
		contents.Revisions = append(contents.Revisions, Revision{Version: i.Version, At: at, Edit: CustomerPut{Customer: customer}})
	}
	return c.Load(contents)
}

// Export returns the current templates and customers as an Import with the catalog's version.
func (c *Catalog) Export() Import {
	i := Import{Version: c.version}
	for _, r := range c.Contents().Revisions {
		switch e := r.Edit.(type) {
		case TemplatePut:
			i.Templates = append(i.Templates, e.Template)
		case CustomerPut:
			i.Customers = append(i.Customers, e.Customer)
		}
	}
	return i
}

// Load replaces all objects with those of another Catalog. It omits invalid customers
// and returns an error for each of them.
func (c *Catalog) Load(contents Contents) []error {
	objects := map[Name]Revision{}
	for _, r := range contents.Revisions {
		objects[r.Edit.Target()] = r
	}
	var errs []error
	loaded := &Catalog{version: contents.Version, objects: objects, policies: map[identifier.CustomerID]*configurer.Policy{}}
	for _, r := range contents.Revisions {
		put, ok := r.Edit.(CustomerPut)
		if !ok {
			continue
		}
		policy, err := loaded.resolve(put.Customer)
		if err != nil {
			errs = append(errs, err)
			delete(objects, r.Edit.Target())
			continue
		}
		loaded.policies[put.Customer.ID] = policy
	}
	*c = *loaded
	return errs
}

// Contents returns a complete copy of the catalog to send to another host.
func (c *Catalog) Contents() Contents {
	contents := Contents{Version: c.version}
	for _, r := range c.objects {
		contents.Revisions = append(contents.Revisions, r)
	}
	slices.SortFunc(contents.Revisions, func(a, b Revision) int {
		return compareNames(a.Edit.Target(), b.Edit.Target())
	})
	return contents
}

func compareNames(a, b Name) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

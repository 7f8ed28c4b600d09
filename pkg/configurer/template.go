package configurer

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// CheckTemplate checks the values of a template by themselves. It returns an
// *InvalidFieldError for the first that breaks a rule. Ranks that a template
// leaves out may be set by its customers.
func CheckTemplate(t Template) error {
	object := fmt.Sprintf("template %s", t.ID)
	p := &Policy{Works: map[identifier.WorkKind]identifier.Rank{}}
	if err := p.addWorks(object, t.Works); err != nil {
		return err
	}
	if err := p.addRanks(object, t.Ranks); err != nil {
		return err
	}
	if !share(t.Budgets.Hedge) || !share(t.Budgets.Retry) {
		return &InvalidFieldError{object, "budgets", "a budget must lie from 0 to 1"}
	}
	return nil
}

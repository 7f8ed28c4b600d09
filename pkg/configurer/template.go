package configurer

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// CheckTemplate validates a template independently of its customers. It returns an
// *InvalidFieldError for the first invalid value. A template may omit ranks, since
// its customers can set them.
func CheckTemplate(t Template) error {
	object := fmt.Sprintf("template %s", t.ID)
	p := &Policy{Works: map[identifier.WorkKind]identifier.Rank{}}
	if err := p.addWorks(object, t.Works); err != nil {
		return err
	}
	if err := p.addRanks(object, t.Ranks); err != nil {
		return err
	}
	if !isRatio(t.Budgets.Hedge) || !isRatio(t.Budgets.Retry) {
		return &InvalidFieldError{object, "budgets", "a budget must lie from 0 to 1"}
	}
	return nil
}

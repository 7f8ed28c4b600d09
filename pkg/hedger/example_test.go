package hedger_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	h := hedger.New()
	for range 100 {
		h.Earn(0.05)
		h.Observe(identifier.Urgent, 6*identifier.Millisecond)
	}
	_, ok := h.Delay(identifier.Urgent, 0.05)
	_, without := h.Delay(identifier.Urgent, 0)
	fmt.Println(ok, without, h.Spend(identifier.Urgent), h.WithinBudget())
	// Output: true false true true
}

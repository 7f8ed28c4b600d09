package throttler_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/throttler"
)

func Example() {
	t := throttler.New(10, 0)
	for range 3 {
		t.Earn(0.5)
	}
	fmt.Println(t.Spend(), t.Spend(), t.WithinBudget())
	// Output: true false true
}

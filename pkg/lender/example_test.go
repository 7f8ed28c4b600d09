package lender_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/lender"
)

func Example() {
	l := lender.New(10 * identifier.Second)
	l.RecordLoans(0, "desk-1", 3)
	l.RecordLoans(0, "desk-2", 1)
	fmt.Println(l.Exhausted(identifier.Instant(identifier.Second), 3))
	fmt.Println(l.Exhausted(identifier.Instant(12*identifier.Second), 3))
	// Output:
	// [desk-1]
	// []
}

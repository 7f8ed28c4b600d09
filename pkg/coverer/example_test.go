package coverer_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/coverer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	c := coverer.New([]identifier.HashRange{{From: 0, To: 10}, {From: 10, To: 40}})
	fmt.Println(c.Cover(1), c.Cover(1))
	fmt.Println(c.Ratio(), c.Complete())
	// Output:
	// true false
	// 0.75 false
}

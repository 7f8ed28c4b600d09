package quarantiner_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
)

func Example() {
	q := quarantiner.New()
	fmt.Println(q.Status(0, 7) == quarantiner.Clear)
	q.RecordLostCall(0, 7, "desk-1")
	fmt.Println(q.Status(0, 7) == quarantiner.Suspected)
	q.Clear(0, 7)
	fmt.Println(q.Status(0, 7) == quarantiner.Clear)
	// Output:
	// true
	// true
	// true
}

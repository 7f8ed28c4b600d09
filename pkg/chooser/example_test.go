package chooser_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	c := chooser.New()
	first := func(int) int { return 0 }
	c.RecordStart("s-1", identifier.Urgent)
	fmt.Println(c.Choose(0, []chooser.Candidate{{Server: "s-1"}, {Server: "s-2"}}, first))
	fmt.Println(c.Choose(0, nil, first))
	// Output:
	// s-2 true
	//  false
}

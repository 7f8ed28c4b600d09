package reducer_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

func ExampleState_Reduce() {
	s := reducer.New(reducer.Parameters{Host: "h-1", Domain: "fd-1"})
	for _, effect := range s.Reduce(0, reducer.QueryArrived{Request: "r-1", Customer: "desk"}) {
		switch e := effect.(type) {
		case reducer.Reply:
			fmt.Printf("%s: %T\n", e.Request, e.Outcome)
		}
	}
	// Output: r-1: reducer.Failed
}

package estimator_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	e := estimator.Estimate{
		Backlog: [identifier.RankCount]uint32{2, 0, 0},
		Step:    [identifier.RankCount]identifier.Micros{3000, 3000, 3000},
	}
	fmt.Println(e.Wait(identifier.Urgent, 1).Duration())
	// Output: 9ms
}

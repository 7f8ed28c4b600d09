package admitter_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/admitter"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	a := admitter.New(512)
	a.UpdateEstimate(0, "s-1", estimator.Estimate{
		Backlog: [identifier.RankCount]uint32{100, 0, 0},
		Step:    [identifier.RankCount]identifier.Micros{2000, 2000, 2000},
		Service: 6000,
	})
	fmt.Println(a.Wait(0, "s-1", identifier.Urgent).Duration())
	fmt.Println(admitter.RefusalProbability(0), admitter.RefusalProbability(1))
	// Output:
	// 200ms
	// 0 1
}

package assessor_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/assessor"
)

func Example() {
	a := assessor.New()
	for _, t := range []assessor.Tally{{Answers: 6, Poor: 1}, {Answers: 6, Poor: 5}, {Answers: 1, Poor: 1}, {Answers: 3}} {
		fmt.Println(a.Add(0, "s-1", t))
	}
	// Output:
	// false false
	// true true
	// true false
	// false true
}

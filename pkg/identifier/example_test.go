package identifier_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	deadline := identifier.Instant(0).Add(50 * identifier.Millisecond)
	attempt, err := identifier.ParseAttempt("r-1/3")
	fmt.Println(deadline, attempt.Sequence, err)
	_, err = identifier.ParseRank("soon")
	fmt.Println(err)
	// Output:
	// 50000 3 <nil>
	// rank "soon" is none of urgent, standard, deferrable
}

package limiter_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/limiter"
)

func Example() {
	l := limiter.New()
	fmt.Println(l.Limit(0, 3))
	l.Restrict(identifier.Instant(identifier.Second))
	fmt.Println(l.Limit(0, 3))
	// Output:
	// 3
	// 1
}

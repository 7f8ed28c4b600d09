package ramper_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/ramper"
)

func Example() {
	r := ramper.New()
	fmt.Println(r.Share())
	fmt.Println(r.Add(4, 0))
	fmt.Println(r.Add(1, 1))
	// Output:
	// 0.125
	// 0.25
	// 0.125
}

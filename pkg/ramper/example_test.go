package ramper_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/ramper"
)

func Example() {
	r := ramper.New()
	fmt.Println(r.Start("s-1"))
	fmt.Println(r.Add("s-1", 4, 0))
	fmt.Println(r.Add("s-1", 1, 1))
	fmt.Println(r.Add("s-2", 1, 1))
	// Output:
	// 0.125
	// 0.25 true
	// 0.125 true
	// 1 false
}

package router_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/router"
)

func ExampleOwner() {
	hosts := []router.Host{{ID: "h-1", Domain: "fd-1"}, {ID: "h-2", Domain: "fd-2"}}
	fmt.Println(router.Owner("s-1", "fd-2", hosts))
	fmt.Println(router.Owner("s-1", "fd-2", hosts[:1]))
	fmt.Println(router.Owner("s-1", "fd-2", nil))
	// Output:
	// h-2 true
	// h-1 true
	//  false
}

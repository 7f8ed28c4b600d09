package declarer_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
)

func Example() {
	d := declarer.Declaration{
		Version:  2,
		Routes:   []declarer.Route{{ID: "archive", Timeout: 1, Targets: []declarer.Target{{Service: "one", Weight: 1}}}},
		Services: []declarer.Service{{ID: "one"}},
	}
	fmt.Println(d.Check())
	d.Routes[0].Timeout = 0
	fmt.Println(d.Check())
	// Output:
	// <nil>
	// declaration: routes[0].timeout: archive: the timeout must be above 0
}

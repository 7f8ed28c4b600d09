package reserver_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

func Example() {
	r := reserver.New(reserver.Limits{
		Memory: 100 << 10, ClientMemory: 100 << 10, Connections: 10, ClientConnections: 10,
	})
	r.Open(1, "192.0.2.1")
	r.Open(2, "192.0.2.2")
	r.Reserve(1, reserver.BodySize(20<<10))
	fmt.Println(r.Reserve(2, reserver.BodySize(20<<10)))
	fmt.Println(r.Run(1), r.Run(2))
	// Output:
	// [{1 true}]
	// false true
}

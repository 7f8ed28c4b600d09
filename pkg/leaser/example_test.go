package leaser_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

func Example() {
	l := leaser.New(2 * identifier.Second)
	first := leaser.Announcement{Server: "s-1", Incarnation: 1, Sequence: 2, Service: "desk-1"}
	late := leaser.Announcement{Server: "s-1", Incarnation: 1, Sequence: 1, Service: "desk-1", State: leaser.Draining}
	fmt.Println(l.Receive(0, first), l.Receive(0, late))
	fmt.Println(l.Expire(0), l.Expire(identifier.Instant(2*identifier.Second)))
	// Output:
	// true false
	// [] [s-1]
}

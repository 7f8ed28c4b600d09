package deduplicator_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func Example() {
	l := deduplicator.New[string](deduplicator.Limits{
		Window: 60 * identifier.Minute, Tolerance: identifier.Minute, Capacity: 10,
	})
	send := deduplicator.Intent{Key: deduplicator.Key{Customer: "desk", Key: "k"}, Request: "r-1"}
	resend := send
	resend.Request = "r-2"
	fmt.Printf("%T\n", l.Record(send))
	fmt.Printf("%T\n", l.Record(resend))
	l.Settle(send, "posted")
	fmt.Printf("%T\n", l.Record(resend))
	fmt.Println(l.Outcome(send.Key))
	// Output:
	// deduplicator.Granted
	// deduplicator.Unsettled
	// deduplicator.Settled
	// posted true
}

package allocator_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/allocator"
)

func Example() {
	pieces := []allocator.Piece{
		{Stage: allocator.Served},
		{Stage: allocator.Rejected, Rejection: 0.45, Budget: 1},
		{Stage: allocator.Rejected, Rejection: 0.45, Budget: 4},
	}
	fmt.Println(allocator.Decide(pieces, 2))
	fmt.Println(allocator.Decide(pieces[:2], 2))
	// Output:
	// {[2]}
	// {}
}

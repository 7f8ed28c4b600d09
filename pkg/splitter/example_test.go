package splitter_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/splitter"
)

func Example() {
	s := splitter.New([]declarer.Target{{Service: "old", Weight: 3}, {Service: "new", Weight: 1}})
	for range 4 {
		fmt.Print(s.Next(), " ")
	}
	// Output: old old new old
}

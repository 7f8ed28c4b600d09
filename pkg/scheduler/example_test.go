package scheduler_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/scheduler"
)

func Example() {
	s := scheduler.New[string](10)
	s.Push(&scheduler.Job[string]{
		ID: identifier.AttemptID{Request: "a", Sequence: 1}, Rank: identifier.Deferrable, Deadline: 100, Payload: "statement",
	})
	s.Push(&scheduler.Job[string]{
		ID: identifier.AttemptID{Request: "b", Sequence: 1}, Rank: identifier.Urgent, Deadline: 200, Payload: "holdings",
	})
	fmt.Println(s.Next().Payload)
	fmt.Println(s.Expire(150).Payload)
	fmt.Println(s.Empty())
	// Output:
	// holdings
	// statement
	// true
}

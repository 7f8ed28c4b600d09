package matcher_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
)

func Example() {
	m := matcher.New([]declarer.Route{{ID: "search", Hostname: "a.example", PathPrefix: "/search/"}})
	r, ok := m.Match("a.example", "/search/17")
	fmt.Println(r.ID, ok)
	_, ok = m.Match("a.example", "/other")
	fmt.Println(ok)
	// Output:
	// search true
	// false
}

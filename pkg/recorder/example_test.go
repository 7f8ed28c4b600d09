package recorder_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/recorder"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

func Example() {
	p := recorder.New(reducer.Parameters{Host: "h-1", Domain: "fd-1"})
	p.Play(0, reducer.QueryArrived{Request: "r-1", Customer: "desk", Work: "lookup"})
	data, err := p.Session().Encode()
	fmt.Print(string(data))
	fmt.Println(err)
	// Output:
	// parameters: {host: h-1, domain: fd-1}
	// steps:
	//     - at: 0
	//       event: {query-arrived: {request: r-1, customer: desk, work: lookup}}
	//       effects:
	//         - {count: {counter: queries, customer: desk}}
	//         - {count: {counter: failures, customer: desk}}
	//         - {reply: {request: r-1, outcome: {failed: {kind: not-ready, ran: "no", message: no configuration is in force yet}}}}
	// <nil>
}

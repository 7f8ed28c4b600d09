package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

var _ = ginkgo.Describe("an entry host whose local server states a load", func() {
	const (
		requests   = 30
		localTime  = 10 * identifier.Millisecond
		remoteTime = 18 * identifier.Millisecond
	)
	free, busy := chooser.Load{Running: 1, Slots: 4, Pace: 1}, chooser.Load{Running: 4, Waiting: 10, Slots: 4, Pace: 1}
	// Guards against work that leaves the local failure domain before the wait exceeds the round trip, and
	// against statements of earlier incarnations.
	for _, c := range []struct {
		name string
		// latency is that of the local server's last answer, which states the load.
		latency identifier.Micros
		load    chooser.Load
		age     identifier.Micros
		local   bool
	}{
		{"stays with a free server", localTime, free, 0, true},
		{"leaves a server with a wait above the round trip", 60 * identifier.Millisecond, busy, 0, false},
		{"stays with a server that answered too fast for its queue", localTime, busy, 0, true},
		{"stays with a server whose statement is old", 60 * identifier.Millisecond, busy, identifier.Second, true},
		{"stays with a server that states nothing", 60 * identifier.Millisecond, chooser.Load{}, 0, true},
	} {
		ginkgo.It(c.name, func() {
			e := newEntryHost(entryFleetView())
			// sendOne sends a request whose answer arrives after the latency, and returns its exchange.
			sendOne := func(id string, latency identifier.Micros, l chooser.Load) reducer.Exchange {
				e.sendRequest(identifier.RequestID(id), "/archive/1")
				x := e.sent[len(e.sent)-1]
				e.advance(latency)
				e.reduce(reducer.ExchangeAnswered{
					Attempt: x.Attempt, Server: x.Server, Load: l, Answer: reducer.ServerAnswer{Success: true, Signature: "sig-" + string(x.Server)},
				})
				return x
			}
			for i := range requests {
				x := sendOne(fmt.Sprint("local-", i), localTime, free)
				gomega.Expect(x.Server).To(gomega.Equal(identifier.ServerID("archive-0")))
			}
			// While the local server is silent, the round trip to the remote domains is measured.
			silent := entryFleetView()
			silent.Backends["archive"][0].Silent = true
			e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: silent}})
			for i := range 4 * requests {
				x := sendOne(fmt.Sprint("remote-", i), remoteTime, free)
				gomega.Expect(x.Server).NotTo(gomega.Equal(identifier.ServerID("archive-0")))
			}
			e.reduce(reducer.ViewPublished{View: &reducer.View{Configuration: 4, Fleet: entryFleetView()}})
			e.advance(12 * identifier.Second)
			for i := range requests {
				sendOne(fmt.Sprint("again-", i), localTime, free)
			}
			x := sendOne("states", c.latency, c.load)
			gomega.Expect(x.Server).To(gomega.Equal(identifier.ServerID("archive-0")))
			e.advance(c.age)
			e.sendRequest("last", "/archive/1")
			gomega.Expect(e.sent[len(e.sent)-1].Server == "archive-0").To(gomega.Equal(c.local))
		})
	}
})

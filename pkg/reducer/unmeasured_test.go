package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Guards against a host that has just started and spends the extra attempts of all services on its first request: its
// connections are new, and it doesn't know how long an answer takes.
var _ = ginkgo.Describe("the first request of a host", func() {
	const shards = 40
	hostWithShards := func() *entryHost {
		v := entryFleetView()
		addShards(v, shards-shardCount)
		return newEntryHost(v)
	}
	for _, c := range []struct {
		name string
		// answered are the pieces that are answered at once, and hedged those that get a hedge before the answer is due.
		answered, hedged int
	}{
		{"gets no hedges while most answers are missing", 10, 0},
		{"gets hedges for a few late pieces", 35, 5},
	} {
		ginkgo.It(c.name, func() {
			e := hostWithShards()
			e.sendRequest("q", "/search/1")
			gomega.Expect(e.sent).To(gomega.HaveLen(shards))
			for i := range c.answered {
				e.answer(i)
			}
			e.advance(searchTargetLatency * 3 / 4)
			gomega.Expect(e.sent).To(gomega.HaveLen(shards + c.hedged))
		})
	}

	// Among hundreds of hosts, one measures a single service for minutes before it knows its latency.
	ginkgo.It("tells the next one how long the answers of the route take", func() {
		e := hostWithShards()
		e.sendRequest("q", "/search/1")
		e.advance(4 * identifier.Millisecond)
		for i := range shards {
			e.answer(i)
		}
		e.sendRequest("r", "/search/1")
		for i := range shards - 1 {
			e.answer(shards + i)
		}
		// A third of the target latency, which counts without measurements, would hedge at 46 ms.
		e.advance(60 * identifier.Millisecond)
		gomega.Expect(e.sent).To(gomega.HaveLen(2 * shards))
		e.advance(30 * identifier.Millisecond)
		gomega.Expect(e.sent).To(gomega.HaveLen(2*shards+1), fmt.Sprint(e.now))
	})
})

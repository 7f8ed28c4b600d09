package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against a host that has just started and spends the extra attempts of all services on its first request: its
// connections are new, and it doesn't know how long an answer takes.
var _ = ginkgo.Describe("the first request of a host", func() {
	const shards = 40
	for _, c := range []struct {
		name string
		// answered are the pieces that are answered at once, and hedged those that get a hedge before the answer is due.
		answered, hedged int
	}{
		{"gets no hedges while most answers are missing", 10, 0},
		{"gets hedges for a few late pieces", 35, 5},
	} {
		ginkgo.It(c.name, func() {
			v := entryFleetView()
			addShards(v, shards-shardCount)
			e := newEntryHost(v)
			e.sendRequest("q", "/search/1")
			gomega.Expect(e.sent).To(gomega.HaveLen(shards))
			for i := range c.answered {
				e.answer(i)
			}
			e.advance(searchTargetLatency * 3 / 4)
			gomega.Expect(e.sent).To(gomega.HaveLen(shards + c.hedged))
		})
	}
})

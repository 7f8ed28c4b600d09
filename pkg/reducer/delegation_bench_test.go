package reducer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// BenchmarkDelegatedRequest measures the parts that a host gathers for another one, from the message that requests them to
// the answer of the last server.
func BenchmarkDelegatedRequest(b *testing.B) {
	for _, more := range []int{0, 8} {
		b.Run(fmt.Sprintf("shards-%d", shardCount+more), func(b *testing.B) {
			v := entryFleetView()
			addShards(v, more)
			e := newEntryHost(v)
			shards := v.Declaration.Routes[0].Shards
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := identifier.Instant(i) * 10 * ms
				sent := 0
				var answers [16]reducer.ExchangeAnswered
				for _, effect := range e.state.Reduce(at, reducer.PartsRequested{
					From: requester, Process: laterProcess, Request: identifier.RequestID(strconv.Itoa(i)), Services: shards, TopK: 50,
					Flush: 40 * identifier.Millisecond, Remaining: 300 * identifier.Millisecond,
				}) {
					if x, ok := effect.(reducer.Exchange); ok {
						answers[sent] = reducer.ExchangeAnswered{Attempt: x.Attempt, Server: x.Server, Answer: reducer.ServerAnswer{
							Success: true, Signature: "s-" + string(x.Server), Body: make([]byte, 16),
						}}
						sent++
					}
				}
				if sent != len(shards) {
					b.Fatalf("%d attempts for %d shards", sent, len(shards))
				}
				for _, a := range answers[:sent] {
					e.state.Reduce(at+5*ms, a)
				}
			}
		})
	}
}

package leaser_test

import (
	"fmt"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// BenchmarkLeaser measures the cost of renewing one lease, and of one Expire call while all
// servers renew their leases every 500 ms.
func BenchmarkLeaser(b *testing.B) {
	const (
		term           = 2 * identifier.Second
		renewInterval  = 500 * identifier.Millisecond
		expireInterval = 50 * identifier.Millisecond
	)
	cases := []struct{ servers int }{{100}, {1000}, {10000}, {71000}}
	for _, c := range cases {
		list := make([]leaser.Announcement, c.servers)
		l := leaser.New(term)
		for i := range list {
			list[i] = leaser.Announcement{
				Server:   identifier.ServerID(fmt.Sprintf("server-%d", i)),
				Holdings: []leaser.Holding{{Epoch: 1, Versions: []identifier.IndexVersion{1, 2}}},
			}
			l.Receive(0, list[i])
		}
		now, next := identifier.Instant(0), 0
		renew := func(elapsed identifier.Micros) {
			now = now.Add(elapsed)
			for range c.servers * int(elapsed) / int(renewInterval) {
				a := &list[next%c.servers]
				next++
				a.Sequence++
				l.Receive(now, *a)
			}
		}
		b.Run(fmt.Sprintf("renew/servers=%d", c.servers), func(b *testing.B) {
			for i := range b.N {
				a := &list[i%c.servers]
				a.Sequence++
				l.Receive(now, *a)
			}
		})
		b.Run(fmt.Sprintf("expire/servers=%d", c.servers), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				renew(expireInterval)
				b.StartTimer()
				if expired := l.Expire(now); len(expired) > 0 {
					b.Fatalf("%d leases expired", len(expired))
				}
			}
		})
	}
}

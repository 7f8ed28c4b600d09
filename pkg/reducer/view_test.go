package reducer_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// randomMembershipEvent returns an event about one of eight hosts or twenty servers.
func randomMembershipEvent(r *rand.Rand, sequence identifier.Sequence) reducer.Event {
	domain := func(i int) identifier.DomainID { return identifier.DomainID(fmt.Sprintf("fd-%d", i%4)) }
	if r.IntN(3) == 0 {
		i := 1 + r.IntN(7)
		return reducer.HostHeard{
			Host: identifier.HostID(fmt.Sprintf("h-%d", i)), Domain: domain(i), Leaving: r.IntN(4) == 0,
		}
	}
	i := r.IntN(20)
	a := leaser.Announcement{
		Server: identifier.ServerID(fmt.Sprintf("s-%d", i)), Incarnation: 1, Sequence: sequence,
		Service: identifier.ServiceID(fmt.Sprintf("service-%d", r.IntN(4))), Domain: domain(i),
		State: leaser.ServerState(r.IntN(3)),
	}
	if r.IntN(2) == 0 {
		return reducer.ServerAnnounced{Announcement: a}
	}
	return reducer.ServerRelayed{Announcement: a, From: "h-1"}
}

var _ = ginkgo.Describe("the view", func() {
	for seed := range uint64(20) {
		ginkgo.It(fmt.Sprintf("matches the control state through random membership, seed %d", seed), func() {
			r := rand.New(rand.NewPCG(seed, 0))
			s := reducer.New(reducer.Parameters{
				Host: "h-0", Domain: "fd-0", Strict: true, Peers: []router.Host{{ID: "h-1", Domain: "fd-1"}},
			})
			s.Reduce(0, reducer.Started{Seed: seed})
			s.Reduce(0, reducer.HostStarted{})
			var now identifier.Instant
			views, maxServers := 0, 0
			for i := range 2000 {
				now = now.Add(identifier.Micros(r.IntN(200)) * identifier.Millisecond)
				for _, event := range []reducer.Event{reducer.Woken{}, randomMembershipEvent(r, identifier.Sequence(i+1))} {
					for _, effect := range s.Reduce(now, event) {
						if p, ok := effect.(reducer.PublishView); ok {
							views++
							maxServers = max(maxServers, len(p.View.Servers))
						}
					}
				}
			}
			gomega.Expect(views).To(gomega.BeNumerically(">", 100))
			gomega.Expect(maxServers).To(gomega.BeNumerically(">", 5))
		})
	}
})

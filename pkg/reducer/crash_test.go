package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// warmUp is how long the hosts take to be ready.
const warmUp = 2 * identifier.Second

// resends are the ways in which a caller resends a request that crashes servers.
var resends = []struct {
	name string
	// times and interval are how often and how far apart.
	times    int
	interval identifier.Micros
	// back is how long a crashed server stays down.
	back identifier.Micros
	// restarts makes an entry host restart between two resends.
	restarts bool
}{
	{"three times a second", 60, 300 * identifier.Millisecond, 500 * identifier.Millisecond, false},
	{"as soon as it fails", 200, 20 * identifier.Millisecond, 500 * identifier.Millisecond, false},
	{"to servers that are back at once", 60, 150 * identifier.Millisecond, 20 * identifier.Millisecond, false},
	{"to servers that stay away", 60, 150 * identifier.Millisecond, 30 * identifier.Second, false},
	{"while entry hosts restart", 60, 300 * identifier.Millisecond, 500 * identifier.Millisecond, true},
}

// innocents counts how the queries ended that crash nothing, at hosts that live.
func (w *world) innocents() (answered, failed int) {
	for _, r := range w.requests {
		if r.marked || len(r.replies) == 0 {
			continue
		}
		switch r.replies[0].(type) {
		case reducer.Answered:
			answered++
		case reducer.Failed:
			failed++
		}
	}
	return answered, failed
}

var _ = ginkgo.Describe("a request that crashes servers", func() {
	for _, c := range resends {
		for seed := uint64(1); seed <= 2; seed++ {
			ginkgo.It(fmt.Sprintf("resent %s costs one server of each service and one probe, seed %d", c.name, seed), func() {
				w := newWorld(seed, 6, 5)
				w.crashBack = c.back
				for i := range 2000 {
					w.after(warmUp+identifier.Micros(w.random.Int64N(int64(20*identifier.Second))), func() {
						w.ask(w.balance(), identifier.Urgent, identifier.Fingerprint(1000+i%100))
					})
				}
				for i := range c.times {
					w.after(warmUp+identifier.Second+identifier.Micros(i)*c.interval, func() {
						w.ask(w.balance(), identifier.Urgent, markedPrint)
						if c.restarts && i%10 == 5 {
							w.kill(w.random.IntN(len(w.hosts)), identifier.Second)
						}
					})
				}
				w.run(warmUp + 30*identifier.Second)
				w.check()
				total := 0
				for i := range 5 {
					crashes := 0
					for _, b := range w.servers[3*i : 3*i+3] {
						crashes += b.crashes
					}
					gomega.Expect(crashes).To(gomega.BeNumerically("<=", 2), "service %d", i)
					total += crashes
				}
				gomega.Expect(total).To(gomega.BeNumerically("<=", 6))
				answered, failed := w.innocents()
				gomega.Expect(failed).To(gomega.BeZero(), "of %d answered", answered)
				ginkgo.GinkgoWriter.Printf("crashes %d, answered %d, failed %d\n", total, answered, failed)
			})
		}
	}
})

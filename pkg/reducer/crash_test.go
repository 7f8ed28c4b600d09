package reducer_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// warmUpDuration is the time after which all hosts are ready.
const warmUpDuration = 2 * identifier.Second

// resends are patterns in which a caller resends a request that crashes servers.
var resends = []struct {
	name string
	// count is the number of sends and interval the time between two of them.
	count    int
	interval identifier.Micros
	// downtime is how long a crashed server stays down.
	downtime identifier.Micros
	// restartHosts makes an entry host restart at every tenth resend.
	restartHosts bool
}{
	{"three times a second", 60, 300 * identifier.Millisecond, 500 * identifier.Millisecond, false},
	{"as soon as it fails", 200, 20 * identifier.Millisecond, 500 * identifier.Millisecond, false},
	{"to servers that restart at once", 60, 150 * identifier.Millisecond, 20 * identifier.Millisecond, false},
	{"to servers that stay down", 60, 150 * identifier.Millisecond, 30 * identifier.Second, false},
	{"while entry hosts restart", 60, 300 * identifier.Millisecond, 500 * identifier.Millisecond, true},
}

// harmlessOutcomes counts the answered and the failed queries among those that crash no server.
// It leaves out queries without a reply, whose host was killed.
func (s *simulation) harmlessOutcomes() (answered, failed int) {
	for _, r := range s.requests {
		if r.crashing || len(r.replies) == 0 {
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
			ginkgo.It(fmt.Sprintf("resent %s crashes at most one server of each service and one more by a probe, seed %d", c.name, seed), func() {
				s := newSimulation(seed, 6, 5)
				s.crashDowntime = c.downtime
				for i := range 2000 {
					s.after(warmUpDuration+identifier.Micros(s.random.Int64N(int64(20*identifier.Second))), func() {
						s.sendQuery(s.pickReadyHost(), identifier.Urgent, identifier.Fingerprint(1000+i%100))
					})
				}
				for i := range c.count {
					s.after(warmUpDuration+identifier.Second+identifier.Micros(i)*c.interval, func() {
						s.sendQuery(s.pickReadyHost(), identifier.Urgent, crashFingerprint)
						if c.restartHosts && i%10 == 5 {
							s.kill(s.random.IntN(len(s.hosts)), identifier.Second)
						}
					})
				}
				s.run(warmUpDuration + 30*identifier.Second)
				s.checkReplies()
				total := 0
				for i := range 5 {
					crashes := 0
					for _, b := range s.servers[3*i : 3*i+3] {
						crashes += b.crashes
					}
					gomega.Expect(crashes).To(gomega.BeNumerically("<=", 2), "service %d", i)
					total += crashes
				}
				gomega.Expect(total).To(gomega.BeNumerically("<=", 6))
				answered, failed := s.harmlessOutcomes()
				gomega.Expect(failed).To(gomega.BeZero(), "of %d answered", answered)
				ginkgo.GinkgoWriter.Printf("crashes %d, answered %d, failed %d\n", total, answered, failed)
			})
		}
	}
})

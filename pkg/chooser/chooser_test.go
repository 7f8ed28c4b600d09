package chooser_test

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const ms = identifier.Millisecond

// serverBehaviour describes how a simulated server answers.
type simulatedServer struct {
	// mean is the mean of the exponential service times. networkLatency is added to each.
	mean, networkLatency identifier.Micros
	fails                bool
	starting             bool
}

// shares sends an attempt each millisecond and returns each server's share of them.
func shares(servers []simulatedServer, attempts int) []float64 {
	type end struct {
		at      identifier.Instant
		server  int
		latency identifier.Micros
	}
	random := rand.New(rand.NewPCG(1, 0))
	c := chooser.New()
	names := []identifier.ServerID{"a", "b", "c"}
	counts := make([]float64, len(servers))
	var inFlight []end
	for n := range attempts {
		now := identifier.Instant(n) * identifier.Instant(ms)
		var remaining []end
		for _, f := range inFlight {
			if f.at > now {
				remaining = append(remaining, f)
				continue
			}
			c.RecordEnd(names[f.server], identifier.Urgent)
			if servers[f.server].fails {
				c.RecordFailure(f.at, names[f.server])
				continue
			}
			c.RecordLatency(f.at, names[f.server], f.latency)
		}
		inFlight = remaining
		var candidates []chooser.Candidate
		for i, s := range servers {
			candidates = append(candidates, chooser.Candidate{Server: names[i], Incarnation: 1, Starting: s.starting})
		}
		id, _ := c.Choose(now, candidates, random.IntN)
		for i := range servers {
			if names[i] == id {
				c.RecordStart(id, identifier.Urgent)
				counts[i]++
				latency := servers[i].networkLatency + identifier.Micros(random.ExpFloat64()*float64(servers[i].mean))
				inFlight = append(inFlight, end{now.Add(latency), i, latency})
			}
		}
	}
	for i := range counts {
		counts[i] /= float64(attempts)
	}
	return counts
}

var _ = ginkgo.Describe("a chooser", func() {
	good := simulatedServer{mean: 6 * ms}
	for _, c := range []struct {
		name    string
		servers []simulatedServer
		// minShare and maxShare are the limits of the share of the first server.
		minShare, maxShare float64
	}{
		{"shares work among equals", []simulatedServer{good, good, good}, 0.30, 0.36},
		{"gives few attempts to a server that is ten times slower", []simulatedServer{{mean: 60 * ms}, good, good}, 0.0005, 0.02},
		{"gives almost no attempts to a server that fails at once", []simulatedServer{{fails: true}, good, good}, 0.0001, 0.002},
		{"ramps up a cold server", []simulatedServer{{mean: 6 * ms, starting: true}, good, good}, 0.03, 0.25},
		{"prefers servers with low network latency among equals", []simulatedServer{{mean: 6 * ms, networkLatency: 6 * ms}, good, good}, 0.05, 0.25},
		{"uses a failing server if there is no other", []simulatedServer{{fails: true}}, 1, 1},
	} {
		ginkgo.It(c.name, func() {
			share := shares(c.servers, 20000)[0]
			gomega.Expect(share).To(gomega.And(gomega.BeNumerically(">=", c.minShare), gomega.BeNumerically("<=", c.maxShare)))
		})
	}

	ginkgo.It("returns no server without candidates", func() {
		_, ok := chooser.New().Choose(0, nil, rand.IntN)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

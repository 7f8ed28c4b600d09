package chooser_test

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const ms = identifier.Millisecond

// behaviour is how a server of a trial answers.
type behaviour struct {
	// mean is the mean of the exponential service times, and distance is added to each.
	mean, distance identifier.Micros
	fails          bool
	starting       bool
}

// shares runs attempts one millisecond apart on the servers and returns each one's share of them.
func shares(servers []behaviour, attempts int) []float64 {
	type end struct {
		at      identifier.Instant
		server  int
		latency identifier.Micros
	}
	random := rand.New(rand.NewPCG(1, 0))
	c := chooser.New()
	names := []identifier.ServerID{"a", "b", "c"}
	counts := make([]float64, len(servers))
	var flying []end
	for n := range attempts {
		now := identifier.Instant(n) * identifier.Instant(ms)
		var rest []end
		for _, f := range flying {
			if f.at > now {
				rest = append(rest, f)
				continue
			}
			c.End(names[f.server], identifier.Urgent)
			if servers[f.server].fails {
				c.Fail(f.at, names[f.server])
				continue
			}
			c.Serve(f.at, names[f.server], f.latency)
		}
		flying = rest
		var candidates []chooser.Candidate
		for i, s := range servers {
			candidates = append(candidates, chooser.Candidate{Server: names[i], Incarnation: 1, Starting: s.starting})
		}
		id, _ := c.Choose(now, candidates, random.IntN)
		for i := range servers {
			if names[i] == id {
				c.Begin(id, identifier.Urgent)
				counts[i]++
				latency := servers[i].distance + identifier.Micros(random.ExpFloat64()*float64(servers[i].mean))
				flying = append(flying, end{now.Add(latency), i, latency})
			}
		}
	}
	for i := range counts {
		counts[i] /= float64(attempts)
	}
	return counts
}

var _ = ginkgo.Describe("a chooser", func() {
	good := behaviour{mean: 6 * ms}
	for _, c := range []struct {
		name    string
		servers []behaviour
		// least and most bound the share of the first server.
		least, most float64
	}{
		{"shares work among equals", []behaviour{good, good, good}, 0.30, 0.36},
		{"gives little to a server ten times slow", []behaviour{{mean: 60 * ms}, good, good}, 0.0005, 0.02},
		{"gives next to nothing to a server that fails at once", []behaviour{{fails: true}, good, good}, 0.0001, 0.002},
		{"ramps up a cold server", []behaviour{{mean: 6 * ms, starting: true}, good, good}, 0.03, 0.25},
		{"prefers near servers among equals", []behaviour{{mean: 6 * ms, distance: 6 * ms}, good, good}, 0.05, 0.25},
		{"uses a failing server when there is no other", []behaviour{{fails: true}}, 1, 1},
	} {
		ginkgo.It(c.name, func() {
			share := shares(c.servers, 20000)[0]
			gomega.Expect(share).To(gomega.And(gomega.BeNumerically(">=", c.least), gomega.BeNumerically("<=", c.most)))
		})
	}

	ginkgo.It("chooses nothing from nothing", func() {
		_, ok := chooser.New().Choose(0, nil, rand.IntN)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

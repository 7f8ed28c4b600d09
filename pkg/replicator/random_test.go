package replicator_test

import (
	"flag"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var seeds = flag.Int("seeds", 4, "number of seeds for each case of the randomised run")

const (
	faultRounds = 16
	// maxFaultInterval is the maximum time from one fault to the next.
	maxFaultInterval = 3 * identifier.Second
	// convergenceLimit is the maximum time on the virtual clock to converge without faults.
	convergenceLimit = 60 * identifier.Second
)

// faults lists the kinds of faults. Each round injects one at random, either into the host that
// pickHost returns or into the whole cluster.
var faults = []struct {
	name  string
	begin func(c *cluster, h *host)
}{
	{"kill", func(c *cluster, h *host) { c.kill(h) }},
	{"restart", func(c *cluster, h *host) {
		c.kill(h)
		c.start(h)
	}},
	{"freeze", func(_ *cluster, h *host) { h.frozen = h.running }},
	{"lost disk", func(c *cluster, h *host) {
		if c.mayLoseDisk(h) {
			c.kill(h)
			c.replaceDisk(h)
			c.lostDisks++
			c.start(h)
		}
	}},
	{"partition both ways", func(c *cluster, h *host) {
		for _, id := range c.names {
			c.blocked[link{h.id, id}], c.blocked[link{id, h.id}] = true, true
		}
	}},
	{"outbound partition", func(c *cluster, h *host) {
		for _, id := range c.names {
			c.blocked[link{h.id, id}] = true
		}
	}},
	{"inbound partition", func(c *cluster, h *host) {
		for _, id := range c.names {
			c.blocked[link{id, h.id}] = true
		}
	}},
	{"one link down", func(c *cluster, h *host) {
		c.blocked[link{h.id, c.names[c.random.IntN(len(c.names))]}] = true
	}},
	{"delay and reorder", func(c *cluster, _ *host) { c.delay = 900 * identifier.Millisecond }},
	{"message loss", func(c *cluster, _ *host) { c.loss = 0.3 }},
	{"message duplication", func(c *cluster, _ *host) { c.duplicate = 0.5 }},
	{"removed member", func(c *cluster, h *host) {
		for _, id := range c.names {
			x := c.hosts[id]
			c.step(x, func() {
				// RemoveMember fails on a host that is not the leader, and may fail on the
				// leader.
				if err := x.node.RemoveMember(c.localTime(x), h.id); err == nil {
					c.removals++
				}
			})
		}
	}},
	{"slow disk", func(c *cluster, _ *host) { c.slowDisk = 300 * identifier.Millisecond }},
}

type randomCase struct {
	name  string
	kinds []int
}

// randomCases returns a case for each fault, for each pair of faults, and for all faults
// together.
func randomCases() []randomCase {
	var cases []randomCase
	var all []int
	for i, a := range faults {
		all = append(all, i)
		cases = append(cases, randomCase{a.name, []int{i}})
		for j := range i {
			cases = append(cases, randomCase{a.name + " and " + faults[j].name, []int{i, j}})
		}
	}
	return append(cases, randomCase{"all of them", all})
}

// runFaults injects a random fault in each round, sometimes ending all faults after it.
// It then ends all faults and waits until the hosts have converged.
func runFaults(c *cluster, kinds []int) {
	c.scheduleWorkload()
	c.run(c.randomDuration(maxFaultInterval))
	for range faultRounds {
		f := faults[kinds[c.random.IntN(len(kinds))]]
		f.begin(c, c.pickHost())
		c.run(c.randomDuration(maxFaultInterval))
		if c.random.IntN(3) == 0 {
			c.heal()
			c.run(c.randomDuration(maxFaultInterval))
		}
	}
	c.heal()
	before := c.accepted
	for end := c.now.Add(convergenceLimit); !c.converged() || c.accepted <= before+10; {
		if c.now > end {
			c.fail("hosts did not converge:%s", c.describe())
		}
		c.run(100 * identifier.Millisecond)
	}
}

var _ = ginkgo.Describe("the randomised run", func() {
	for n, rc := range randomCases() {
		ginkgo.It("keeps all invariants under "+rc.name, func() {
			for i := range *seeds {
				seed := uint64(n*1_000_000 + i)
				c := newCluster(seed, 3+2*int(seed/2%2))
				gomega.Expect(func() { runFaults(c, rc.kinds) }).NotTo(gomega.Panic(), "seed %d of %s", seed, rc.name)
				total.seeds++
				total.events += c.events
				total.accepted += c.accepted
				total.confirmed += c.confirmed
				total.lostDisks += c.lostDisks
				total.removals += c.removals
			}
		})
	}
})

// total sums up all randomised runs of the process.
var total struct{ seeds, events, accepted, confirmed, lostDisks, removals int }

var _ = ginkgo.AfterSuite(func() {
	fmt.Printf("%d seeds, %d events, %d proposals accepted, %d reads confirmed, %d disks lost, %d members removed\n",
		total.seeds, total.events, total.accepted, total.confirmed, total.lostDisks, total.removals)
})

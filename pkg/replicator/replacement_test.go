package replicator_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Bounds of the users' platform.
const (
	// contactBound is the time that the group has to adapt to a change of its hosts.
	contactBound = 4 * identifier.Second
	// catchUpBound is the time that a host without a disk has to catch up.
	catchUpBound = 4 * identifier.Second
	// recoveryBound is the time to serve again after a power cut of all hosts.
	recoveryBound = 12 * identifier.Second
	seedCount     = 3
)

// replacements lists how a host is replaced by one with a new name and an empty disk. Each returns
// once the old host has ended and the new one has started.
var replacements = []struct {
	name string
	run  func(c *cluster, old *host)
}{
	{"the new host first", func(c *cluster, old *host) {
		c.addHost()
		c.run(identifier.Second + c.randomDuration(4*identifier.Second))
		c.retire(old)
	}},
	{"the old host first", func(c *cluster, old *host) {
		c.retire(old)
		c.run(c.randomDuration(4 * identifier.Second))
		c.addHost()
	}},
	{"both at once", func(c *cluster, old *host) {
		c.addHost()
		c.retire(old)
	}},
	{"the new host first, and the old one returns with its disk", func(c *cluster, old *host) {
		c.addHost()
		c.run(identifier.Second + c.randomDuration(3*identifier.Second))
		c.retire(old)
		c.run(5 * identifier.Second)
		old.retired = false
		c.start(old)
		c.run(identifier.Second + c.randomDuration(3*identifier.Second))
		c.retire(old)
	}},
	{"the new host first, with new seeds", func(c *cluster, old *host) {
		c.addHost()
		c.changeSeeds()
		c.run(identifier.Second + c.randomDuration(3*identifier.Second))
		c.retire(old)
	}},
}

// addHost starts a host with a new name and an empty disk. The group has settled once the host has had
// the time to catch up.
func (c *cluster) addHost() {
	c.settled = max(c.settled, c.now.Add(catchUpBound))
	id := identifier.HostID(fmt.Sprintf("h-%d", len(c.names)+1))
	h := &host{id: id, clockRate: 1, seeds: c.hosts[c.names[0]].seeds}
	c.names = append(c.names, id)
	c.hosts[id] = h
	c.replaceDisk(h)
	c.start(h)
	c.updateProbeTargets()
}

// retire ends a host for good. The group has settled contactBound later.
func (c *cluster) retire(h *host) {
	c.settled = max(c.settled, c.now.Add(contactBound))
	c.kill(h)
	h.retired = true
	c.updateProbeTargets()
}

// updateProbeTargets tells all hosts which hosts are present.
func (c *cluster) updateProbeTargets() {
	for _, id := range c.presentHosts() {
		c.step(c.hosts[id], func() { c.hosts[id].node.SetProbeTargets(c.presentHosts()) })
	}
}

// changeSeeds names the hosts that were added last as the seeds. It takes effect at the next start
// of each host.
func (c *cluster) changeSeeds() {
	present := c.presentHosts()
	for _, h := range c.hosts {
		h.seeds = present[len(present)-seedCount:]
	}
}

// loseDisks cuts the power of all hosts and starts them a moment later. As many of them as the
// group must bear come back with empty disks.
func (c *cluster) loseDisks(lost int) {
	present := c.presentHosts()
	for _, id := range present {
		c.kill(c.hosts[id])
	}
	c.random.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	for _, id := range present[:lost] {
		c.replaceDisk(c.hosts[id])
		c.lostDisks++
	}
	c.run(c.randomDuration(identifier.Second))
	for _, id := range present {
		c.start(c.hosts[id])
	}
	c.updateProbeTargets()
}

// expectService waits until a read that is sent now is confirmed and a new command is accepted.
func (c *cluster) expectService(limit identifier.Micros, when string) {
	confirmed, accepted := c.confirmed, c.accepted
	for end := c.now.Add(limit); c.confirmed < confirmed+3 || c.accepted < accepted+3; {
		if c.now > end {
			c.fail("no service %s:%s", when, c.describe())
		}
		c.run(100 * identifier.Millisecond)
	}
}

// maxInactive returns how many present hosts may lose their disks at once: a minority of the
// smallest group that the hosts can form.
func maxInactive(size int) int { return (size - 1) / 2 }

type replacementCase struct {
	size int
	// kinds are indexes of replacements that follow each other.
	kinds []int
}

// replacementCases returns each replacement, and each pair of them in a row, for groups of 3 to 8
// hosts.
func replacementCases() []replacementCase {
	var cases []replacementCase
	for size := 3; size <= 8; size++ {
		for i := range replacements {
			cases = append(cases, replacementCase{size, []int{i}})
			for j := range replacements {
				cases = append(cases, replacementCase{size, []int{i, j}})
			}
		}
	}
	return cases
}

// runReplacements replaces hosts one after the other. Each must have settled within the bounds; then
// the group loses as many disks as it must bear in a power cut of all hosts.
func runReplacements(c *cluster, rc replacementCase) {
	c.scheduleWorkload()
	c.run(catchUpBound + contactBound)
	for _, kind := range rc.kinds {
		present := c.presentHosts()
		replacements[kind].run(c, c.hosts[present[c.random.IntN(len(present))]])
		c.run(c.settled.Since(c.now))
	}
	c.loseDisks(maxInactive(rc.size))
	c.expectService(recoveryBound, "after the power cut")
}

var _ = ginkgo.Describe("a group whose hosts join automatically", func() {
	for n, rc := range replacementCases() {
		name := fmt.Sprintf("%d hosts", rc.size)
		for _, kind := range rc.kinds {
			name += ", " + replacements[kind].name
		}
		ginkgo.It("bears its lost disks after replacements: "+name, func() {
			for i := range max(1, *seeds/4) {
				// Odd seeds have exact clocks, which the bounds of the platform assume.
				seed := uint64(100_000_000 + n*1_000_000 + 2*i + 1)
				c := newClusterWith(seed, rc.size, seedHosts())
				gomega.Expect(func() { runReplacements(c, rc) }).NotTo(gomega.Panic(), "seed %d", seed)
				total.seeds++
				total.events += c.events
				total.accepted += c.accepted
				total.confirmed += c.confirmed
				total.lostDisks += c.lostDisks
			}
		})
	}
})

// seedHosts returns the seeds of a new deployment.
func seedHosts() []identifier.HostID {
	var hosts []identifier.HostID
	for i := range seedCount {
		hosts = append(hosts, identifier.HostID(fmt.Sprintf("h-%d", i+1)))
	}
	return hosts
}

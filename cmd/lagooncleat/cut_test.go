package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/relayer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// ways are the relays from each host, by index, to each other one.
type ways map[[2]int]*relayer.Relay

// relay puts a relay on the way from any host to any other.
func (g *group) relay() ways {
	w := ways{}
	for i := range g.hosts {
		for p := range g.hosts[i].Peers {
			peer := &g.hosts[i].Peers[p]
			to := slices.IndexFunc(g.hosts, func(s loader.Settings) bool { return s.Host == peer.Host })
			between, err := relayer.New(relayer.Parameters{Target: peer.Address})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(between.Close)
			peer.Address = between.Address()
			w[[2]int{i, to}] = between
		}
	}
	return w
}

// set changes the ways from a host, those towards it, or both.
func (w ways) set(host int, from, towards bool, c relayer.Condition) {
	for way, between := range w {
		if from && way[0] == host || towards && way[1] == host {
			between.Set(c)
		}
	}
}

// honest fails unless a read at the host shows the last accepted change, or says that it is stale.
func (g *group) honest(i int) {
	var found struct {
		Stale     bool
		Revisions []struct{ Version identifier.Version }
	}
	response, err := http.Get(fmt.Sprintf("http://%s/v1/templates/other", g.hosts[i].Listen.Operators))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	gomega.Expect(json.NewDecoder(response.Body).Decode(&found)).To(gomega.Succeed())
	gomega.Expect(found.Stale || found.Revisions[0].Version == g.version).To(gomega.BeTrue(), "%+v", found)
}

// cuts separate the leader from the others.
var cuts = []struct {
	name          string
	from, towards bool
	condition     relayer.Condition
	// hears is set where the cut host still hears the next leader, and so is in touch.
	hears bool
}{
	{"silently, both ways", true, true, relayer.Frozen{Forward: true, Backward: true}, false},
	{"silently, from it", true, false, relayer.Frozen{Forward: true}, true},
	{"silently, towards it", false, true, relayer.Frozen{Forward: true}, false},
	{"by broken connections", true, true, relayer.Cut{}, false},
}

var _ = ginkgo.Describe("control hosts that are cut off", func() {
	for n, c := range cuts {
		ginkgo.It("say whether they are in touch, and show nothing out of date as current: "+c.name, func() {
			g := prepareGroup(31+n, 0, 0)
			w := g.relay()
			g.startAll()
			g.change(5)
			leading := g.leader()
			w.set(leading, c.from, c.towards, c.condition)
			g.leader(leading)
			g.change(5, leading)
			g.honest(leading)
			gomega.Eventually(func() (bool, error) {
				s, err := g.status(leading)
				return s.Control.InTouch, err
			}, patience, "20ms").Should(gomega.Equal(c.hears))
			w.set(leading, true, true, relayer.Flowing{})
			g.change(5)
			g.inForce()
		})
	}
})

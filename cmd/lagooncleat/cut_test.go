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

// linkRelays holds the relay from each host to each other one, by their indexes.
type linkRelays map[[2]int]*relayer.Relay

// insertRelays puts a relay on the connections from each host to each other one.
func (g *controlGroup) insertRelays() linkRelays {
	relays := linkRelays{}
	for i := range g.hosts {
		for p := range g.hosts[i].Peers {
			peer := &g.hosts[i].Peers[p]
			to := slices.IndexFunc(g.hosts, func(s loader.Settings) bool { return s.Host == peer.Host })
			relay, err := relayer.New(relayer.Parameters{Target: peer.Address})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(relay.Close)
			peer.Address = relay.Address()
			relays[[2]int{i, to}] = relay
		}
	}
	return relays
}

// setCondition sets the condition of the relays from a host, to it, or both.
func (l linkRelays) setCondition(host int, from, towards bool, c relayer.Condition) {
	for link, relay := range l {
		if from && link[0] == host || towards && link[1] == host {
			relay.SetCondition(c)
		}
	}
}

// expectNoOutdatedRead fails unless a read at the host returns the last accepted change
// or is marked as stale.
func (g *controlGroup) expectNoOutdatedRead(i int) {
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

// cutCases are the ways to cut off the leader from the other hosts.
var cutCases = []struct {
	name          string
	from, towards bool
	condition     relayer.Condition
	// inTouch is set if the host that is cut off still receives the messages of the next leader.
	inTouch bool
}{
	{"silently, in both directions", true, true, relayer.Stalled{Forward: true, Backward: true}, false},
	{"silently, from it", true, false, relayer.Stalled{Forward: true}, true},
	{"silently, towards it", false, true, relayer.Stalled{Forward: true}, false},
	{"by broken connections", true, true, relayer.Disconnected{}, false},
}

var _ = ginkgo.Describe("control hosts that are cut off", func() {
	for n, c := range cutCases {
		ginkgo.It("report whether they are in touch, and mark outdated reads as stale: "+c.name, func() {
			g := prepareControlGroup(31+n, 0, 0)
			relays := g.insertRelays()
			g.startHosts()
			g.applyChanges(5)
			leading := g.awaitLeader()
			relays.setCondition(leading, c.from, c.towards, c.condition)
			g.awaitLeader(leading)
			g.applyChanges(5, leading)
			g.expectNoOutdatedRead(leading)
			gomega.Eventually(func() (bool, error) {
				s, err := g.status(leading)
				return s.Control.InTouch, err
			}, waitLimit, "20ms").Should(gomega.Equal(c.inTouch))
			relays.setCondition(leading, true, true, relayer.Forwarding{})
			g.applyChanges(5)
			g.awaitInForce()
		})
	}
})

package planner_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
)

// serverHolding is the shard and the versions that one server announces.
type serverHolding struct {
	server   identifier.ServerID
	service  identifier.ServiceID
	shard    int
	epoch    identifier.Epoch
	state    leaser.ServerState
	versions []identifier.IndexVersion
}

var (
	newPartition = configurer.EvenPartition(2, []identifier.ServiceID{"x", "y", "z"})
	oldPartition = configurer.EvenPartition(1, []identifier.ServiceID{"x", "y"})
)

func announcements(holdings []serverHolding) planner.Lookup {
	return func(id identifier.ServiceID) []leaser.Announcement {
		var found []leaser.Announcement
		for _, h := range holdings {
			p := newPartition
			if h.epoch == 1 {
				p = oldPartition
			}
			if h.service != id {
				continue
			}
			found = append(found, leaser.Announcement{
				Server: h.server, Service: id, State: h.state,
				Holdings: []leaser.Holding{{Epoch: h.epoch, Range: p.Shards[h.shard].Range, Versions: h.versions}},
			})
		}
		return found
	}
}

var _ = ginkgo.Describe("a plan", func() {
	seven := []identifier.IndexVersion{7}
	both := []identifier.IndexVersion{7, 8}
	old := []serverHolding{{"x1", "x", 0, 1, 0, seven}, {"y1", "y", 1, 1, 0, seven}}
	for _, c := range []struct {
		name     string
		holdings []serverHolding
		snapshot identifier.Snapshot
		servers  [][]identifier.ServerID
	}{
		{"uses the newest version at which all ranges can be served", []serverHolding{
			{"x1", "x", 0, 2, 0, both},
			{"y1", "y", 1, 2, 0, both},
			{"z1", "z", 2, 2, 0, seven},
			{"z2", "z", 2, 2, 0, seven},
		}, identifier.Snapshot{Epoch: 2, Version: 7}, [][]identifier.ServerID{{"x1"}, {"y1"}, {"z1", "z2"}}},
		{"uses the previous epoch until the new one is fully covered", append(
			[]serverHolding{{"x2", "x", 0, 2, 0, both}, {"y2", "y", 1, 2, 0, both}}, old...,
		), identifier.Snapshot{Epoch: 1, Version: 7}, [][]identifier.ServerID{{"x1"}, {"y1"}}},
		{"uses the new epoch once it is fully covered", append(
			[]serverHolding{{"x2", "x", 0, 2, 0, both}, {"y2", "y", 1, 2, 0, both}, {"z2", "z", 2, 2, 0, both}}, old...,
		), identifier.Snapshot{Epoch: 2, Version: 8}, [][]identifier.ServerID{{"x2"}, {"y2"}, {"z2"}}},
		{"uses the epoch with the highest coverage when none is fully covered", []serverHolding{
			{"x1", "x", 0, 1, 0, seven}, {"x2", "x", 0, 2, 0, both}, {"y2", "y", 1, 2, 0, both},
		}, identifier.Snapshot{Epoch: 2, Version: 8}, [][]identifier.ServerID{{"x2"}, {"y2"}, nil}},
		{"excludes draining servers", []serverHolding{
			{"x1", "x", 0, 2, leaser.Draining, both}, {"x2", "x", 0, 2, 0, seven}, {"y1", "y", 1, 2, 0, both},
		}, identifier.Snapshot{Epoch: 2, Version: 7}, [][]identifier.ServerID{{"x2"}, {"y1"}, nil}},
	} {
		ginkgo.It(c.name, func() {
			plan := planner.Pin([]configurer.Partition{newPartition, oldPartition}, announcements(c.holdings))
			gomega.Expect(plan.Snapshot).To(gomega.Equal(c.snapshot))
			gomega.Expect(plan.Servers).To(gomega.Equal(c.servers))
		})
	}
})

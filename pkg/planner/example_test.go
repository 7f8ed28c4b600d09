package planner_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
)

func ExamplePin() {
	partition := configurer.EvenPartition(1, []identifier.ServiceID{"low", "high"})
	servers := map[identifier.ServiceID][]leaser.Announcement{}
	versions := [][]identifier.IndexVersion{{6, 7}, {6}}
	for i, s := range partition.Shards {
		servers[s.Service] = []leaser.Announcement{{
			Server:   identifier.ServerID(s.Service + "-1"),
			Holdings: []leaser.Holding{{Epoch: 1, Range: s.Range, Versions: versions[i]}},
		}}
	}
	plan := planner.Pin([]configurer.Partition{partition}, func(id identifier.ServiceID) []leaser.Announcement { return servers[id] })
	fmt.Println(plan.Snapshot, plan.Servers)
	// Output: {1 6} [[low-1] [high-1]]
}

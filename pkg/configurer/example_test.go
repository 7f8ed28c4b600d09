package configurer_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func ExampleResolve() {
	template := configurer.Template{
		ID:    "hangar",
		Works: []configurer.Work{{Kind: "defect-history", Rank: "urgent"}},
		Ranks: []configurer.RankParameters{
			{Rank: "urgent", TimeoutMillis: 1000},
			{Rank: "standard", TimeoutMillis: 5000},
			{Rank: "deferrable", TimeoutMillis: 60000},
		},
	}
	customer := configurer.Customer{
		ID:        "release-desk",
		Template:  "hangar",
		Partition: configurer.EvenPartition(1, []identifier.ServiceID{"release-1", "release-2"}),
		Ranks:     []configurer.RankParameters{{Rank: "urgent", TimeoutMillis: 500}},
	}
	policy, err := configurer.Resolve(template, customer)
	fmt.Println(policy.Works["defect-history"], policy.Ranks[identifier.Urgent].Timeout.Duration(), err)

	customer.Partition.Shards = customer.Partition.Shards[:1]
	_, err = configurer.Resolve(template, customer)
	fmt.Println(err)
	// Output:
	// urgent 500ms <nil>
	// customer release-desk: partition.shards: must end at 4294967296
}

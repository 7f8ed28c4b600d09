package replicator_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// A single host bootstraps a group, elects itself and commits a command.
func Example() {
	r := replicator.New[string, string](replicator.Parameters{
		Self:  replicator.Peer{Host: "h-1", Replica: 1},
		Hosts: []identifier.HostID{"h-1"},
	}, "")
	now := identifier.Instant(0)
	r.Recover(now, replicator.Recovered[string]{})
	process := func() {
		for output := r.Take(); len(output.Records) > 0 || len(output.Outcomes) > 0; output = r.Take() {
			// A real host syncs output.Records here.
			r.Persisted(now, output.Sequence)
			for _, o := range output.Outcomes {
				switch o := o.(type) {
				case replicator.LeadershipWon:
					fmt.Println("leads term", o.Term)
				case replicator.Committed[string]:
					fmt.Printf("entry %d is %q\n", o.Index, o.Command)
				}
			}
		}
	}
	process()
	if _, ok := r.Propose(now, "open the desk"); ok {
		process()
	}
	// Output:
	// entry 2 is ""
	// leads term 2
	// entry 3 is "open the desk"
}

package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/admitter"
	"github.com/lagooncleat/lagooncleat/pkg/assessor"
	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/deduplicator"
	"github.com/lagooncleat/lagooncleat/pkg/hedger"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/planner"
	"github.com/lagooncleat/lagooncleat/pkg/splitter"
	"github.com/lagooncleat/lagooncleat/pkg/throttler"
)

// Limits of the retry budget of one service, in attempts.
const (
	// RetryBurst is the most retries that an idle budget accumulates.
	RetryBurst = 20
	// RetryReserve is the number of retries in a new budget.
	RetryReserve = 4
)

// traffic is the part of State that the traffic goroutines use.
type traffic struct {
	view    *View
	queries map[identifier.RequestID]*query
	owner   owner
	// admitter tracks the queues of the owners that this host submits to.
	admitter *admitter.Admitter
	// chooser holds this state's measurements of each server.
	chooser *chooser.Chooser
	// candidates is scratch space for the choice of a server.
	candidates []chooser.Candidate
	services   map[identifier.ServiceID]*service
	// plans holds the plan of each customer under the current view.
	plans map[identifier.CustomerID]*planner.Plan
	// The partitions that a change of epoch has replaced.
	previous map[identifier.CustomerID]configurer.Partition
	// The queries with parked shards, by fingerprint.
	held map[identifier.Fingerprint][]identifier.RequestID
	// The calls of this owner that were lost on servers which may have crashed.
	losses map[identifier.ServerID][]loss
	// running holds the dispatched requests that are not repeatable, by key.
	running map[deduplicator.Key]identifier.RequestID

	// The clients' requests in progress, and their attempts whose exchange has not ended;
	// an attempt may outlive its request.
	requests map[identifier.RequestID]*request
	sendings map[identifier.AttemptID]*sending
	// The time until which a delegate, a host that gathers parts, is backed off.
	delegates map[identifier.HostID]identifier.Instant
	// The activity of each server: the attempts in flight there.
	watches map[identifier.ServerID]*watch
	// This host's own budgets of extra attempts, and the credit that it may borrow.
	extras map[identifier.ServiceID]*throttler.Throttler
	credit credit
	// splitters divide the requests of split routes into pieces.
	splitters map[declarer.RouteID]*splitter.Splitter
	// The latencies of each route's attempts, over all services.
	paces map[declarer.RouteID]*hedger.Hedger
	// Measurements of servers that have not been sent to control hosts yet.
	measured map[identifier.ServerID]assessor.Tally
	// Set while a measurementDue is scheduled.
	awaited bool
}

// service holds what a state has measured of one service, and the service's budgets of
// extra attempts.
type service struct {
	hedger  *hedger.Hedger
	retries throttler.Throttler
}

func newTraffic() traffic {
	return traffic{
		view:     &View{},
		queries:  map[identifier.RequestID]*query{},
		owner:    newOwner(),
		admitter: admitter.New(QueueLimit),
		chooser:  chooser.New(),
		services: map[identifier.ServiceID]*service{},
		plans:    map[identifier.CustomerID]*planner.Plan{},
		previous: map[identifier.CustomerID]configurer.Partition{},
		held:     map[identifier.Fingerprint][]identifier.RequestID{},
		losses:   map[identifier.ServerID][]loss{},
		running:  map[deduplicator.Key]identifier.RequestID{},

		requests:  map[identifier.RequestID]*request{},
		sendings:  map[identifier.AttemptID]*sending{},
		delegates: map[identifier.HostID]identifier.Instant{},
		watches:   map[identifier.ServerID]*watch{},
		extras:    map[identifier.ServiceID]*throttler.Throttler{},
		credit:    newCredit(),
		splitters: map[declarer.RouteID]*splitter.Splitter{},
		paces:     map[declarer.RouteID]*hedger.Hedger{},
		measured:  map[identifier.ServerID]assessor.Tally{},
	}
}

func (t *traffic) service(id identifier.ServiceID) *service {
	known, ok := t.services[id]
	if !ok {
		known = &service{hedger: hedger.New(), retries: throttler.New(RetryBurst, RetryReserve)}
		t.services[id] = known
	}
	return known
}

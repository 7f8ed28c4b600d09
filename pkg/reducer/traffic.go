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
	// RetryBurst is the maximum number of retries that an idle budget accumulates.
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
	previousPartitions map[identifier.CustomerID]configurer.Partition
	// The queries with parked shards, by fingerprint.
	parkedQueries map[identifier.Fingerprint][]identifier.RequestID
	// The calls that this host sent as an owner and that were lost on servers that may have
	// crashed.
	lostCalls map[identifier.ServerID][]lostCall
	// running holds the dispatched requests that are not repeatable, by key.
	running map[deduplicator.Key]identifier.RequestID

	// The clients' requests in progress, and their attempts whose exchange has not ended;
	// an attempt may outlive its request.
	requests        map[identifier.RequestID]*request
	requestAttempts map[identifier.AttemptID]*requestAttempt
	// The time until which a delegate, a host that gathers parts, is backed off.
	delegateBackoffs map[identifier.HostID]identifier.Instant
	// The attempts in flight on each server, and how recent attempts ended.
	serverActivities map[identifier.ServerID]*serverActivity
	// This host's own budgets of extra attempts, and the credit that it may borrow.
	extraBudgets map[identifier.ServiceID]*throttler.Throttler
	credit       credit
	// splitters divide the requests of split routes among their targets.
	splitters map[declarer.RouteID]*splitter.Splitter
	// The latencies of each route's attempts, over all services.
	latenciesByRoute map[declarer.RouteID]*hedger.Hedger
	// Measurements of servers that have not been sent to control hosts yet.
	unsentTallies map[identifier.ServerID]assessor.Tally
	// Set while a measurementDue is scheduled.
	measurementScheduled bool
}

// service holds what a state has measured of one service, and the service's hedge and retry
// budgets.
type service struct {
	hedger  *hedger.Hedger
	retries throttler.Throttler
}

func newTraffic() traffic {
	return traffic{
		view:               &View{},
		queries:            map[identifier.RequestID]*query{},
		owner:              newOwner(),
		admitter:           admitter.New(QueueLimit),
		chooser:            chooser.New(),
		services:           map[identifier.ServiceID]*service{},
		plans:              map[identifier.CustomerID]*planner.Plan{},
		previousPartitions: map[identifier.CustomerID]configurer.Partition{},
		parkedQueries:      map[identifier.Fingerprint][]identifier.RequestID{},
		lostCalls:          map[identifier.ServerID][]lostCall{},
		running:            map[deduplicator.Key]identifier.RequestID{},

		requests:         map[identifier.RequestID]*request{},
		requestAttempts:  map[identifier.AttemptID]*requestAttempt{},
		delegateBackoffs: map[identifier.HostID]identifier.Instant{},
		serverActivities: map[identifier.ServerID]*serverActivity{},
		extraBudgets:     map[identifier.ServiceID]*throttler.Throttler{},
		credit:           newCredit(),
		splitters:        map[declarer.RouteID]*splitter.Splitter{},
		latenciesByRoute: map[declarer.RouteID]*hedger.Hedger{},
		unsentTallies:    map[identifier.ServerID]assessor.Tally{},
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

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
	// previousPartitions holds the partitions that a change of epoch has replaced.
	previousPartitions map[identifier.CustomerID]configurer.Partition
	// parkedQueries holds the queries with parked shards, by fingerprint.
	parkedQueries map[identifier.Fingerprint][]identifier.RequestID
	// lostCalls holds, for each server that may have crashed, the lost calls that this host sent
	// to it as its owner.
	lostCalls map[identifier.ServerID][]lostCall
	// running holds the dispatched requests that are not repeatable, by key.
	running map[deduplicator.Key]identifier.RequestID

	// requests holds the requests in progress, and requestAttempts the attempts whose exchange
	// has not ended; an attempt may outlive its request.
	requests        map[identifier.RequestName]*request
	requestAttempts map[identifier.ExchangeID]*requestAttempt
	// delegateBackoffs holds the time until which each delegate is backed off.
	delegateBackoffs map[identifier.HostID]identifier.Instant
	// serverActivities holds the attempts in flight on each server, and how recent ones ended.
	serverActivities map[identifier.ServerID]*serverActivity
	// extraBudgets holds this host's own budgets of extra attempts, by service; credit is what it
	// may borrow.
	extraBudgets map[identifier.ServiceID]*throttler.Throttler
	credit       credit
	// splitters divide the requests of split routes among their targets.
	splitters map[declarer.RouteID]*splitter.Splitter
	// latenciesByRoute holds the latencies of each route's attempts, over all services.
	latenciesByRoute map[declarer.RouteID]*hedger.Hedger
	// latenciesByDomain holds the latencies of answers that state a load, by failure domain.
	latenciesByDomain map[identifier.DomainID]*hedger.Hedger
	// unsentTallies holds the measurements of servers not yet sent to control hosts.
	unsentTallies map[identifier.ServerID]assessor.Tally
	// provenUntil is when the declaration stops to count as the newest one.
	provenUntil identifier.Instant
	// deniedUntil holds, for each customer that was denied a credit, when there is another one.
	deniedUntil map[identifier.CustomerID]identifier.Instant
	// unsentArrivals holds the attempts that servers which reject have rejected and accepted since then.
	unsentArrivals map[identifier.ServerID]arrivals
	// promptReportScheduled is set while a promptReportDue timer is scheduled.
	promptReportScheduled bool
	// loadStated holds the servers that have stated their load since the last report to control hosts.
	loadStated map[identifier.ServerID]bool
	// measurementScheduled is set while a measurementDue timer is scheduled.
	measurementScheduled bool
	// evacuated are the evacuated failure domains of the view applied last.
	evacuated []identifier.DomainID
	// returned holds when the evacuation of each failure domain ended.
	returned map[identifier.DomainID]identifier.Instant
	// coldCredits holds this host's credit for each cold server that it would like to use.
	coldCredits map[identifier.ServerID]*coldCredit
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

		requests:          map[identifier.RequestName]*request{},
		requestAttempts:   map[identifier.ExchangeID]*requestAttempt{},
		delegateBackoffs:  map[identifier.HostID]identifier.Instant{},
		serverActivities:  map[identifier.ServerID]*serverActivity{},
		extraBudgets:      map[identifier.ServiceID]*throttler.Throttler{},
		credit:            newCredit(),
		splitters:         map[declarer.RouteID]*splitter.Splitter{},
		latenciesByRoute:  map[declarer.RouteID]*hedger.Hedger{},
		latenciesByDomain: map[identifier.DomainID]*hedger.Hedger{},
		unsentTallies:     map[identifier.ServerID]assessor.Tally{},
		loadStated:        map[identifier.ServerID]bool{},
		deniedUntil:       map[identifier.CustomerID]identifier.Instant{},
		unsentArrivals:    map[identifier.ServerID]arrivals{},
		returned:          map[identifier.DomainID]identifier.Instant{},
		coldCredits:       map[identifier.ServerID]*coldCredit{},
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

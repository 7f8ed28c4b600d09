package reducer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/limiter"
	"github.com/lagooncleat/lagooncleat/pkg/scheduler"
)

const (
	// EstimateInterval separates the publications of the estimates of queues.
	EstimateInterval = 100 * identifier.Millisecond
	// submitterTerm is how long a host that has submitted work hears of the queue.
	submitterTerm = identifier.Second
	// maxSubmitters bounds the hosts that hear of one server's queue without a result.
	maxSubmitters = 64
	// maxPublished bounds the estimates of one publication; the others wait for the next.
	maxPublished = 64
)

// account is the owner's account of one backend server.
type account struct {
	queue     *scheduler.Scheduler[AttemptSubmitted]
	flights   map[identifier.AttemptID]*flight
	limiter   *limiter.Limiter
	estimator *estimator.Estimator
	// submitters are hosts that submitted work of late.
	submitters map[identifier.HostID]*submitter
	// review is when the queue is looked at next.
	review identifier.Instant
	// waited is set when the latest publication showed jobs that wait.
	waited bool
	// floors are the highest floors of the customers seen under a configuration.
	floors        [identifier.RankCount]identifier.Ratio
	configuration identifier.Version
}

// submitter is a host that submitted work to a server.
type submitter struct {
	// submitted is when it last did, told when the queue was last published to it.
	submitted identifier.Instant
	told      identifier.Instant
}

// flight is a job that holds a slot.
type flight struct {
	job       *job
	started   identifier.Instant
	cancelled bool
}

// account returns the account of a server, a new one if there is none.
func (s *State) account(id identifier.ServerID) *account {
	o := &s.traffic.owner
	a, ok := o.accounts[id]
	if !ok {
		a = &account{
			queue:      scheduler.New[AttemptSubmitted](QueueLimit),
			flights:    map[identifier.AttemptID]*flight{},
			limiter:    limiter.New(),
			estimator:  estimator.New(),
			submitters: map[identifier.HostID]*submitter{},
			review:     identifier.Never,
		}
		if cautious := max(o.cautious, o.ownerships[id].cautious); s.now < cautious {
			a.limiter.Restrict(cautious)
		}
		o.accounts[id] = a
	}
	return a
}

// dropIdle forgets the account of a server that this host does not own once
// nothing is in flight there.
func (s *State) dropIdle(id identifier.ServerID, a *account) {
	server, ok := s.traffic.view.Servers[id]
	if (!ok || server.Owner != s.parameters.Host) && len(a.flights) == 0 && a.queue.Empty() {
		delete(s.traffic.owner.accounts, id)
	}
}

// raiseFloor takes the floor of the attempt's customer into account: of all
// customers that share the server, the highest floor counts.
func (a *account) raiseFloor(v *View, e AttemptSubmitted) {
	if a.configuration != v.Configuration {
		a.configuration = v.Configuration
		a.floors = [identifier.RankCount]identifier.Ratio{}
	}
	policy, ok := v.Policies[e.Customer]
	if !ok || policy.Limits[e.Rank].Floor <= a.floors[e.Rank] {
		return
	}
	a.floors[e.Rank] = policy.Limits[e.Rank].Floor
	a.queue.SetFloor(e.Rank, a.floors[e.Rank])
}

// spend records the slot time of a call that has ended.
func (a *account) spend(now identifier.Instant, f *flight, complete bool) {
	span := now.Since(f.started)
	a.queue.Spend(f.job.Rank, f.job.Cost, span)
	a.estimator.Spend(now, f.job.Rank, span, complete)
}

// flightsInOrder returns the attempts in flight in order of request and sequence.
func (a *account) flightsInOrder() []identifier.AttemptID {
	return slices.SortedFunc(maps.Keys(a.flights), func(x, y identifier.AttemptID) int {
		return cmp.Or(cmp.Compare(x.Request, y.Request), cmp.Compare(x.Sequence, y.Sequence))
	})
}

// estimate returns how soon the server gets to new work.
func (s *State) estimate(id identifier.ServerID, a *account) estimator.Estimate {
	var slots identifier.Slots
	if server, ok := s.traffic.view.Servers[id]; ok {
		slots = server.Slots
	}
	var backlog [identifier.RankCount]int
	var floors [identifier.RankCount]identifier.Ratio
	for r := range identifier.Rank(identifier.RankCount) {
		backlog[r] = a.queue.Length(r)
		floors[r] = a.queue.Floor(r)
	}
	return a.estimator.Estimate(s.now, a.limiter.Limit(s.now, slots), backlog, floors)
}

func (s *State) schedulePublication() {
	o := &s.traffic.owner
	if o.publishing {
		return
	}
	o.publishing = true
	s.schedule(s.now.Add(EstimateInterval), estimateDue{})
}

// noteSubmitter notes that a host has submitted work.
func (a *account) noteSubmitter(now identifier.Instant, host identifier.HostID) {
	if known, ok := a.submitters[host]; ok {
		known.submitted = now
		return
	}
	if len(a.submitters) < maxSubmitters {
		a.submitters[host] = &submitter{submitted: now}
	}
}

// forgetSubmitters drops the hosts that have submitted nothing for a while.
func (a *account) forgetSubmitters(now identifier.Instant) {
	for host, known := range a.submitters {
		if now.Since(known.submitted) > submitterTerm {
			delete(a.submitters, host)
		}
	}
}

// notice is an estimate that is due to a host.
type notice struct {
	host   identifier.HostID
	server identifier.ServerID
	told   identifier.Instant
}

// publishEstimates tells the hosts that submitted work of late about the queues that
// have jobs waiting or had at the last publication; those told longest ago go first. Results
// carry estimates too, but only to the state that they belong to.
func (s *State) publishEstimates() {
	o := &s.traffic.owner
	o.publishing = false
	var notices []notice
	for _, id := range sortedKeys(o.accounts) {
		a := o.accounts[id]
		a.forgetSubmitters(s.now)
		if !a.queue.Empty() || a.waited {
			notices = append(notices, a.notices(id)...)
		}
		a.waited = !a.queue.Empty()
		if len(a.submitters) > 0 {
			s.schedulePublication()
		}
	}
	slices.SortStableFunc(notices, func(x, y notice) int { return cmp.Compare(x.told, y.told) })
	s.sendNotices(notices[:min(len(notices), maxPublished)])
}

// notices returns what is due to the submitters of a server, in order of host.
func (a *account) notices(id identifier.ServerID) []notice {
	var notices []notice
	for _, host := range sortedKeys(a.submitters) {
		notices = append(notices, notice{host: host, server: id, told: a.submitters[host].told})
	}
	return notices
}

// sendNotices sends each host its estimates in one event.
func (s *State) sendNotices(notices []notice) {
	updates := map[identifier.HostID][]ServerEstimate{}
	for _, n := range notices {
		a := s.traffic.owner.accounts[n.server]
		a.submitters[n.host].told = s.now
		updates[n.host] = append(updates[n.host], ServerEstimate{Server: n.server, Estimate: s.estimate(n.server, a)})
	}
	for _, host := range sortedKeys(updates) {
		s.emit(Send{To: host, Event: QueuesEstimated{Servers: updates[host]}})
	}
}

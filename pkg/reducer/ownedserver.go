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
	// EstimateInterval is the interval between publications of queue estimates.
	EstimateInterval = 100 * identifier.Millisecond
	// submitterRetention is how long a host is sent estimates of a queue after it last submitted work.
	submitterRetention = identifier.Second
	// maxSubmitters limits the hosts that are sent published estimates of one server's queue.
	maxSubmitters = 64
	// maxPublishedEstimates limits the estimates of one publication; the rest wait for the next one.
	maxPublishedEstimates = 64
)

// ownedServer is the owner's state for one backend server: its queue, calls and limits.
type ownedServer struct {
	queue     *scheduler.Scheduler[AttemptSubmitted]
	inFlight  map[identifier.AttemptID]*activeCall
	limiter   *limiter.Limiter
	estimator *estimator.Estimator
	// submitters are the hosts that submitted work recently.
	submitters map[identifier.HostID]*submitter
	// nextCheck is when the queue is checked next; Never if no check is scheduled.
	nextCheck identifier.Instant
	// hadBacklog is set if attempts were waiting at the latest publication.
	hadBacklog bool
	// floors holds, for each rank, the highest floor of the customers that have submitted attempts
	// under the version in the field configuration.
	floors        [identifier.RankCount]identifier.Ratio
	configuration identifier.Version
}

// submitter is a host that submitted work to a server.
type submitter struct {
	// submitted is when the host last submitted work, and notified when it was last sent a
	// published estimate.
	submitted identifier.Instant
	notified  identifier.Instant
}

// activeCall is the call of an attempt that holds a slot.
type activeCall struct {
	job       *job
	started   identifier.Instant
	cancelled bool
}

// ownedServer returns the state of a server and creates it if there is none.
func (s *State) ownedServer(id identifier.ServerID) *ownedServer {
	o := &s.traffic.owner
	sv, ok := o.servers[id]
	if !ok {
		sv = &ownedServer{
			queue:      scheduler.New[AttemptSubmitted](QueueLimit),
			inFlight:   map[identifier.AttemptID]*activeCall{},
			limiter:    limiter.New(),
			estimator:  estimator.New(),
			submitters: map[identifier.HostID]*submitter{},
			nextCheck:  identifier.Never,
		}
		if until := max(o.restrictedUntil, o.ownerships[id].restrictedUntil); s.now < until {
			sv.limiter.Restrict(until)
		}
		o.servers[id] = sv
	}
	return sv
}

// removeIfIdle removes the state of a server that this host does not own if nothing is
// queued or in flight there.
func (s *State) removeIfIdle(id identifier.ServerID, sv *ownedServer) {
	server, ok := s.traffic.view.Servers[id]
	if (!ok || server.Owner != s.parameters.Host) && len(sv.inFlight) == 0 && sv.queue.Empty() {
		delete(s.traffic.owner.servers, id)
	}
}

// raiseFloor raises the rank's floor to that of the attempt's customer if it is higher: the
// highest floor of all customers that share the server applies.
func (sv *ownedServer) raiseFloor(v *View, e AttemptSubmitted) {
	if sv.configuration != v.Configuration {
		sv.configuration = v.Configuration
		sv.floors = [identifier.RankCount]identifier.Ratio{}
	}
	policy, ok := v.Policies[e.Customer]
	if !ok || policy.Ranks[e.Rank].Floor <= sv.floors[e.Rank] {
		return
	}
	sv.floors[e.Rank] = policy.Ranks[e.Rank].Floor
	sv.queue.SetFloor(e.Rank, sv.floors[e.Rank])
}

// recordSlotTime records the slot time of a call that has ended.
func (sv *ownedServer) recordSlotTime(now identifier.Instant, c *activeCall, complete bool) {
	duration := now.Since(c.started)
	sv.queue.RecordSlotTime(c.job.Rank, c.job.Cost, duration)
	sv.estimator.RecordCall(now, c.job.Rank, duration, complete)
}

// sortedInFlight returns the attempts in flight, ordered by request and sequence.
func (sv *ownedServer) sortedInFlight() []identifier.AttemptID {
	return slices.SortedFunc(maps.Keys(sv.inFlight), func(x, y identifier.AttemptID) int {
		return cmp.Or(cmp.Compare(x.Request, y.Request), cmp.Compare(x.Sequence, y.Sequence))
	})
}

// estimate returns the queue estimate of the server.
func (s *State) estimate(id identifier.ServerID, sv *ownedServer) estimator.Estimate {
	var slots identifier.Slots
	if server, ok := s.traffic.view.Servers[id]; ok {
		slots = server.Slots
	}
	var backlog [identifier.RankCount]int
	var floors [identifier.RankCount]identifier.Ratio
	for r := range identifier.Rank(identifier.RankCount) {
		backlog[r] = sv.queue.Length(r)
		floors[r] = sv.queue.Floor(r)
	}
	return sv.estimator.Estimate(s.now, sv.limiter.Limit(s.now, slots), backlog, floors)
}

func (s *State) schedulePublication() {
	o := &s.traffic.owner
	if o.publishing {
		return
	}
	o.publishing = true
	s.schedule(s.now.Add(EstimateInterval), estimateDue{})
}

// recordSubmitter records that a host has submitted work.
func (sv *ownedServer) recordSubmitter(now identifier.Instant, host identifier.HostID) {
	if sub, ok := sv.submitters[host]; ok {
		sub.submitted = now
		return
	}
	if len(sv.submitters) < maxSubmitters {
		sv.submitters[host] = &submitter{submitted: now}
	}
}

// expireSubmitters removes the hosts that have submitted no work for submitterRetention.
func (sv *ownedServer) expireSubmitters(now identifier.Instant) {
	for host, sub := range sv.submitters {
		if now.Since(sub.submitted) > submitterRetention {
			delete(sv.submitters, host)
		}
	}
}

// estimateUpdate is an estimate that is due to be sent to a host.
type estimateUpdate struct {
	host     identifier.HostID
	server   identifier.ServerID
	notified identifier.Instant
}

// publishEstimates sends recent submitters the estimates of queues in which attempts wait or
// waited at the last publication. Hosts that were notified longest ago come first. Results
// carry estimates too, but only to the traffic state that the attempt belongs to.
func (s *State) publishEstimates() {
	o := &s.traffic.owner
	o.publishing = false
	var updates []estimateUpdate
	for _, id := range sortedKeys(o.servers) {
		sv := o.servers[id]
		sv.expireSubmitters(s.now)
		if !sv.queue.Empty() || sv.hadBacklog {
			updates = append(updates, sv.pendingUpdates(id)...)
		}
		sv.hadBacklog = !sv.queue.Empty()
		if len(sv.submitters) > 0 {
			s.schedulePublication()
		}
	}
	slices.SortStableFunc(updates, func(x, y estimateUpdate) int { return cmp.Compare(x.notified, y.notified) })
	s.sendEstimates(updates[:min(len(updates), maxPublishedEstimates)])
}

// pendingUpdates returns the updates due to the submitters of a server, ordered by host.
func (sv *ownedServer) pendingUpdates(id identifier.ServerID) []estimateUpdate {
	var updates []estimateUpdate
	for _, host := range sortedKeys(sv.submitters) {
		updates = append(updates, estimateUpdate{host: host, server: id, notified: sv.submitters[host].notified})
	}
	return updates
}

// sendEstimates sends each host its estimates in one event.
func (s *State) sendEstimates(pending []estimateUpdate) {
	updates := map[identifier.HostID][]ServerEstimate{}
	for _, u := range pending {
		sv := s.traffic.owner.servers[u.server]
		sv.submitters[u.host].notified = s.now
		updates[u.host] = append(updates[u.host], ServerEstimate{Server: u.server, Estimate: s.estimate(u.server, sv)})
	}
	for _, host := range sortedKeys(updates) {
		s.emit(Send{To: host, Event: QueuesEstimated{Servers: updates[host]}})
	}
}

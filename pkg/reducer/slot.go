package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/limiter"
	"github.com/lagooncleat/lagooncleat/pkg/scheduler"
)

const (
	// QueueLimit limits the queued attempts of one rank for one server.
	QueueLimit = 512
	// overcommitBacklog is the number of queued urgent attempts per slot at which the server may
	// be sent one more call than it has slots.
	overcommitBacklog = 2
)

// Invariants of owners.
const (
	// SlotsInvariant requires that an owner never has more calls in flight on a server than
	// its slots plus the extra call that may wait at the server.
	SlotsInvariant Invariant = "calls-within-slots"
	// BalanceInvariant requires that each call holds one slot until it ends.
	BalanceInvariant Invariant = "calls-balance"
	// FloorInvariant requires that no rank waits much longer than its floor allows.
	FloorInvariant Invariant = "no-rank-starves"
)

// owner is the part of a traffic state that assigns the slots of the servers that this
// host owns.
type owner struct {
	servers    map[identifier.ServerID]*ownedServer
	ownerships map[identifier.ServerID]ownership
	// confirmedUntil is the time until which no other host takes over this host's servers.
	confirmedUntil identifier.Instant
	// restrictedUntil is the instant until which calls of previous owners may still run on any server.
	restrictedUntil identifier.Instant
	// calls counts the calls in flight on all servers.
	calls int
	// publishing is set while the next publication of estimates is scheduled.
	publishing bool
}

func newOwner() owner {
	return owner{
		servers:    map[identifier.ServerID]*ownedServer{},
		ownerships: map[identifier.ServerID]ownership{},
	}
}

func (s *State) reduceSlot(event SlotEvent) {
	switch e := event.(type) {
	case AttemptSubmitted:
		s.enqueue(e)
	case AttemptCancelled:
		s.handleCancelled(e)
	case CallServed:
		s.handleCallServed(e)
	case CallRefused:
		s.handleCallRefused(e)
	case CallLost:
		s.recordLoss(e)
		s.handleCallLost(e)
	case LeaseRenewed:
		s.renewServer(e)
	}
}

// enqueue accepts an attempt if this host owns the server and may give it new work.
func (s *State) enqueue(e AttemptSubmitted) {
	if _, ok := s.owns(e.Server); !ok || !s.ownershipConfirmed() {
		s.refuseAttempt(e, RefusedNotOwner)
		return
	}
	sv := s.ownedServer(e.Server)
	if _, ok := sv.inFlight[e.Attempt]; ok {
		return
	}
	sv.recordSubmitter(s.now, e.From)
	sv.raiseFloor(s.traffic.view, e)
	deadline := s.now.Add(e.Remaining)
	j := &job{ID: e.Attempt, Rank: e.Rank, Deadline: deadline, Payload: e}
	if !sv.queue.Push(j) {
		s.refuseAttempt(e, RefusedOverloaded)
		return
	}
	s.dispatchQueue(e.Server)
	s.schedulePublication()
}

// dispatchQueue refuses the queued attempts that have expired, assigns free slots to the
// others, and schedules the next check of the queue.
func (s *State) dispatchQueue(id identifier.ServerID) {
	sv, ok := s.traffic.owner.servers[id]
	if !ok || sv.queue.Empty() {
		return
	}
	for j := sv.queue.Expire(s.now); j != nil; j = sv.queue.Expire(s.now) {
		s.refuseAttempt(j.Payload, RefusedExpired)
	}
	server, ok := s.owns(id)
	if !ok {
		s.refuseQueue(sv)
		return
	}
	if !s.ownershipConfirmed() {
		return
	}
	limit := sv.limiter.Limit(s.now, server.Slots)
	for {
		rank, ok := sv.queue.NextRank()
		if !ok || len(sv.inFlight) >= limit+s.overcommit(server, sv, rank) {
			break
		}
		j := sv.queue.Next()
		if s.mustHoldBack(sv, j) {
			s.refuseAttempt(j.Payload, RefusedSuspect)
			continue
		}
		s.startCall(server, sv, j)
	}
	s.scheduleQueueCheck(server, sv)
}

// overcommit returns how many calls beyond its slots the server may be sent. In a flood of
// urgent work one call waits at the server itself, so that no slot is idle during the round
// trip of a result and the next call. Work of other ranks is not sent early, since urgent
// work may arrive before a slot is free.
func (s *State) overcommit(server *Server, sv *ownedServer, r identifier.Rank) int {
	if r != identifier.Urgent || sv.queue.Length(r) < overcommitBacklog*int(server.Slots) {
		return 0
	}
	return sv.limiter.ExtraCalls(s.now)
}

// startCall assigns a slot to an attempt and sends the call.
func (s *State) startCall(server *Server, sv *ownedServer, j *job) {
	sv.inFlight[j.ID] = &activeCall{job: j, started: s.now}
	s.traffic.owner.calls++
	s.checkCallInvariants(server, sv)
	e := j.Payload
	s.emit(Call{
		Server:      e.Server,
		Address:     server.Address,
		Connections: server.Connections,
		Attempt:     e.Attempt,
		Customer:    e.Customer,
		Work:        e.Work,
		Deadline:    j.Deadline,
		Snapshot:    e.Snapshot,
		Range:       e.Range,
		Body:        e.Body,
	})
}

// checkCallInvariants checks the invariants of a call that is about to start.
func (s *State) checkCallInvariants(server *Server, sv *ownedServer) {
	id := string(server.Server)
	s.require(len(sv.inFlight) <= int(server.Slots)+limiter.MaxExtraCalls, SlotsInvariant, id)
	_, owned := s.owns(server.Server)
	s.require(owned && s.ownershipConfirmed(), LeaseInvariant, id)
	for r := range identifier.Rank(identifier.RankCount) {
		s.require(!sv.queue.Starved(r), FloorInvariant, id+" "+r.String())
	}
}

// scheduleQueueCheck schedules a check of the queue for when its earliest deadline passes, the
// lease lapses or the limit of calls increases.
func (s *State) scheduleQueueCheck(server *Server, sv *ownedServer) {
	if sv.queue.Empty() {
		return
	}
	next := min(sv.queue.NextDeadline(), s.leaseExpiry(server), sv.limiter.NextGrowth(s.now))
	if next < sv.nextCheck {
		sv.nextCheck = next
		s.schedule(next, queueCheckDue{server: server.Server, at: next})
	}
}

// checkQueue handles a scheduled check of a queue. It does nothing if an earlier check has
// replaced it.
func (s *State) checkQueue(t queueCheckDue) {
	sv, ok := s.traffic.owner.servers[t.server]
	if !ok || sv.nextCheck != t.at {
		return
	}
	sv.nextCheck = identifier.Never
	s.dispatchQueue(t.server)
}

// handleCancelled removes a queued attempt or cancels the call of one in flight.
func (s *State) handleCancelled(e AttemptCancelled) {
	sv, ok := s.traffic.owner.servers[e.Server]
	if !ok || sv.queue.Remove(e.Attempt) != nil {
		return
	}
	if c, ok := sv.inFlight[e.Attempt]; ok {
		s.cancelCall(c)
	}
}

func (s *State) cancelCall(c *activeCall) {
	if c.cancelled {
		return
	}
	c.cancelled = true
	s.emit(CancelCall{Server: c.job.Payload.Server, Attempt: c.job.ID})
}

func (s *State) handleCallServed(e CallServed) {
	if sv, c := s.endCall(e.Server, e.Attempt); c != nil {
		sv.recordSlotTime(s.now, c, !c.cancelled)
		s.sendResult(c, AttemptServed{
			Attempt: e.Attempt, Server: e.Server, Snapshot: e.Snapshot, Range: e.Range, Body: e.Body,
			Estimate: s.estimate(e.Server, sv),
		})
		s.dispatchQueue(e.Server)
	}
}

// handleCallRefused frees the slot of a call that did not run. A server that sheds calls has
// fewer free slots than this host assumed, so the limit is lowered.
func (s *State) handleCallRefused(e CallRefused) {
	sv, c := s.endCall(e.Server, e.Attempt)
	if c == nil {
		return
	}
	if e.Reason == RefusedByServer {
		sv.limiter.RecordShed(s.now, len(sv.inFlight))
	}
	s.sendResult(c, AttemptRefused{
		Attempt: e.Attempt, Server: e.Server, Reason: e.Reason, Estimate: s.estimate(e.Server, sv),
	})
	s.dispatchQueue(e.Server)
}

func (s *State) handleCallLost(e CallLost) {
	if sv, c := s.endCall(e.Server, e.Attempt); c != nil {
		sv.recordSlotTime(s.now, c, false)
		s.sendResult(c, AttemptLost{Attempt: e.Attempt, Server: e.Server})
		s.dispatchQueue(e.Server)
	}
}

// endCall frees the slot of a call. The returned call is nil if it holds no slot.
func (s *State) endCall(id identifier.ServerID, attempt identifier.AttemptID) (*ownedServer, *activeCall) {
	sv, ok := s.traffic.owner.servers[id]
	if !ok {
		return nil, nil
	}
	c, ok := sv.inFlight[attempt]
	if !ok {
		return sv, nil
	}
	delete(sv.inFlight, attempt)
	s.traffic.owner.calls--
	s.removeIfIdle(id, sv)
	return sv, c
}

// sendResult sends the result of an attempt to its submitter unless the attempt was cancelled.
func (s *State) sendResult(c *activeCall, result QueryEvent) {
	if !c.cancelled {
		s.emit(Send{To: c.job.Payload.From, Event: result})
	}
}

func (s *State) refuseAttempt(e AttemptSubmitted, reason RefusalReason) {
	refused := AttemptRefused{Attempt: e.Attempt, Server: e.Server, Reason: reason}
	if sv, ok := s.traffic.owner.servers[e.Server]; ok {
		refused.Estimate = s.estimate(e.Server, sv)
	}
	s.emit(Send{To: e.From, Event: refused})
}

// refuseQueue refuses all queued attempts of a server that this host may no longer send work to.
func (s *State) refuseQueue(sv *ownedServer) {
	for _, j := range sv.queue.Select(func(*job) bool { return true }) {
		sv.queue.Remove(j.ID)
		s.emit(Send{To: j.Payload.From, Event: AttemptRefused{
			Attempt: j.ID, Server: j.Payload.Server, Reason: RefusedNotOwner,
		}})
	}
}

// applyView applies a new view. It refuses queued attempts of servers that this host may no
// longer send work to, ends the attempts whose owner is gone and drops those whose submitter is
// gone, and repeats the permit requests whose arbiter is gone.
func (s *State) applyView(v *View) {
	if _, ok := s.parameters.Duty.(EntryDuty); ok {
		if v.Configuration != s.traffic.view.Configuration {
			// Customers may have other quotas now, or be gone.
			clear(s.traffic.deniedUntil)
		}
		s.traffic.view = v
		s.applyFleet(v.Fleet)
		return
	}
	s.updateOwnerships(s.traffic.view, v)
	s.savePreviousPartitions(v)
	s.traffic.view = v
	s.pruneServers(v)
	s.detectCrashes()
	o := &s.traffic.owner
	calls := 0
	for _, id := range sortedKeys(o.servers) {
		sv := o.servers[id]
		calls += len(sv.inFlight)
		s.dispatchQueue(id)
		s.removeIfIdle(id, sv)
	}
	s.require(calls == o.calls, BalanceInvariant, "calls in flight")
	s.traffic.admitter.Retain(func(id identifier.ServerID) bool { return v.Servers[id] != nil })
	live := map[identifier.HostID]bool{s.parameters.Host: true}
	for _, h := range v.Hosts {
		live[h.ID] = true
	}
	for _, h := range v.Leaving {
		live[h] = true
	}
	s.failAttemptsAt(func(owner identifier.HostID) bool { return !live[owner] })
	s.repeatPermitRequests(func(arbiter identifier.HostID) bool { return !live[arbiter] })
	s.dropAttemptsFrom(func(submitter identifier.HostID) bool { return !live[submitter] })
}

// dropAttemptsFrom drops the attempts of submitters that are gone. Queued attempts are removed;
// those in flight are cancelled if they are repeatable.
func (s *State) dropAttemptsFrom(gone func(submitter identifier.HostID) bool) {
	for _, id := range sortedKeys(s.traffic.owner.servers) {
		sv := s.traffic.owner.servers[id]
		for _, j := range sv.queue.Select(func(j *job) bool { return gone(j.Payload.From) }) {
			sv.queue.Remove(j.ID)
		}
		for _, attempt := range sv.sortedInFlight() {
			c := sv.inFlight[attempt]
			if gone(c.job.Payload.From) && c.job.Payload.Repeatable {
				s.cancelCall(c)
			}
		}
	}
}

// job is an attempt that waits for a slot or holds one.
type job = scheduler.Job[AttemptSubmitted]

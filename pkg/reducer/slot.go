package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/limiter"
	"github.com/lagooncleat/lagooncleat/pkg/scheduler"
)

const (
	// QueueLimit bounds the jobs of one rank that wait for one server.
	QueueLimit = 512
	// overcommitBacklog is how many urgent jobs for each slot must wait before one more
	// call than slots is made.
	overcommitBacklog = 2
)

// Invariants of the owner's side.
const (
	// SlotsInvariant says that an owner never has more calls in flight on a server than
	// its slots and the one that may wait at the server.
	SlotsInvariant Invariant = "calls-within-slots"
	// BalanceInvariant says that each call holds one slot until it ends.
	BalanceInvariant Invariant = "calls-balance"
	// FloorInvariant says that no rank waits for much longer than its floor allows.
	FloorInvariant Invariant = "no-rank-starves"
)

// owner is the part of a traffic state that gives out the slots of the servers
// that this host owns.
type owner struct {
	accounts   map[identifier.ServerID]*account
	ownerships map[identifier.ServerID]ownership
	// until is when the other hosts may take this host's servers over.
	until identifier.Instant
	// cautious is until when calls of previous owners may still run on any server.
	cautious identifier.Instant
	// calls counts the calls in flight on all servers.
	calls int
	// publishing is set while the next publication of estimates is scheduled.
	publishing bool
}

func newOwner() owner {
	return owner{
		accounts:   map[identifier.ServerID]*account{},
		ownerships: map[identifier.ServerID]ownership{},
	}
}

func (s *State) reduceSlot(event SlotEvent) {
	switch e := event.(type) {
	case AttemptSubmitted:
		s.enqueue(e)
	case AttemptCancelled:
		s.cancel(e)
	case CallServed:
		s.endServed(e)
	case CallRefused:
		s.endRefused(e)
	case CallLost:
		s.noteLoss(e)
		s.endLost(e)
	case LeaseRenewed:
		s.renewServer(e)
	}
}

// enqueue accepts an attempt if this host owns the server and may give it new work.
func (s *State) enqueue(e AttemptSubmitted) {
	if _, ok := s.owns(e.Server); !ok || !s.confirmed() {
		s.refuse(e, RefusedNotOwner)
		return
	}
	a := s.account(e.Server)
	if _, ok := a.flights[e.Attempt]; ok {
		return
	}
	a.noteSubmitter(s.now, e.From)
	a.raiseFloor(s.traffic.view, e)
	deadline := s.now.Add(e.Remaining)
	j := &job{ID: e.Attempt, Rank: e.Rank, Deadline: deadline, Payload: e}
	if !a.queue.Push(j) {
		s.refuse(e, RefusedOverloaded)
		return
	}
	s.dispatch(e.Server)
	s.schedulePublication()
}

// dispatch refuses the queued attempts that have expired, gives free slots to
// the others, and makes sure that the queue is looked at again in time.
func (s *State) dispatch(id identifier.ServerID) {
	a, ok := s.traffic.owner.accounts[id]
	if !ok || a.queue.Empty() {
		return
	}
	for j := a.queue.Expire(s.now); j != nil; j = a.queue.Expire(s.now) {
		s.refuse(j.Payload, RefusedExpired)
	}
	server, ok := s.owns(id)
	if !ok {
		s.refuseQueue(a)
		return
	}
	if !s.confirmed() {
		return
	}
	limit := a.limiter.Limit(s.now, server.Slots)
	for {
		rank, ok := a.queue.NextRank()
		if !ok || len(a.flights) >= limit+s.overcommit(server, a, rank) {
			break
		}
		j := a.queue.Next()
		if s.holdsBack(a, j) {
			s.refuse(j.Payload, RefusedSuspect)
			continue
		}
		s.call(server, a, j)
	}
	s.scheduleReview(server, a)
}

// overcommit returns how many more calls than slots the server is given: in a flood of
// urgent work, one waits at the server itself, so that no slot stands free while a
// result and the next call are on their way. Work of other ranks is not committed
// early, since urgent work may come before a slot is free.
func (s *State) overcommit(server *Server, a *account, r identifier.Rank) int {
	if r != identifier.Urgent || a.queue.Length(r) < overcommitBacklog*int(server.Slots) {
		return 0
	}
	return a.limiter.Extra(s.now)
}

// call gives a slot to a job.
func (s *State) call(server *Server, a *account, j *job) {
	a.flights[j.ID] = &flight{job: j, started: s.now}
	s.traffic.owner.calls++
	s.requireCall(server, a)
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

// requireCall checks the invariants of a call that is about to start.
func (s *State) requireCall(server *Server, a *account) {
	id := string(server.Server)
	s.require(len(a.flights) <= int(server.Slots)+limiter.MaxExtra, SlotsInvariant, id)
	_, owned := s.owns(server.Server)
	s.require(owned && s.confirmed(), LeaseInvariant, id)
	for r := range identifier.Rank(identifier.RankCount) {
		s.require(!a.queue.Starved(r), FloorInvariant, id+" "+r.String())
	}
}

// scheduleReview makes the queue be looked at when its earliest deadline comes,
// the lease lapses or the bound on calls grows.
func (s *State) scheduleReview(server *Server, a *account) {
	if a.queue.Empty() {
		return
	}
	next := min(a.queue.NextDeadline(), s.leaseOf(server), a.limiter.NextGrowth(s.now))
	if next < a.review {
		a.review = next
		s.schedule(next, slotDue{server: server.Server, at: next})
	}
}

// reviewSlots looks at a queue again; a review that an earlier one replaced does nothing.
func (s *State) reviewSlots(t slotDue) {
	a, ok := s.traffic.owner.accounts[t.server]
	if !ok || a.review != t.at {
		return
	}
	a.review = identifier.Never
	s.dispatch(t.server)
}

// cancel drops a queued attempt, or cancels the call of one in flight.
func (s *State) cancel(e AttemptCancelled) {
	a, ok := s.traffic.owner.accounts[e.Server]
	if !ok || a.queue.Remove(e.Attempt) != nil {
		return
	}
	if f, ok := a.flights[e.Attempt]; ok {
		s.cancelFlight(f)
	}
}

func (s *State) cancelFlight(f *flight) {
	if f.cancelled {
		return
	}
	f.cancelled = true
	s.emit(CancelCall{Server: f.job.Payload.Server, Attempt: f.job.ID})
}

func (s *State) endServed(e CallServed) {
	if a, f := s.endFlight(e.Server, e.Attempt); f != nil {
		a.spend(s.now, f, !f.cancelled)
		s.answer(f, AttemptServed{
			Attempt: e.Attempt, Server: e.Server, Snapshot: e.Snapshot, Range: e.Range, Body: e.Body,
			Estimate: s.estimate(e.Server, a),
		})
		s.dispatch(e.Server)
	}
}

// endRefused frees the slot of a call that did not run. A server that sheds has
// fewer slots free than this host assumed.
func (s *State) endRefused(e CallRefused) {
	a, f := s.endFlight(e.Server, e.Attempt)
	if f == nil {
		return
	}
	if e.Reason == RefusedByServer {
		a.limiter.Shed(s.now, len(a.flights))
	}
	s.answer(f, AttemptRefused{
		Attempt: e.Attempt, Server: e.Server, Reason: e.Reason, Estimate: s.estimate(e.Server, a),
	})
	s.dispatch(e.Server)
}

func (s *State) endLost(e CallLost) {
	if a, f := s.endFlight(e.Server, e.Attempt); f != nil {
		a.spend(s.now, f, false)
		s.answer(f, AttemptLost{Attempt: e.Attempt, Server: e.Server})
		s.dispatch(e.Server)
	}
}

// endFlight frees the slot of a call; it returns no flight when the call holds none.
func (s *State) endFlight(id identifier.ServerID, attempt identifier.AttemptID) (*account, *flight) {
	a, ok := s.traffic.owner.accounts[id]
	if !ok {
		return nil, nil
	}
	f, ok := a.flights[attempt]
	if !ok {
		return a, nil
	}
	delete(a.flights, attempt)
	s.traffic.owner.calls--
	s.dropIdle(id, a)
	return a, f
}

// answer tells the origin how its attempt ended, unless it no longer waits.
func (s *State) answer(f *flight, result QueryEvent) {
	if !f.cancelled {
		s.emit(Send{To: f.job.Payload.From, Event: result})
	}
}

func (s *State) refuse(e AttemptSubmitted, reason RefusalReason) {
	refused := AttemptRefused{Attempt: e.Attempt, Server: e.Server, Reason: reason}
	if a, ok := s.traffic.owner.accounts[e.Server]; ok {
		refused.Estimate = s.estimate(e.Server, a)
	}
	s.emit(Send{To: e.From, Event: refused})
}

// refuseQueue refuses all queued attempts of a server that this host no longer gives work to.
func (s *State) refuseQueue(a *account) {
	for _, j := range a.queue.Select(func(*job) bool { return true }) {
		a.queue.Remove(j.ID)
		s.emit(Send{To: j.Payload.From, Event: AttemptRefused{
			Attempt: j.ID, Server: j.Payload.Server, Reason: RefusedNotOwner,
		}})
	}
}

// adoptView takes a view into use and refuses queued attempts of servers that
// this host no longer gives work to.
func (s *State) adoptView(v *View) {
	if _, ok := s.parameters.Duty.(EntryDuty); ok {
		s.traffic.view = v
		s.adoptFleet(v.Fleet)
		return
	}
	s.adoptOwnership(s.traffic.view, v)
	s.keepPrevious(v)
	s.traffic.view = v
	s.adoptServers(v)
	s.proveCrashes()
	o := &s.traffic.owner
	flights := 0
	for _, id := range sortedKeys(o.accounts) {
		a := o.accounts[id]
		flights += len(a.flights)
		s.dispatch(id)
		s.dropIdle(id, a)
	}
	s.require(flights == o.calls, BalanceInvariant, "calls in flight")
	s.traffic.admitter.Retain(func(id identifier.ServerID) bool { return v.Servers[id] != nil })
	live := map[identifier.HostID]bool{s.parameters.Host: true}
	for _, h := range v.Hosts {
		live[h.ID] = true
	}
	for _, h := range v.Leaving {
		live[h] = true
	}
	s.loseAttempts(func(owner identifier.HostID) bool { return !live[owner] })
	s.askAgain(func(arbiter identifier.HostID) bool { return !live[arbiter] })
	s.dropWorkOf(func(origin identifier.HostID) bool { return !live[origin] })
}

// dropWorkOf drops the attempts of origins that have gone: those in the queue
// at once, and those in flight by cancelling them if they are repeatable.
func (s *State) dropWorkOf(gone func(origin identifier.HostID) bool) {
	for _, id := range sortedKeys(s.traffic.owner.accounts) {
		a := s.traffic.owner.accounts[id]
		for _, j := range a.queue.Select(func(j *job) bool { return gone(j.Payload.From) }) {
			a.queue.Remove(j.ID)
		}
		for _, attempt := range a.flightsInOrder() {
			f := a.flights[attempt]
			if gone(f.job.Payload.From) && f.job.Payload.Repeatable {
				s.cancelFlight(f)
			}
		}
	}
}

// job is an attempt that waits for a slot or holds one.
type job = scheduler.Job[AttemptSubmitted]

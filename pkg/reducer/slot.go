package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// SlotsInvariant says that an owner never has more calls in flight on a server than its slots.
const SlotsInvariant Invariant = "calls-within-slots"

// slots is the owner's account of one backend server.
type slots struct {
	queues [identifier.RankCount][]*job
	flying map[identifier.AttemptID]*job
}

// job is an attempt that waits for a slot or holds one.
type job struct {
	AttemptSubmitted
	deadline  identifier.Instant
	cancelled bool
}

func (s *State) reduceSlot(event SlotEvent) {
	switch e := event.(type) {
	case AttemptSubmitted:
		s.enqueue(e)
	case AttemptCancelled:
		s.cancel(e)
	case CallServed:
		s.endCall(e.Server, e.Attempt, AttemptServed{
			Attempt: e.Attempt, Server: e.Server, Snapshot: e.Snapshot, Range: e.Range, Body: e.Body,
		})
	case CallRefused:
		s.endCall(e.Server, e.Attempt, AttemptRefused{Attempt: e.Attempt, Server: e.Server, Reason: e.Reason})
	case CallLost:
		s.noteLoss(e)
		s.endCall(e.Server, e.Attempt, AttemptLost{Attempt: e.Attempt, Server: e.Server})
	}
}

// enqueue accepts an attempt if this host owns the server and may give it new work.
func (s *State) enqueue(e AttemptSubmitted) {
	server, ok := s.traffic.view.Servers[e.Server]
	if !ok || server.Owner != s.parameters.Host || server.State == leaser.Draining {
		s.refuse(e, RefusedNotOwner)
		return
	}
	account, ok := s.traffic.slots[e.Server]
	if !ok {
		account = &slots{flying: map[identifier.AttemptID]*job{}}
		s.traffic.slots[e.Server] = account
	}
	j := &job{AttemptSubmitted: e, deadline: s.now.Add(e.Remaining)}
	account.queues[e.Rank] = append(account.queues[e.Rank], j)
	s.schedule(j.deadline, jobDue{e.Server, e.Attempt})
	s.dispatch(server, account)
}

// dispatch gives free slots to the queued attempts, in order of rank, then of arrival.
func (s *State) dispatch(server *Server, account *slots) {
	for len(account.flying) < int(server.Slots) {
		j := account.next()
		if j == nil {
			return
		}
		if s.holdsBack(account, j) {
			s.refuse(j.AttemptSubmitted, RefusedSuspect)
			continue
		}
		account.flying[j.Attempt] = j
		s.require(len(account.flying) <= int(server.Slots), SlotsInvariant, string(server.Server))
		s.emit(Call{
			Server:      j.Server,
			Address:     server.Address,
			Connections: server.Connections,
			Attempt:     j.Attempt,
			Customer:    j.Customer,
			Work:        j.Work,
			Deadline:    j.deadline,
			Snapshot:    j.Snapshot,
			Range:       j.Range,
			Body:        j.Body,
		})
	}
}

// next takes the first attempt of the most urgent queue.
func (a *slots) next() *job {
	for r := range a.queues {
		if len(a.queues[r]) > 0 {
			j := a.queues[r][0]
			a.queues[r] = a.queues[r][1:]
			return j
		}
	}
	return nil
}

// take removes a queued attempt; it returns nil when the attempt is not queued.
func (a *slots) take(id identifier.AttemptID) *job {
	for r := range a.queues {
		i := slices.IndexFunc(a.queues[r], func(j *job) bool { return j.Attempt == id })
		if i >= 0 {
			j := a.queues[r][i]
			a.queues[r] = slices.Delete(a.queues[r], i, i+1)
			return j
		}
	}
	return nil
}

// cancel drops a queued attempt, or closes the call of one in flight.
func (s *State) cancel(e AttemptCancelled) {
	account, ok := s.traffic.slots[e.Server]
	if !ok || account.take(e.Attempt) != nil {
		return
	}
	if j, ok := account.flying[e.Attempt]; ok && !j.cancelled {
		j.cancelled = true
		s.emit(CancelCall{Server: e.Server, Attempt: e.Attempt})
	}
}

// endCall frees the slot of a call, reports its result and gives the slot to the next attempt.
func (s *State) endCall(id identifier.ServerID, attempt identifier.AttemptID, result QueryEvent) {
	account, ok := s.traffic.slots[id]
	if !ok {
		return
	}
	j, ok := account.flying[attempt]
	if !ok {
		return
	}
	delete(account.flying, attempt)
	if !j.cancelled {
		s.emit(Send{To: j.From, Event: result})
	}
	if server, ok := s.traffic.view.Servers[id]; ok && server.State != leaser.Draining {
		s.dispatch(server, account)
	}
}

// expireJob refuses an attempt whose deadline has passed in the queue.
func (s *State) expireJob(id identifier.ServerID, attempt identifier.AttemptID) {
	account, ok := s.traffic.slots[id]
	if !ok {
		return
	}
	if j := account.take(attempt); j != nil {
		s.refuse(j.AttemptSubmitted, RefusedExpired)
	}
}

func (s *State) refuse(e AttemptSubmitted, reason RefusalReason) {
	s.emit(Send{To: e.From, Event: AttemptRefused{Attempt: e.Attempt, Server: e.Server, Reason: reason}})
}

// adoptView takes a view into use and refuses queued attempts of servers that
// this host no longer gives work to.
func (s *State) adoptView(v *View) {
	s.keepPrevious(v)
	s.traffic.view = v
	s.adoptServers(v)
	s.proveCrashes()
	for _, id := range sortedKeys(s.traffic.slots) {
		account := s.traffic.slots[id]
		server, ok := v.Servers[id]
		if ok && server.Owner == s.parameters.Host && server.State != leaser.Draining {
			s.dispatch(server, account)
			continue
		}
		for r := range account.queues {
			for _, j := range account.queues[r] {
				s.refuse(j.AttemptSubmitted, RefusedNotOwner)
			}
			account.queues[r] = nil
		}
		if len(account.flying) == 0 {
			delete(s.traffic.slots, id)
		}
	}
	live := map[identifier.HostID]bool{s.parameters.Host: true}
	for _, h := range v.Hosts {
		live[h.ID] = true
	}
	s.loseAttempts(func(owner identifier.HostID) bool { return !live[owner] })
	s.askAgain(func(arbiter identifier.HostID) bool { return !live[arbiter] })
}

package reducer

import (
	"container/heap"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// timer is something that falls due at an instant. It is sealed; a timer whose
// object is gone by then does nothing.
type timer interface{ isTimer() }

type (
	// heartbeatDue asks control to send heartbeats.
	heartbeatDue struct{}
	// expiryDue asks control to look for lapsed leases and silent hosts.
	expiryDue struct{}
	// replicationDue asks control to run what is due in the replicated log.
	replicationDue struct{ at identifier.Instant }
	// startupDue ends a host's wait for the versions of the others.
	startupDue struct{}
	// pullDue asks control to ask for a newer configuration.
	pullDue struct{}
	// operationDue tries an operation again.
	operationDue struct{ number OperationNumber }
	// queryDue ends a query at its deadline.
	queryDue struct{ request identifier.RequestID }
	// hedgeDue hedges the slow attempts of a query; at tells it from an older timer.
	hedgeDue struct {
		request identifier.RequestID
		at      identifier.Instant
	}
	// retryDue sends the attempt that a shard of a plan waits for.
	retryDue struct {
		request identifier.RequestID
		shard   int
		replan  int
	}
	// permitDue hands on a permit to probe that has ended.
	permitDue struct{ fingerprint identifier.Fingerprint }
	// crashesDue tells the other hosts again which requests crashed servers.
	crashesDue struct{}
	// slotDue looks at a server's queue when a deadline comes or its bound grows.
	slotDue struct {
		server identifier.ServerID
		at     identifier.Instant
	}
	// estimateDue publishes the estimates of the queues.
	estimateDue struct{}
	// rosterDue asks control hosts for changes in the list of backend servers.
	rosterDue struct{}
	// measurementDue asks traffic to tell what it has measured of the servers.
	measurementDue struct{}
	// requestDue looks at a request when a hedge, a retry, its objective or its deadline
	// comes; at tells it from an older timer.
	requestDue struct {
		request identifier.RequestID
		at      identifier.Instant
	}
)

func (heartbeatDue) isTimer()   {}
func (expiryDue) isTimer()      {}
func (queryDue) isTimer()       {}
func (hedgeDue) isTimer()       {}
func (retryDue) isTimer()       {}
func (permitDue) isTimer()      {}
func (crashesDue) isTimer()     {}
func (slotDue) isTimer()        {}
func (estimateDue) isTimer()    {}
func (startupDue) isTimer()     {}
func (pullDue) isTimer()        {}
func (operationDue) isTimer()   {}
func (replicationDue) isTimer() {}
func (rosterDue) isTimer()      {}
func (measurementDue) isTimer() {}
func (requestDue) isTimer()     {}

type scheduled struct {
	at    identifier.Instant
	order uint64
	timer timer
}

// timers is a heap of scheduled timers; equal instants keep their order of scheduling.
type timers []scheduled

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(scheduled)) }

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*t = old[:len(old)-1]
	return last
}

// schedule makes the timer fall due at the instant.
func (s *State) schedule(at identifier.Instant, t timer) {
	s.order++
	heap.Push(&s.timers, scheduled{at: at, order: s.order, timer: t})
}

// fire handles every timer that has fallen due. Those that are scheduled meanwhile wait for
// the next wake-up, so that other events come between.
func (s *State) fire() {
	last := s.order
	for len(s.timers) > 0 && s.timers[0].at <= s.now && s.timers[0].order <= last {
		due := heap.Pop(&s.timers).(scheduled)
		s.reduceTimer(due.timer)
	}
}

// arm asks for a wake-up at the earliest timer, unless one is already due then.
func (s *State) arm() {
	next := identifier.Never
	if len(s.timers) > 0 {
		next = s.timers[0].at
	}
	if next == s.wake || next == identifier.Never {
		return
	}
	s.wake = next
	s.emit(Wake{At: next})
}

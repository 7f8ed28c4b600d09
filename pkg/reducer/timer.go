package reducer

import (
	"container/heap"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// timer is an action that is due at a certain time. The interface is sealed: only types of
// this package implement it. A timer whose object no longer exists when it fires does
// nothing.
type timer interface{ isTimer() }

type (
	// heartbeatDue makes control send heartbeats.
	heartbeatDue struct{}
	// expiryDue makes control remove lapsed leases and silent hosts.
	expiryDue struct{}
	// replicationDue wakes control for the next timeout of the replicated log.
	replicationDue struct{ at identifier.Instant }
	// startupDue ends a starting host's wait for the versions of other hosts.
	startupDue struct{}
	// pullDue makes control request a newer configuration.
	pullDue struct{}
	// unknownServerDue looks again for a server that withdraws and was unknown.
	unknownServerDue struct{ ticket Ticket }
	// operationDue retries an operation.
	operationDue struct{ number OperationNumber }
	// queryDue ends a query at its deadline.
	queryDue struct{ request identifier.RequestID }
	// hedgeDue hedges the slow attempts of a query. A timer for another time than the
	// query's hedgeTimer has been superseded and is ignored.
	hedgeDue struct {
		request identifier.RequestID
		at      identifier.Instant
	}
	// retryDue sends the delayed retry for one shard of a plan.
	retryDue struct {
		request identifier.RequestID
		shard   int
		replan  int
	}
	// permitDue passes an expired probe permit on to the next host that waits for it.
	permitDue struct{ fingerprint identifier.Fingerprint }
	// crashRepeatDue sends the reports of crashed servers to the other hosts again.
	crashRepeatDue struct{}
	// queueCheckDue checks a server's queue when a deadline passes, the lease lapses or the limit
	// of calls increases. It is ignored if an earlier check has superseded it.
	queueCheckDue struct {
		server identifier.ServerID
		at     identifier.Instant
	}
	// estimateDue publishes the estimates of the queues.
	estimateDue struct{}
	// notificationDue sends the changes of the server list to the subscribers.
	notificationDue struct{}
	// serverListDue requests the changes of the server list from control hosts.
	serverListDue struct{}
	// measurementDue makes traffic send its measurements of the servers to control hosts.
	measurementDue struct{}
	// creditDue asks again for the credit of a request, or refuses the request.
	creditDue struct{ request identifier.RequestID }
	// reportDue reports to the owner of quotas. It is ignored if another timer has superseded it.
	reportDue struct{ at identifier.Instant }
	// coldReportDue reports to the owner of the limits of cold servers. It is ignored if another timer has
	// superseded it.
	coldReportDue struct{ at identifier.Instant }
	// coldCreditDue returns a credit for a cold server that was not used.
	coldCreditDue struct{ server identifier.ServerID }
	// promptReportDue makes traffic report what it has borrowed before the next measurementDue.
	promptReportDue struct{}
	// rejectionRelayDue makes a control host relay the measurements of servers that reject.
	rejectionRelayDue struct{}
	// requestDue checks a request when a hedge, a retry, its answer or its deadline is due. It is
	// ignored if another timer has superseded it.
	requestDue struct {
		request identifier.RequestName
		at      identifier.Instant
	}
)

func (heartbeatDue) isTimer()      {}
func (expiryDue) isTimer()         {}
func (queryDue) isTimer()          {}
func (hedgeDue) isTimer()          {}
func (retryDue) isTimer()          {}
func (permitDue) isTimer()         {}
func (crashRepeatDue) isTimer()    {}
func (queueCheckDue) isTimer()     {}
func (estimateDue) isTimer()       {}
func (startupDue) isTimer()        {}
func (pullDue) isTimer()           {}
func (unknownServerDue) isTimer()  {}
func (operationDue) isTimer()      {}
func (replicationDue) isTimer()    {}
func (notificationDue) isTimer()   {}
func (serverListDue) isTimer()     {}
func (measurementDue) isTimer()    {}
func (promptReportDue) isTimer()   {}
func (rejectionRelayDue) isTimer() {}
func (requestDue) isTimer()        {}
func (creditDue) isTimer()         {}
func (reportDue) isTimer()         {}
func (coldReportDue) isTimer()     {}
func (coldCreditDue) isTimer()     {}

type scheduledTimer struct {
	at       identifier.Instant
	sequence uint64
	timer    timer
}

// timers is a heap of scheduled timers, ordered by time and then by order of scheduling.
type timers []scheduledTimer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(scheduledTimer)) }

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = scheduledTimer{}
	*t = old[:len(old)-1]
	return last
}

// schedule adds a timer that is due at the given time.
func (s *State) schedule(at identifier.Instant, t timer) {
	s.sequence++
	heap.Push(&s.timers, scheduledTimer{at: at, sequence: s.sequence, timer: t})
}

// fireTimers handles every timer that is due. Timers scheduled meanwhile wait for the next
// wake-up, so that other events are processed in between.
func (s *State) fireTimers() {
	last := s.sequence
	for len(s.timers) > 0 && s.timers[0].at <= s.now && s.timers[0].sequence <= last {
		due := heap.Pop(&s.timers).(scheduledTimer)
		s.reduceTimer(due.timer)
	}
}

// scheduleWake requests a wake-up at the earliest timer, unless one is already scheduled
// for that time.
func (s *State) scheduleWake() {
	next := identifier.Never
	if len(s.timers) > 0 {
		next = s.timers[0].at
	}
	if next == s.wakeAt || next == identifier.Never {
		return
	}
	s.wakeAt = next
	s.emit(Wake{At: next})
}

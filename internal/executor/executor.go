// Package executor runs the reducers of one host and executes their effects.
//
// One goroutine reduces the control state, and several others reduce the traffic states.
// Each blocks on its mailbox and one timer. The executor makes no policy decisions: it
// passes events between states, hosts, backend servers and clients.
//
// # Usage
//
//	h := executor.New(parameters, dependencies)
//	h.Start(sender)
//	outcome, err := h.Query(ctx, arrived)
//	h.Stop()
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Sender sends events to other hosts.
type Sender interface {
	Send(to identifier.HostID, event reducer.Event)
	// Reconnect replaces the connection to a host, if there is one.
	Reconnect(to identifier.HostID)
}

// Caller runs calls on backend servers.
type Caller interface {
	// Do runs a call and returns its result.
	Do(ctx context.Context, call reducer.Call, remaining identifier.Micros) reducer.SlotEvent
	// Cancel asks the backend server to end a call. Do returns soon after Cancel has returned
	// nil.
	Cancel(ctx context.Context, call reducer.Call) error
}

// Exchanger runs attempts of clients' requests on backend servers.
type Exchanger interface {
	// Start sets the function that receives the results of attempts, and the clock of their
	// deadlines.
	Start(deliver func(reducer.Event), now func() identifier.Instant)
	Exchange(e reducer.Exchange)
	// Cancel cancels an attempt. Its response may still arrive within the grace period.
	Cancel(id identifier.ExchangeID, grace identifier.Micros)
}

// Metrics records counters, histograms and service levels.
type Metrics interface {
	Count(reducer.Count)
	Observe(at identifier.Instant, o reducer.Observe)
	RecordDuration(reducer.RecordDuration)
}

// Loggers returns the loggers of subsystems.
type Loggers interface {
	Logger(reducer.Subsystem) hclog.Logger
}

// Parameters holds the settings of a Host.
type Parameters struct {
	Reducer reducer.Parameters
	// TrafficStates is the number of traffic states, each with its own goroutine. It must be
	// at least 1.
	TrafficStates int
	// Seed is the random seed from which the seed of each state is derived.
	Seed uint64
}

// Dependencies are the components with which a Host executes effects.
type Dependencies struct {
	Caller Caller
	// Exchanger is nil on hosts without reducer.EntryDuty.
	Exchanger Exchanger
	Metrics   Metrics
	Loggers   Loggers
	// Storage and Recovered give the host the control role. Both are nil without it.
	Storage Storage
	// ServerLists stores the server list. It is nil without the control role.
	ServerLists ServerListStorage
	Recovered   *reducer.LogRecovered
}

// Lease is the result of an announcement or a withdrawal.
type Lease struct {
	// Term is the duration of the lease.
	Term identifier.Micros
	// Owner is the host that owns the server. It is empty if no host does, after a withdrawal,
	// and if a later announcement has superseded this one.
	Owner identifier.HostID
	// Address is the address for the server's next announcement: that of a control host in the
	// server's failure domain, or else of this control host. It is empty on a host without
	// reducer.ControlDuty, after a withdrawal, and if the announcement was superseded.
	Address identifier.Address
	// Declined is set when the host can't guarantee that the announcement takes effect.
	Declined bool
}

// Host runs the states of one host.
type Host struct {
	parameters   Parameters
	dependencies Dependencies
	sender       Sender
	clock        clock
	control      *loop
	traffic      []*loop
	view         atomic.Pointer[reducer.View]
	permissions  atomic.Pointer[reducer.Permissions]
	group        sync.WaitGroup
	context      context.Context
	cancel       context.CancelFunc

	tickets    atomic.Uint64
	queries    *waiters[identifier.RequestID, reducer.Outcome]
	leases     *waiters[reducer.Ticket, Lease]
	operations *waiters[reducer.Ticket, reducer.ReplyOperator]
	requests   *waiters[identifier.RequestID, reducer.RequestOutcome]
	routes     *waiters[reducer.Ticket, reducer.RouteExplanation]
	stopping   atomic.Bool
	// pendingRecords is the queue of the storage goroutine.
	pendingRecords *mailbox[reducer.StoreRecords]
	// pendingServerLists is the queue of server lists to store. Only the last one is stored.
	pendingServerLists *mailbox[reducer.StoreServerList]

	// mutex guards calls, the calls in flight.
	mutex sync.Mutex
	calls map[identifier.AttemptID]inFlightCall
}

// New returns a Host. Start starts it.
func New(p Parameters, d Dependencies) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		parameters:         p,
		dependencies:       d,
		clock:              newClock(),
		context:            ctx,
		cancel:             cancel,
		queries:            newWaiters[identifier.RequestID, reducer.Outcome](),
		leases:             newWaiters[reducer.Ticket, Lease](),
		operations:         newWaiters[reducer.Ticket, reducer.ReplyOperator](),
		requests:           newWaiters[identifier.RequestID, reducer.RequestOutcome](),
		routes:             newWaiters[reducer.Ticket, reducer.RouteExplanation](),
		pendingRecords:     newMailbox[reducer.StoreRecords](),
		pendingServerLists: newMailbox[reducer.StoreServerList](),
		calls:              map[identifier.AttemptID]inFlightCall{},
	}
	h.view.Store(&reducer.View{})
	h.permissions.Store(&reducer.Permissions{})
	h.control = newLoop(h)
	for range p.TrafficStates {
		h.traffic = append(h.traffic, newLoop(h))
	}
	return h
}

// Start starts the host's goroutines. Events for other hosts are sent through the sender.
func (h *Host) Start(sender Sender) {
	h.sender = sender
	if h.dependencies.Exchanger != nil {
		h.dependencies.Exchanger.Start(h.Deliver, h.clock.now)
	}
	for i, l := range append([]*loop{h.control}, h.traffic...) {
		l.mailbox.put(reducer.Started{Seed: h.parameters.Seed + uint64(i)})
		h.group.Go(l.run)
	}
	h.control.mailbox.put(reducer.HostStarted{})
	if h.dependencies.Recovered != nil {
		h.control.mailbox.put(*h.dependencies.Recovered)
		h.group.Go(h.storeLoop)
	}
}

// Stop ends all goroutines and calls. A graceful shutdown calls Leave first.
func (h *Host) Stop() {
	h.cancel()
	h.group.Wait()
}

// Leave hands the servers that the host owns over to other hosts. It waits until no query,
// request or call has been in flight for requiredIdlePolls polls in a row, or until the
// context ends.
func (h *Host) Leave(ctx context.Context) {
	h.control.mailbox.put(reducer.HostLeaving{})
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for idlePolls := 0; idlePolls < requiredIdlePolls; {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		idlePolls++
		if h.inFlightCount() > 0 {
			idlePolls = 0
		}
	}
}

const (
	// drainPollInterval is the interval at which Leave polls for work in flight.
	drainPollInterval = 10 * time.Millisecond
	// requiredIdlePolls is the number of polls in a row that must find no work in flight.
	requiredIdlePolls = 20
)

// inFlightCount returns the number of queries, requests and calls in flight.
func (h *Host) inFlightCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.queries.count() + h.requests.count() + len(h.calls)
}

// View returns the view that the control state published last.
func (h *Host) View() *reducer.View {
	return h.view.Load()
}

// Permissions returns the permissions that the control state published last.
func (h *Host) Permissions() *reducer.Permissions {
	return h.permissions.Load()
}

// Now returns the current instant on the host's clock.
func (h *Host) Now() identifier.Instant {
	return h.clock.now()
}

// Deliver queues an event for the state that handles it. Process events go to all states.
func (h *Host) Deliver(event reducer.Event) {
	switch e := event.(type) {
	case reducer.ProcessEvent:
		for _, l := range append([]*loop{h.control}, h.traffic...) {
			l.mailbox.put(event)
		}
	case reducer.QueryEvent:
		h.trafficLoop(string(e.Key())).mailbox.put(event)
	case reducer.RequestEvent:
		h.trafficLoop(string(e.Key().Request)).mailbox.put(event)
	case reducer.SlotEvent:
		h.trafficLoop(string(e.Key())).mailbox.put(event)
	default:
		h.control.mailbox.put(event)
	}
}

// trafficLoop returns the loop of the traffic state that handles a key.
func (h *Host) trafficLoop(key string) *loop {
	return h.traffic[xxhash.Sum64String(key)%uint64(len(h.traffic))]
}

// Query runs a query and returns its outcome. If the context ends first, it abandons the
// query and returns the context's error.
func (h *Host) Query(ctx context.Context, arrived reducer.QueryArrived) (reducer.Outcome, error) {
	outcome, err := h.queries.sendAndWait(ctx, arrived.Request, func() { h.Deliver(arrived) })
	if err != nil {
		h.Deliver(reducer.QueryAbandoned{Request: arrived.Request})
	}
	return outcome, err
}

// Announce handles a backend server's announcement, which renews its lease. It returns the
// context's error if the context ends first.
func (h *Host) Announce(ctx context.Context, announced reducer.ServerAnnounced) (Lease, error) {
	announced.Ticket = h.newTicket()
	return h.leases.sendAndWait(ctx, announced.Ticket, func() { h.Deliver(announced) })
}

// newTicket returns a ticket that is unique on this host.
func (h *Host) newTicket() reducer.Ticket {
	return reducer.Ticket(h.tickets.Add(1))
}

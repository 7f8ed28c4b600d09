// Package executor runs the reducers of one entry host and carries out their effects.
//
// One goroutine reduces control state; several others reduce traffic. Each
// blocks on its mailbox and one timer. The executor holds no policy: it moves
// events between states, hosts, backend servers and callers.
//
// # Usage
//
//	h := executor.New(parameters, dependencies)
//	h.Start()
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

// Sender carries events to other entry hosts.
type Sender interface {
	Send(to identifier.HostID, event reducer.Event)
}

// Caller runs calls on backend servers.
type Caller interface {
	Do(ctx context.Context, call reducer.Call, remaining identifier.Micros) reducer.SlotEvent
	// Cancel asks the backend server to end a call; Do returns soon after it succeeds.
	Cancel(ctx context.Context, call reducer.Call) error
}

// Exchanger runs attempts of clients' requests on backend servers.
type Exchanger interface {
	// Start sets who is told how attempts end, and the clock of their deadlines.
	Start(deliver func(reducer.Event), now func() identifier.Instant)
	Exchange(e reducer.Exchange)
	// Cancel withdraws an attempt; its answer may still come within the grace.
	Cancel(id identifier.AttemptID, grace identifier.Micros)
}

// Counters counts what happens.
type Counters interface {
	Count(reducer.Count)
	Observe(at identifier.Instant, o reducer.Observe)
	RecordDuration(reducer.RecordDuration)
}

// Loggers gives the logger of a subsystem.
type Loggers interface {
	Logger(reducer.Subsystem) hclog.Logger
}

// Parameters configure a Host.
type Parameters struct {
	Reducer reducer.Parameters
	// TrafficStates is how many goroutines reduce traffic; at least 1.
	TrafficStates int
	// Seed feeds the random choices; states derive their own from it.
	Seed uint64
}

// Dependencies are what a Host carries out effects with.
type Dependencies struct {
	Caller Caller
	// Exchanger is nil on hosts without EntryDuty.
	Exchanger Exchanger
	Counters  Counters
	Loggers   Loggers
	// Storage and Recovered give the host the control role; both are nil without it.
	Storage Storage
	// ServerLists stores the list of backend servers; nil without the control role.
	ServerLists RosterStorage
	Recovered   *reducer.LogRecovered
}

// Lease is the answer to an announcement.
type Lease struct {
	Term  identifier.Micros
	Owner identifier.HostID
	// Address is where to announce next, if the host knows a better place than itself.
	Address identifier.Address
	// Declined is set when the host can't promise that the announcement takes effect.
	Declined bool
}

// Host runs the states of one entry host.
type Host struct {
	parameters   Parameters
	dependencies Dependencies
	sender       Sender
	clock        clock
	control      *loop
	traffic      []*loop
	view         atomic.Pointer[reducer.View]
	group        sync.WaitGroup
	context      context.Context
	cancel       context.CancelFunc

	tickets   atomic.Uint64
	queries   *waiters[identifier.RequestID, reducer.Outcome]
	leases    *waiters[reducer.Ticket, Lease]
	operators *waiters[reducer.Ticket, reducer.ReplyOperator]
	requests  *waiters[identifier.RequestID, reducer.RequestOutcome]
	stopping  atomic.Bool
	// stores holds what the storage goroutine is to store.
	stores *mailbox[reducer.StoreRecords]
	// rosters holds the lists of backend servers to store; the last one counts.
	rosters *mailbox[reducer.StoreServerList]

	// mutex guards calls, the calls in flight.
	mutex sync.Mutex
	calls map[identifier.AttemptID]flight
}

// New returns a Host that has not started.
func New(p Parameters, d Dependencies) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		parameters:   p,
		dependencies: d,
		clock:        newClock(),
		context:      ctx,
		cancel:       cancel,
		queries:      newWaiters[identifier.RequestID, reducer.Outcome](),
		leases:       newWaiters[reducer.Ticket, Lease](),
		operators:    newWaiters[reducer.Ticket, reducer.ReplyOperator](),
		requests:     newWaiters[identifier.RequestID, reducer.RequestOutcome](),
		stores:       newMailbox[reducer.StoreRecords](),
		rosters:      newMailbox[reducer.StoreServerList](),
		calls:        map[identifier.AttemptID]flight{},
	}
	h.view.Store(&reducer.View{})
	h.control = newLoop(h)
	for range p.TrafficStates {
		h.traffic = append(h.traffic, newLoop(h))
	}
	return h
}

// Start begins to reduce events and to send to other hosts through the sender.
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

// Stop ends all goroutines and calls. Leave comes first in a graceful shutdown.
func (h *Host) Stop() {
	h.cancel()
	h.group.Wait()
}

// Leave hands the host's servers to other hosts and waits until no query and no
// call is in flight, or the context ends.
func (h *Host) Leave(ctx context.Context) {
	h.control.mailbox.put(reducer.HostLeaving{})
	poll := time.NewTicker(idlePollInterval)
	defer poll.Stop()
	for quiet := 0; quiet < quietPolls; {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		quiet++
		if h.inFlight() > 0 {
			quiet = 0
		}
	}
}

const (
	// idlePollInterval separates the looks at what is in flight during a shutdown.
	idlePollInterval = 10 * time.Millisecond
	// quietPolls is how many looks in a row must find nothing in flight.
	quietPolls = 20
)

func (h *Host) inFlight() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.queries.count() + h.requests.count() + len(h.calls)
}

// View returns what control knew last.
func (h *Host) View() *reducer.View {
	return h.view.Load()
}

// Now returns the host's clock.
func (h *Host) Now() identifier.Instant {
	return h.clock.now()
}

// Deliver gives an event to the state that it belongs to; process events go to all states.
func (h *Host) Deliver(event reducer.Event) {
	switch e := event.(type) {
	case reducer.ProcessEvent:
		for _, l := range append([]*loop{h.control}, h.traffic...) {
			l.mailbox.put(event)
		}
	case reducer.QueryEvent:
		h.trafficLoop(string(e.Key())).mailbox.put(event)
	case reducer.RequestEvent:
		h.trafficLoop(string(e.Key())).mailbox.put(event)
	case reducer.SlotEvent:
		h.trafficLoop(string(e.Key())).mailbox.put(event)
	default:
		h.control.mailbox.put(event)
	}
}

func (h *Host) trafficLoop(key string) *loop {
	return h.traffic[xxhash.Sum64String(key)%uint64(len(h.traffic))]
}

// Query runs a query and returns how it ended. It returns the context's error
// when the caller gives up first.
func (h *Host) Query(ctx context.Context, arrived reducer.QueryArrived) (reducer.Outcome, error) {
	outcome, err := h.queries.ask(ctx, arrived.Request, func() { h.Deliver(arrived) })
	if err != nil {
		h.Deliver(reducer.QueryAbandoned{Request: arrived.Request})
	}
	return outcome, err
}

// Announce renews a backend server's lease. It returns the context's error when that ends first.
func (h *Host) Announce(ctx context.Context, announced reducer.ServerAnnounced) (Lease, error) {
	announced.Ticket = h.ticket()
	return h.leases.ask(ctx, announced.Ticket, func() { h.Deliver(announced) })
}

// ticket returns a ticket that no other question of this host has.
func (h *Host) ticket() reducer.Ticket {
	return reducer.Ticket(h.tickets.Add(1))
}

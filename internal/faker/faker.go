// Package faker provides the fake backend server that tests, the demo and the
// load tool use.
//
// A Server announces itself to entry hosts, enforces its slot and connection
// limits, delays each new connection, and serves parts of a snapshot after a
// random service time. Its Behaviour injects faults and can change while the
// server runs.
//
// # Usage
//
//	s, err := faker.New(faker.Parameters{Server: "s-1", Service: "desk-1", ...}, logger)
//	s.SetBehaviour(faker.Behaviour{SlowFactor: 10})
//	defer s.Close()
package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// Parameters holds the settings of one backend server.
type Parameters struct {
	Server      identifier.ServerID
	Incarnation identifier.Incarnation
	Service     identifier.ServiceID
	Domain      identifier.DomainID
	// Listen is the address for attempts; port 0 selects a free port.
	Listen identifier.Address
	// Announce lists the entry hosts to announce to, in order of preference.
	Announce    []identifier.Address
	Slots       identifier.Slots
	Connections identifier.Connections
	// Queue is the number of attempts, in addition to Slots, that may wait for a slot.
	// The server refuses further attempts.
	Queue int
	// ServiceTime is the mean service time.
	ServiceTime time.Duration
	// Distribution is the distribution of service times; nil means Exponential.
	Distribution Distribution
	// ConnectionSetup is the delay of the first read on each new connection.
	ConnectionSetup time.Duration
	Holdings        []leaser.Holding
	// Observe, if set, is called with the body of each attempt that acquires a slot.
	Observe func(body []byte)
	// Seed seeds the random service times.
	Seed uint64
}

// Behaviour is the current state and the injected faults of a server.
type Behaviour struct {
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64
	// State is the server state in announcements.
	State leaser.ServerState
	// ReportedLoad, if set, replaces the actual load in announcements.
	ReportedLoad *int
	// Shed makes the server refuse every attempt immediately, as not run.
	Shed bool
	// Silent stops the announcements.
	Silent bool
	// Faults lists the further injected faults.
	Faults []Fault
}

// Server is a running fake backend server.
type Server struct {
	parameters Parameters
	logger     hclog.Logger
	slots      chan struct{}
	cancel     context.CancelFunc
	context    context.Context
	group      sync.WaitGroup

	mutex      sync.Mutex
	httpServer *http.Server
	address    identifier.Address
	random     *rand.Rand
	behaviour  Behaviour
	holdings   []leaser.Holding
	// cancels holds the cancel functions of the waiting and running attempts, by attempt ID.
	cancels map[string]context.CancelFunc
	// queued counts the attempts that wait for a slot.
	queued   int
	sequence identifier.Sequence
	tally    Tally
	// down is set from a crash until the restart.
	down bool
	// incarnationRuns counts the attempts that this incarnation has run.
	incarnationRuns int
	// leavingSince is when the server began to drain or stopped announcing.
	leavingSince time.Time
}

// Tally holds the counters of a server.
type Tally struct {
	// Runs counts the attempts that acquired a slot.
	Runs int
	// Refusals counts the attempts that were refused without being run.
	Refusals int
	// Cancelled counts the running attempts that were cancelled or passed their deadline.
	Cancelled int
	// Connections counts the accepted connections, and OpenConnections those
	// that are still open.
	Connections     int
	OpenConnections int
	// Rejected counts the connections closed on arrival because the connection
	// limit was reached.
	Rejected int
	// LateRuns counts the attempts that acquired a slot LeaveGrace or more after
	// the server began to drain or stopped announcing.
	LateRuns int
	// Crashes counts the simulated crashes.
	Crashes int
	// Wasted is the service time spent on attempts that count as Cancelled.
	Wasted time.Duration
	// LastRun is when an attempt last acquired a slot.
	LastRun time.Time
}

// New starts a server, which serves and announces itself until Close.
func New(p Parameters, logger hclog.Logger) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		parameters: p,
		logger:     logger,
		slots:      make(chan struct{}, p.Slots),
		context:    ctx,
		cancel:     cancel,
		random:     rand.New(rand.NewPCG(p.Seed, 1)),
		holdings:   p.Holdings,
		cancels:    map[string]context.CancelFunc{},
	}
	if err := s.listen(p.Listen); err != nil {
		cancel()
		return nil, err
	}
	s.group.Go(s.announceLoop)
	return s, nil
}

// listen starts serving attempts at the address.
func (s *Server) listen(address identifier.Address) error {
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("faker: listen for %s: %w", s.parameters.Server, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/attempts", s.handleAttempt)
	mux.HandleFunc("POST /v1/cancellations", s.handleCancellation)
	server := &http.Server{Handler: mux, ConnState: s.countConnections}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.httpServer = server
	s.address = identifier.Address(l.Addr().String())
	if s.context.Err() != nil {
		return l.Close()
	}
	s.group.Go(func() {
		if err := server.Serve(&limitListener{l, s}); err != http.ErrServerClosed {
			s.logger.Error("fake backend server stopped serving", "server", s.parameters.Server, "error", err)
		}
	})
	return nil
}

// Address returns the address at which the server accepts attempts.
func (s *Server) Address() identifier.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// SetBehaviour replaces the server's behaviour and announces the server immediately.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mutex.Lock()
	if b.leaving() && !s.behaviour.leaving() {
		s.leavingSince = time.Now()
	}
	s.behaviour = b
	s.mutex.Unlock()
	s.announce()
}

// SetHoldings replaces the hash ranges and index versions that the server holds,
// and announces the server immediately.
func (s *Server) SetHoldings(h []leaser.Holding) {
	s.mutex.Lock()
	s.holdings = h
	s.mutex.Unlock()
	s.announce()
}

// Tally returns a copy of the counters.
func (s *Server) Tally() Tally {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tally
}

// Close closes all connections without waiting for running attempts, as a crash
// would, and stops the server.
func (s *Server) Close() {
	s.cancel()
	s.mutex.Lock()
	server := s.httpServer
	s.mutex.Unlock()
	server.Close()
	s.group.Wait()
}

func (s *Server) countConnections(_ net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.tally.Connections++
		s.tally.OpenConnections++
	case http.StateClosed, http.StateHijacked:
		s.tally.OpenConnections--
	}
}

// attemptRequest is the body of an attempt's request.
type attemptRequest struct {
	Attempt   string                `json:"attempt"`
	Customer  identifier.CustomerID `json:"customer"`
	Work      identifier.WorkKind   `json:"work"`
	Remaining identifier.Micros     `json:"remaining-us"`
	Snapshot  identifier.Snapshot   `json:"snapshot"`
	Range     identifier.HashRange  `json:"range"`
	Body      json.RawMessage       `json:"body,omitempty"`
}

// handleAttempt waits for a slot, then for the service time, and answers with a part.
func (s *Server) handleAttempt(w http.ResponseWriter, r *http.Request) {
	var body attemptRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if kind := s.admit(body); kind != "" {
		s.refuse(w, kind)
		return
	}
	ctx, cancel := s.attemptContext(r, body)
	defer cancel()
	if !s.acquireSlot(ctx) {
		s.refuse(w, "not-run")
		return
	}
	defer func() { <-s.slots }()
	if s.parameters.Observe != nil {
		s.parameters.Observe(body.Body)
	}
	if s.applyFaults(w, body) {
		return
	}
	start := time.Now()
	done := time.NewTimer(s.drawServiceTime())
	defer done.Stop()
	select {
	case <-done.C:
	case <-ctx.Done():
		s.mutex.Lock()
		s.tally.Cancelled++
		s.tally.Wasted += time.Since(start)
		s.mutex.Unlock()
		http.Error(w, "deadline passed or request cancelled", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Attempt  string               `json:"attempt"`
		Snapshot identifier.Snapshot  `json:"snapshot"`
		Range    identifier.HashRange `json:"range"`
		Body     any                  `json:"body"`
	}{body.Attempt, body.Snapshot, body.Range, struct {
		Part
		Echo json.RawMessage `json:"echo,omitempty"`
	}{Part{s.parameters.Server, body.Range, body.Snapshot}, body.Body}})
}

// admit counts the attempt as queued, or returns the kind of the refusal.
func (s *Server) admit(b attemptRequest) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.behaviour.Shed || s.queued >= int(s.parameters.Slots)+s.parameters.Queue {
		return "not-run"
	}
	if !s.holdsSnapshot(b) {
		return "snapshot-gone"
	}
	s.queued++
	return ""
}

func (s *Server) holdsSnapshot(b attemptRequest) bool {
	for _, h := range s.holdings {
		if h.Epoch != b.Snapshot.Epoch || !h.Range.Contains(b.Range) {
			continue
		}
		for _, v := range h.Versions {
			if v == b.Snapshot.Version {
				return true
			}
		}
	}
	return false
}

// acquireSlot waits for a slot and reports whether it was acquired before the
// context ended. The attempt no longer counts as queued in either case.
func (s *Server) acquireSlot(ctx context.Context) bool {
	defer func() {
		s.mutex.Lock()
		s.queued--
		s.mutex.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	s.mutex.Lock()
	now := time.Now()
	s.tally.Runs++
	s.tally.LastRun = now
	s.incarnationRuns++
	if s.behaviour.leaving() && now.Sub(s.leavingSince) >= LeaveGrace {
		s.tally.LateRuns++
	}
	s.mutex.Unlock()
	return true
}

func (s *Server) drawServiceTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	duration := sampleUnitMean(s.parameters.Distribution, s.random) * float64(s.parameters.ServiceTime)
	duration *= s.behaviour.slowdown(s.incarnationRuns)
	return time.Duration(duration)
}

func (s *Server) refuse(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	s.tally.Refusals++
	s.mutex.Unlock()
	writeJSON(w, http.StatusServiceUnavailable, struct {
		Kind string `json:"kind"`
	}{kind})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore the error: the entry host may have closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}

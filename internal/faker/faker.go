// Package faker is the one stand-in for backend servers that tests, the demo
// and the load tool use.
//
// A Server announces itself to entry hosts, enforces its slots and its
// connection cap, makes each new connection cost time, and serves parts of a
// snapshot after a random service time. What it does wrong is set by Conduct,
// which can change while it runs.
//
// # Usage
//
//	s, err := faker.New(faker.Parameters{Server: "s-1", Service: "desk-1", ...}, logger)
//	s.SetConduct(faker.Conduct{SlowFactor: 10})
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

// Parameters describe one backend server.
type Parameters struct {
	Server      identifier.ServerID
	Incarnation identifier.Incarnation
	Service     identifier.ServiceID
	Domain      identifier.DomainID
	// Listen is the address for attempts; port 0 takes a free one.
	Listen identifier.Address
	// Announce are the entry hosts to announce to, the first first.
	Announce    []identifier.Address
	Slots       identifier.Slots
	Connections identifier.Connections
	// Queue is how many attempts may wait for a slot before the server sheds.
	Queue int
	// ServiceTime is the mean of the service time.
	ServiceTime time.Duration
	// Distribution spreads the service times; nil counts as Exponential.
	Distribution Distribution
	// ConnectionSetup delays the first bytes of each new connection.
	ConnectionSetup time.Duration
	Holdings        []leaser.Holding
	// Observe, if set, is called with the body of each attempt that gets a slot.
	Observe func(body []byte)
	// Seed feeds the service times.
	Seed uint64
}

// Conduct is how a server behaves at the moment.
type Conduct struct {
	// SlowFactor multiplies service times; 0 counts as 1.
	SlowFactor float64
	// State is announced to the entry hosts.
	State leaser.ServerState
	// ReportedLoad replaces the true load in announcements when set.
	ReportedLoad *int
	// Shed refuses every attempt as not run, at once.
	Shed bool
	// Mute stops the announcements.
	Mute bool
	// Behaviours are what else the server does wrong.
	Behaviours []Behaviour
}

// Server is a running stand-in for a backend server.
type Server struct {
	parameters Parameters
	logger     hclog.Logger
	slots      chan struct{}
	cancel     context.CancelFunc
	context    context.Context
	group      sync.WaitGroup

	mutex    sync.Mutex
	http     *http.Server
	address  identifier.Address
	random   *rand.Rand
	conduct  Conduct
	holdings []leaser.Holding
	// cancels ends the attempts that wait or run, by attempt id.
	cancels  map[string]context.CancelFunc
	waiting  int
	sequence identifier.Sequence
	tally    Tally
	// down is set between a crash and the return.
	down bool
	// incarnationRuns counts the runs of this incarnation.
	incarnationRuns int
	// leavingSince is when the server began to drain or fell silent.
	leavingSince time.Time
}

// Tally counts what a server has done.
type Tally struct {
	// Runs counts the attempts that got a slot.
	Runs int
	// Refusals counts the attempts that were refused as not run.
	Refusals int
	// Cancelled counts the attempts that ended early.
	Cancelled int
	// Connections counts the connections accepted, and Open those still open.
	Connections int
	Open        int
	// Rejected counts the connections closed at once, over the cap.
	Rejected int
	// LateRuns counts the runs that began LeaveGrace or more after the server
	// began to drain or fell silent.
	LateRuns int
	// Crashes counts the crashes.
	Crashes int
	// Wasted is the service time spent on attempts that ended early.
	Wasted time.Duration
	// LastRun is when an attempt last got a slot.
	LastRun time.Time
}

// New starts a server; it serves and announces itself until Close.
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

// listen begins to serve attempts at the address.
func (s *Server) listen(address identifier.Address) error {
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("faker: listen for %s: %w", s.parameters.Server, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/attempts", s.attempt)
	mux.HandleFunc("POST /v1/cancellations", s.cancelAttempt)
	server := &http.Server{Handler: mux, ConnState: s.countConnections}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.http = server
	s.address = identifier.Address(l.Addr().String())
	if s.context.Err() != nil {
		return l.Close()
	}
	s.group.Go(func() {
		if err := server.Serve(&slowListener{l, s}); err != http.ErrServerClosed {
			s.logger.Error("backend server stopped", "server", s.parameters.Server, "error", err)
		}
	})
	return nil
}

// Address returns where the server takes attempts.
func (s *Server) Address() identifier.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// SetConduct changes how the server behaves; a changed state is announced at once.
func (s *Server) SetConduct(c Conduct) {
	s.mutex.Lock()
	if c.leaving() && !s.conduct.leaving() {
		s.leavingSince = time.Now()
	}
	s.conduct = c
	s.mutex.Unlock()
	s.announce()
}

// SetHoldings replaces the ranges and index versions that the server holds.
func (s *Server) SetHoldings(h []leaser.Holding) {
	s.mutex.Lock()
	s.holdings = h
	s.mutex.Unlock()
	s.announce()
}

// Tally returns what the server has done so far.
func (s *Server) Tally() Tally {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tally
}

// Close cuts all connections and stops the server, as a crash would.
func (s *Server) Close() {
	s.cancel()
	s.mutex.Lock()
	server := s.http
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
		s.tally.Open++
	case http.StateClosed, http.StateHijacked:
		s.tally.Open--
	}
}

// attemptBody is the body of an attempt.
type attemptBody struct {
	Attempt   string                `json:"attempt"`
	Customer  identifier.CustomerID `json:"customer"`
	Work      identifier.WorkKind   `json:"work"`
	Remaining identifier.Micros     `json:"remaining-us"`
	Snapshot  identifier.Snapshot   `json:"snapshot"`
	Range     identifier.HashRange  `json:"range"`
	Body      json.RawMessage       `json:"body,omitempty"`
}

// attempt waits for a slot, works for the service time and answers with a part.
func (s *Server) attempt(w http.ResponseWriter, r *http.Request) {
	var body attemptBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if kind := s.admit(body); kind != "" {
		s.refuse(w, kind)
		return
	}
	ctx, cancel := s.cancellable(r, body)
	defer cancel()
	if !s.takeSlot(ctx) {
		s.refuse(w, "not-run")
		return
	}
	defer func() { <-s.slots }()
	if s.parameters.Observe != nil {
		s.parameters.Observe(body.Body)
	}
	if s.misbehave(w, body) {
		return
	}
	start := time.Now()
	done := time.NewTimer(s.serviceTime())
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

// admit counts the attempt as waiting, or returns why it is refused.
func (s *Server) admit(b attemptBody) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conduct.Shed || s.waiting >= int(s.parameters.Slots)+s.parameters.Queue {
		return "not-run"
	}
	if !s.holds(b) {
		return "snapshot-gone"
	}
	s.waiting++
	return ""
}

func (s *Server) holds(b attemptBody) bool {
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

func (s *Server) takeSlot(ctx context.Context) bool {
	defer func() {
		s.mutex.Lock()
		s.waiting--
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
	if s.conduct.leaving() && now.Sub(s.leavingSince) >= LeaveGrace {
		s.tally.LateRuns++
	}
	s.mutex.Unlock()
	return true
}

func (s *Server) serviceTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	span := draw(s.parameters.Distribution, s.random) * float64(s.parameters.ServiceTime)
	span *= s.conduct.slowdown(s.incarnationRuns)
	return time.Duration(span)
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
	// The entry host may have closed the request; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

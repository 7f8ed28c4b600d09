package faker

import (
	"bytes"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// LeaveGrace is how long attempts may still start on a server after it began to
// drain or stopped announcing; attempts that start later count as late.
const LeaveGrace = 2 * time.Second

// Fault is one injected fault of a server. It is sealed: only types of this
// package implement it.
type Fault interface{ isFault() }

type fault struct{}

func (fault) isFault() {}

type (
	// ColdStart multiplies the service times of an incarnation's first requests by
	// the factor.
	ColdStart struct {
		fault
		Requests int
		Factor   float64
	}
	// FailFast answers each attempt with an internal error as soon as it acquires a
	// slot, without the service time.
	FailFast struct{ fault }
	// CrashOn makes the server crash when it runs a request whose body contains
	// the marker. The server restarts after the delay as a new incarnation.
	CrashOn struct {
		fault
		Marker []byte
		Delay  time.Duration
	}
)

// Distribution is the distribution of service times. It is sealed.
type Distribution interface{ isDistribution() }

type (
	// Exponential is the exponential distribution.
	Exponential struct{}
	// Constant makes every service time equal to the mean.
	Constant struct{}
	// LogNormal is the log-normal distribution; Sigma is the standard deviation
	// of the logarithm.
	LogNormal struct{ Sigma float64 }
)

func (Exponential) isDistribution() {}
func (Constant) isDistribution()    {}
func (LogNormal) isDistribution()   {}

// sampleUnitMean returns a random value with mean 1; a nil distribution means
// Exponential.
func sampleUnitMean(d Distribution, random *rand.Rand) float64 {
	switch d := d.(type) {
	case Constant:
		return 1
	case LogNormal:
		return math.Exp(d.Sigma*random.NormFloat64() - d.Sigma*d.Sigma/2)
	default:
		return random.ExpFloat64()
	}
}

// slowdown returns the factor on the service time of the given run of an
// incarnation, counted from 1.
func (b Behaviour) slowdown(run int) float64 {
	factor := 1.0
	if b.SlowFactor > 0 {
		factor = b.SlowFactor
	}
	for _, f := range b.Faults {
		if cold, ok := f.(ColdStart); ok && run <= cold.Requests {
			factor *= cold.Factor
		}
	}
	return factor
}

// leaving reports whether a server with this behaviour must receive no new attempts.
func (b Behaviour) leaving() bool {
	return b.Silent || b.State == leaser.Draining
}

// applyFaults applies the faults that replace an attempt's work and reports
// whether the attempt has been answered. On a crash it panics with
// http.ErrAbortHandler, which closes the connection without an answer.
func (s *Server) applyFaults(w http.ResponseWriter, b attemptRequest) bool {
	s.mutex.Lock()
	faults := s.behaviour.Faults
	s.mutex.Unlock()
	for _, fault := range faults {
		switch f := fault.(type) {
		case FailFast:
			http.Error(w, "internal error", http.StatusInternalServerError)
			return true
		case CrashOn:
			if bytes.Contains(b.Body, f.Marker) {
				s.crash(f.Delay)
				panic(http.ErrAbortHandler)
			}
		}
	}
	return false
}

// crash closes all connections and, after the delay, restarts the server at the
// same address as a new incarnation. It returns immediately.
func (s *Server) crash(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down || s.context.Err() != nil {
		return
	}
	s.down = true
	s.tally.Crashes++
	stopped := s.httpServer
	s.group.Go(func() {
		stopped.Close()
		select {
		case <-time.After(delay):
			s.restart()
		case <-s.context.Done():
		}
	})
}

// restart listens at the previous address as a new incarnation.
func (s *Server) restart() {
	if err := s.listen(s.Address()); err != nil {
		s.logger.Error("cannot restart fake backend server", "server", s.parameters.Server, "error", err)
		return
	}
	s.mutex.Lock()
	s.down = false
	s.parameters.Incarnation++
	s.sequence = 0
	s.incarnationRuns = 0
	s.mutex.Unlock()
	s.announce()
}

// Crash makes the server crash now and restart after the delay.
func (s *Server) Crash(delay time.Duration) {
	s.crash(delay)
}

// Down reports whether the server has crashed and not restarted yet.
func (s *Server) Down() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// ReportedLoad returns the load that the server would announce now.
func (s *Server) ReportedLoad() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reportedLoad()
}

// reportedLoad returns the load to announce. The caller must hold the mutex.
func (s *Server) reportedLoad() int {
	if s.behaviour.ReportedLoad != nil {
		return *s.behaviour.ReportedLoad
	}
	return s.queued + len(s.slots)
}

// Parameters returns the parameters that the server was started with, updated to
// its current incarnation.
func (s *Server) Parameters() Parameters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.parameters
}

// Behaviour returns the current behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour
}

// Part is the body of a part that a fake server answers with. It states what the
// server actually served, which lets the load tool verify a merged answer.
type Part struct {
	Server   identifier.ServerID  `json:"server"`
	Range    identifier.HashRange `json:"range"`
	Snapshot identifier.Snapshot  `json:"snapshot"`
}

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

// LeaveGrace is how long after a server began to drain or fell silent new
// attempts may still reach it; later ones are counted as late.
const LeaveGrace = 2 * time.Second

// Behaviour is one thing that a server does wrong. It is sealed: the types of
// this package are all there are.
type Behaviour interface{ isBehaviour() }

type behaviour struct{}

func (behaviour) isBehaviour() {}

type (
	// Cold multiplies the service times of the first requests by the factor.
	Cold struct {
		behaviour
		Requests int
		Factor   float64
	}
	// FailFast answers each attempt with an internal error, without work.
	FailFast struct{ behaviour }
	// CrashOn makes the server crash as soon as it runs a request whose body
	// contains the marker; it comes back after the delay as a new incarnation.
	CrashOn struct {
		behaviour
		Marker []byte
		Delay  time.Duration
	}
)

// Distribution is how service times are spread around their mean. It is sealed.
type Distribution interface{ isDistribution() }

type (
	// Exponential spreads service times exponentially.
	Exponential struct{}
	// Constant makes every service time equal to the mean.
	Constant struct{}
	// LogNormal spreads service times log-normally with the standard deviation of the logarithm.
	LogNormal struct{ Sigma float64 }
)

func (Exponential) isDistribution() {}
func (Constant) isDistribution()    {}
func (LogNormal) isDistribution()   {}

// draw returns a random value with the mean 1; no distribution counts as Exponential.
func draw(d Distribution, random *rand.Rand) float64 {
	switch d := d.(type) {
	case Constant:
		return 1
	case LogNormal:
		return math.Exp(d.Sigma*random.NormFloat64() - d.Sigma*d.Sigma/2)
	default:
		return random.ExpFloat64()
	}
}

// slowdown returns the factor on the service time of the run with the number, from 1.
func (c Conduct) slowdown(run int) float64 {
	factor := 1.0
	if c.SlowFactor > 0 {
		factor = c.SlowFactor
	}
	for _, b := range c.Behaviours {
		if cold, ok := b.(Cold); ok && run <= cold.Requests {
			factor *= cold.Factor
		}
	}
	return factor
}

// leaving reports whether a server with this conduct must receive no new work.
func (c Conduct) leaving() bool {
	return c.Mute || c.State == leaser.Draining
}

// misbehave applies the behaviours that replace an attempt's work. It reports
// whether the attempt has ended; a crash aborts the handler, so that the
// connection ends without an answer.
func (s *Server) misbehave(w http.ResponseWriter, b attemptBody) bool {
	s.mutex.Lock()
	behaviours := s.conduct.Behaviours
	s.mutex.Unlock()
	for _, behaviour := range behaviours {
		switch d := behaviour.(type) {
		case FailFast:
			http.Error(w, "internal error", http.StatusInternalServerError)
			return true
		case CrashOn:
			if bytes.Contains(b.Body, d.Marker) {
				s.crash(d.Delay)
				panic(http.ErrAbortHandler)
			}
		}
	}
	return false
}

// crash cuts all connections and brings the server back, after the delay, at
// the same address as a new incarnation. It returns at once.
func (s *Server) crash(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down || s.context.Err() != nil {
		return
	}
	s.down = true
	s.tally.Crashes++
	stopped := s.http
	s.group.Go(func() {
		stopped.Close()
		select {
		case <-time.After(delay):
			s.restart()
		case <-s.context.Done():
		}
	})
}

// restart listens at the old address again.
func (s *Server) restart() {
	if err := s.listen(s.Address()); err != nil {
		s.logger.Error("backend server could not come back", "server", s.parameters.Server, "error", err)
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

// Crash makes the server crash now and come back after the delay.
func (s *Server) Crash(delay time.Duration) {
	s.crash(delay)
}

// Down reports whether the server has crashed and is not back yet.
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

func (s *Server) reportedLoad() int {
	if s.conduct.ReportedLoad != nil {
		return *s.conduct.ReportedLoad
	}
	return s.waiting + len(s.slots)
}

// Parameters returns what the server was started with, and its current incarnation.
func (s *Server) Parameters() Parameters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.parameters
}

// Conduct returns how the server behaves at the moment.
func (s *Server) Conduct() Conduct {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conduct
}

// Part is the body of a part that a fake server answers with. It states what
// was truly served, so that a tool can check an answer against it.
type Part struct {
	Server   identifier.ServerID  `json:"server"`
	Range    identifier.HashRange `json:"range"`
	Snapshot identifier.Snapshot  `json:"snapshot"`
}

// Package assessor detects degraded backend servers from the measurements of many hosts.
//
// A single host sends a server too few attempts to distinguish a slow server from one
// that paused. The combined measurements show within a second that many of a server's
// attempts are poor: answered far later than is typical for their kind of work, failed,
// or not answered at all. Older measurements lose weight, so that a pause doesn't mark a
// server as degraded. A degraded server gets only probes. It recovers after a number of
// consecutive good answers to them.
//
// Rejections estimates the ratio of attempts that a server rejects without running them, while
// its other answers are good. It changes within a second, and ends soon after the server stops
// rejecting.
//
// # Usage
//
//	a := assessor.New()
//	degraded, changed := a.Add(now, "s-1", assessor.Tally{Answers: 8, Poor: 5})
//	r := assessor.NewRejections()
//	ratio, changed := r.Add(now, "s-1", assessor.Tally{Accepted: 4, Rejected: 5})
package assessor

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// halfLife is the time in which measurements lose half of their weight. A pause of
	// 150 ms accounts for an eighth of the total weight.
	halfLife = 800 * identifier.Millisecond
	// degradedShare is the share of poor answers from which a server is degraded: three
	// times the share that a pause causes.
	degradedShare = 0.4
	// failingShare is the share of failures from which a server is degraded. It is lower
	// than degradedShare because a pause causes no failures.
	failingShare = 0.15
	// minPoorWeight and minFailedWeight are the minimum weights of poor answers and failures
	// for a server to be degraded.
	minPoorWeight   = 4
	minFailedWeight = 3
	// slowRecoveryAnswers and failingRecoveryAnswers are the numbers of consecutive good
	// answers after which a slow and a failing server recover. A server that fails 40% of
	// its attempts gives six good answers in a row with a probability of 5%.
	slowRecoveryAnswers    = 3
	failingRecoveryAnswers = 6
	// hostFaultShare and hostFaultMinServers detect a host that is itself the cause of its
	// poor measurements: it measures at least hostFaultMinServers servers, and at more than
	// hostFaultShare of them at least half of the answers are poor.
	hostFaultShare      = 0.6
	hostFaultMinServers = 4
)

// Tally holds the measurements that one host made of a server in an interval.
type Tally struct {
	// Answers counts all attempts that finished or are overdue. Poor counts those of them
	// that failed, were answered far later than is typical, or are overdue. Failed counts
	// those that failed.
	Answers int `msgpack:"a"`
	Poor    int `msgpack:"p"`
	Failed  int `msgpack:"f"`
	// Rejected counts the attempts that the server rejected without running them; Answers doesn't include
	// them. Accepted counts those that it accepted meanwhile, of all routes and domains; it is set only
	// for servers that reject.
	Rejected int `msgpack:"r"`
	Accepted int `msgpack:"c"`
}

// Assessor holds the combined measurements of servers. It is not safe for concurrent use.
type Assessor struct {
	records map[identifier.ServerID]*record
}

// record holds the combined measurements of one server.
type record struct {
	// answers, poor and failed are the decayed sums of the tallies.
	answers, poor, failed float64
	updatedAt             identifier.Instant
	degraded              bool
	// goodAnswers counts the consecutive good answers of a degraded server, which recovers
	// at requiredGoodAnswers.
	goodAnswers, requiredGoodAnswers int
}

// New returns an Assessor without measurements.
func New() *Assessor {
	return &Assessor{records: map[identifier.ServerID]*record{}}
}

// IndicatesHostFault reports whether the tallies that one host sent together indicate a fault of
// that host rather than of the servers.
func IndicatesHostFault(tallies []Tally) bool {
	poor := 0
	for _, t := range tallies {
		if 2*t.Poor >= t.Answers {
			poor++
		}
	}
	return len(tallies) >= hostFaultMinServers && float64(poor) > hostFaultShare*float64(len(tallies))
}

// Add records a tally. It returns whether the server is degraded, and whether that changed.
func (a *Assessor) Add(now identifier.Instant, id identifier.ServerID, t Tally) (degraded, changed bool) {
	r, ok := a.records[id]
	if !ok {
		r = &record{updatedAt: now}
		a.records[id] = r
	}
	if r.degraded {
		return r.clear(t)
	}
	decay := math.Exp2(-float64(now.Since(r.updatedAt)) / float64(halfLife))
	r.answers = r.answers*decay + float64(t.Answers)
	r.poor = r.poor*decay + float64(t.Poor)
	r.failed = r.failed*decay + float64(t.Failed)
	r.updatedAt = now
	slow := r.poor >= minPoorWeight && r.poor >= degradedShare*r.answers
	failing := r.failed >= minFailedWeight && r.failed >= failingShare*r.answers
	if !slow && !failing {
		return false, false
	}
	*r = record{degraded: true, requiredGoodAnswers: slowRecoveryAnswers}
	if failing {
		r.requiredGoodAnswers = failingRecoveryAnswers
	}
	return true, true
}

// clear counts the good answers of a degraded server and ends the degradation after enough
// of them. A poor answer resets the count.
func (r *record) clear(t Tally) (degraded, changed bool) {
	r.goodAnswers += t.Answers
	if t.Poor > 0 {
		r.goodAnswers = 0
	}
	if r.goodAnswers < r.requiredGoodAnswers {
		return true, false
	}
	*r = record{}
	return false, true
}

// Remove removes the measurements of a server that has restarted or left.
func (a *Assessor) Remove(id identifier.ServerID) {
	delete(a.records, id)
}

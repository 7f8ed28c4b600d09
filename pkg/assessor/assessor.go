// Package assessor judges which backend servers are degraded by what many hosts
// measured of them.
//
// Each host sends a server too little work to tell a slow one from one that paused.
// Together they see within a second that many of a server's answers are poor:
// far later than is usual for their kind of work, failures, or none at all. Evidence fades, so
// that a pause is no reason. A degraded server gets probes only; good answers
// to them in a row, without a poor one between, clear it.
//
// # Usage
//
//	a := assessor.New()
//	degraded, changed := a.Add(now, "s-1", assessor.Tally{Answers: 8, Poor: 5})
package assessor

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// halfLife is the time in which evidence loses half of its weight. A pause of 150 ms makes
	// up an eighth of what counts.
	halfLife = 800 * identifier.Millisecond
	// degradedShare is the share of poor answers from which a server is degraded: three
	// times what a pause comes to.
	degradedShare = 0.4
	// failingShare is the share of failures from which it is: no pause causes one.
	failingShare = 0.15
	// leastPoor and leastFailed are the least weights of poor answers and failures that say anything.
	leastPoor   = 4
	leastFailed = 3
	// clearingAnswers is how many good answers in a row clear a slow server, and failureFreeAnswers
	// a failing one: one that fails two fifths of its work gives six in a row in one case of twenty.
	clearingAnswers    = 3
	failureFreeAnswers = 6
	// ailingShare and ailingServers mark a host that is itself the cause: to it more than this
	// share of so many servers looks poor.
	ailingShare   = 0.6
	ailingServers = 4
)

// Tally is what one host measured of a server in a span of time.
type Tally struct {
	// Answers counts all attempts that ended or are overdue; Poor those of them that failed, or
	// were or are far later than usual; Failed those that failed.
	Answers int `msgpack:"a"`
	Poor    int `msgpack:"p"`
	Failed  int `msgpack:"f"`
}

// Assessor holds the evidence about servers. It is not safe for concurrent use.
type Assessor struct {
	records map[identifier.ServerID]*record
}

// record is the evidence about one server.
type record struct {
	answers, poor, failed float64
	at                    identifier.Instant
	degraded              bool
	// clearing counts the good answers in a row of a degraded server; it takes as many as
	// needed to clear it.
	clearing, needed int
}

// New returns an Assessor without evidence.
func New() *Assessor {
	return &Assessor{records: map[identifier.ServerID]*record{}}
}

// Ailing reports whether tallies that one host sent together say more about that host
// than about the servers.
func Ailing(tallies []Tally) bool {
	poor := 0
	for _, t := range tallies {
		if 2*t.Poor >= t.Answers {
			poor++
		}
	}
	return len(tallies) >= ailingServers && float64(poor) > ailingShare*float64(len(tallies))
}

// Add takes in a tally. It returns whether the server is degraded, and whether that is new.
func (a *Assessor) Add(now identifier.Instant, id identifier.ServerID, t Tally) (degraded, changed bool) {
	r, ok := a.records[id]
	if !ok {
		r = &record{at: now}
		a.records[id] = r
	}
	if r.degraded {
		return r.clear(t)
	}
	kept := math.Exp2(-float64(now.Since(r.at)) / float64(halfLife))
	r.answers = r.answers*kept + float64(t.Answers)
	r.poor = r.poor*kept + float64(t.Poor)
	r.failed = r.failed*kept + float64(t.Failed)
	r.at = now
	slow := r.poor >= leastPoor && r.poor >= degradedShare*r.answers
	failing := r.failed >= leastFailed && r.failed >= failingShare*r.answers
	if !slow && !failing {
		return false, false
	}
	*r = record{degraded: true, needed: clearingAnswers}
	if failing {
		r.needed = failureFreeAnswers
	}
	return true, true
}

// clear counts good answers of a degraded server; a poor one begins the count anew.
func (r *record) clear(t Tally) (degraded, changed bool) {
	r.clearing += t.Answers
	if t.Poor > 0 {
		r.clearing = 0
	}
	if r.clearing < r.needed {
		return true, false
	}
	*r = record{}
	return false, true
}

// Forget drops the evidence about a server, which has started anew or gone.
func (a *Assessor) Forget(id identifier.ServerID) {
	delete(a.records, id)
}

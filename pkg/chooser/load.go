package chooser

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// loadHalfLife is the time in which a stated load loses half of its effect. Pauses last
	// 120 to 150 ms and slow periods 600 ms, so a figure says little after half a second.
	loadHalfLife = 200 * identifier.Millisecond
	// loadRetention is the age from which a stated load has no effect.
	loadRetention = 600 * identifier.Millisecond
	// maxStatedBacklog limits the attempts ahead that a server states, per slot: the queue of a
	// server holds six per slot.
	maxStatedBacklog = 6
	// maxStatedPace limits the pace that a server states.
	maxStatedPace = 4
)

// Load is what a server states of its load in an answer. It changes many times a second.
type Load struct {
	// Running is the number of attempts that the server runs, and Waiting that in its queue.
	Running, Waiting int
	// Slots is how many attempts the server runs at once; 0 if the answer states no load.
	Slots identifier.Slots
	// Pace is how long work takes as a multiple of the usual time; 0 if it is not stated.
	Pace identifier.Ratio
}

// Stated reports whether the answer stated a load.
func (l Load) Stated() bool { return l.Slots > 0 }

// RecordLoad records the load that a server has stated at the instant in an answer with the latency, in
// microseconds; 0 if it has refused the attempt. A server that answered fast has no long queue, so
// the excess of the latency over that of the service limits the wait that is expected. A load that was stated earlier than the recorded
// one is ignored.
func (c *Chooser) RecordLoad(at identifier.Instant, id identifier.ServerID, l Load, latency identifier.Micros) {
	r := c.record(id)
	if !l.Stated() || at < r.loadAt {
		return
	}
	r.load, r.loadAt, r.statedLatency = l, at, float64(latency)
	if latency == 0 {
		r.statedLatency = math.Inf(1)
	}
}

// statedLoad returns the attempts that go before a new one as a multiple of the slots, and the pace,
// by what the server has stated. Both have decayed: without a recent statement they are 0 and 1. A
// statement never makes a server look better than it is measured.
func (r *record) statedLoad(now identifier.Instant) (ahead, pace float64) {
	age := now.Since(r.loadAt)
	if !r.load.Stated() || age >= loadRetention {
		return 0, 1
	}
	decay := math.Exp2(-float64(max(0, age)) / float64(loadHalfLife))
	slots := float64(r.load.Slots)
	ahead = min(maxStatedBacklog, max(0, (float64(r.load.Running+r.load.Waiting)-slots)/slots))
	pace = min(maxStatedPace, max(1, float64(r.load.Pace)))
	return ahead * decay, 1 + (pace-1)*decay
}

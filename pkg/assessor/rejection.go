package assessor

import (
	"math"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// rejectionHalfLife is the time in which measurements of rejections lose half of their weight: short,
	// since all hosts must know within a second that a server rejects or no longer does.
	rejectionHalfLife = 600 * identifier.Millisecond
	// minRejection is the least ratio that is listed. A server whose queue is full for a moment rejects
	// less than that over the half-life.
	minRejection identifier.Ratio = 0.1
	// minRejectedWeight is the least weight of rejections from which a server is listed.
	minRejectedWeight = 2.5
	// rejectionStep is the resolution of listed ratios, and rejectionChange the least change that is listed,
	// each change being a message to every host. minChangeWeight is the least weight of measurements
	// for a change.
	rejectionStep   = 0.05
	rejectionChange = 0.15
	minChangeWeight = 8
	// falseRecovery is the probability with which a server that still rejects accepts so many attempts in a
	// row that it no longer counts as rejecting, and maxRecoveryAttempts limits their number.
	falseRecovery       = 0.03
	maxRecoveryAttempts = 12
	// rejectionRetention is how long a ratio is listed without a measurement. Servers that get no attempt
	// since they reject nearly all of them would otherwise stay listed forever.
	rejectionRetention = 2 * identifier.Second
)

// Rejections estimates from the measurements of many hosts which ratio of its attempts each server
// rejects without running them. It is not safe for concurrent use.
type Rejections struct {
	records map[identifier.ServerID]*rejectionRecord
}

type rejectionRecord struct {
	// attempts and rejected are the decayed sums of the tallies.
	attempts, rejected float64
	updatedAt          identifier.Instant
	listed             identifier.Ratio
	// accepted counts the attempts accepted since the last tally with a rejection.
	accepted int
}

// NewRejections returns Rejections without measurements.
func NewRejections() *Rejections {
	return &Rejections{records: map[identifier.ServerID]*rejectionRecord{}}
}

// Add records a tally. It returns the ratio to list, 0 for a server that doesn't reject, and whether it has
// changed.
func (x *Rejections) Add(now identifier.Instant, id identifier.ServerID, t Tally) (ratio identifier.Ratio, changed bool) {
	r, ok := x.records[id]
	if !ok {
		if t.Rejected == 0 {
			return 0, false
		}
		r = &rejectionRecord{updatedAt: now}
		x.records[id] = r
	}
	accepted := max(t.Answers, t.Accepted)
	decay := math.Exp2(-float64(now.Since(r.updatedAt)) / float64(rejectionHalfLife))
	r.attempts = r.attempts*decay + float64(accepted+t.Rejected)
	r.rejected = r.rejected*decay + float64(t.Rejected)
	r.updatedAt = now
	r.accepted += accepted
	if t.Rejected > 0 {
		r.accepted = 0
	}
	before := r.listed
	r.list()
	if r.listed == 0 && r.rejected < 1 && t.Rejected == 0 {
		delete(x.records, id)
	}
	return r.listed, r.listed != before
}

// list updates the listed ratio.
func (r *rejectionRecord) list() {
	measured := r.rejected / max(1, r.attempts)
	switch {
	case r.listed == 0:
		if r.rejected >= minRejectedWeight && measured >= float64(minRejection) {
			r.listed = roundRejection(measured)
		}
	case r.accepted >= recoveryAttempts(r.listed) && measured < float64(r.listed)/2:
		*r = rejectionRecord{updatedAt: r.updatedAt}
	case r.accepted > 0 && measured < float64(r.listed):
		// The server may have recovered, which lower ratios on the way would only delay.
	case r.attempts >= minChangeWeight && math.Abs(measured-float64(r.listed)) >= rejectionChange:
		r.listed = roundRejection(measured)
	}
}

func roundRejection(measured float64) identifier.Ratio {
	return max(minRejection, identifier.Ratio(math.Round(measured/rejectionStep)*rejectionStep))
}

// recoveryAttempts returns how many attempts in a row a server must accept to count as recovered.
func recoveryAttempts(listed identifier.Ratio) int {
	if listed >= 1 {
		return 1
	}
	return min(maxRecoveryAttempts, int(math.Ceil(math.Log(falseRecovery)/math.Log(1-float64(listed)))))
}

// Rejects reports whether a rejection of the server was measured recently.
func (x *Rejections) Rejects(id identifier.ServerID) bool {
	_, ok := x.records[id]
	return ok
}

// Expire removes the servers without a recent measurement, and returns those that were listed, in order.
func (x *Rejections) Expire(now identifier.Instant) []identifier.ServerID {
	var expired []identifier.ServerID
	for id, r := range x.records {
		if now.Since(r.updatedAt) < rejectionRetention {
			continue
		}
		delete(x.records, id)
		if r.listed > 0 {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Remove removes the measurements of a server that has restarted or left.
func (x *Rejections) Remove(id identifier.ServerID) {
	delete(x.records, id)
}

// Package hedger decides when a second attempt for the same piece of a request is worth the
// extra load.
//
// A Hedger holds the measurements that one state of an entry host made of one
// service: a digest of latencies for each rank, the share of refusals, and the
// budget of hedges. The delay before a hedge is a high quantile of the rank's
// latencies, limited to a multiple of their median so that slow servers can't
// raise it further. An overloaded service gets no hedges.
//
// # Usage
//
//	h := hedger.New()
//	h.Earn(policy.HedgeBudget)
//	h.Observe(identifier.Urgent, 6*identifier.Millisecond)
//	delay, ok := h.Delay(identifier.Urgent, policy.HedgeBudget)
//	if ok && h.Spend(identifier.Urgent) {
//		submitHedge()
//	}
package hedger

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/throttler"
)

const (
	// BudgetBurst is the maximum number of hedges that the budget saves up.
	BudgetBurst = 10
	// DefaultDelay is the delay before a hedge while there are fewer than minSamples latencies.
	DefaultDelay = 50 * identifier.Millisecond
	// MinDelay is the minimum delay before a hedge.
	MinDelay = 1 * identifier.Millisecond
	// minSamples is the minimum number of latencies for a quantile.
	minSamples = 20
	// medianFactor limits the delay and the typical latency, as a multiple of the median.
	medianFactor = 6
	// overloadMedianFactor is the ratio of the median to the baseline above which a service
	// counts as overloaded.
	overloadMedianFactor = 3
	// overloadRefusalShare is the share of refused attempts above which a service counts as
	// overloaded.
	overloadRefusalShare = 0.05
	// typicalQuantile is the quantile of the typical latency.
	typicalQuantile = 0.95
	// refusalWeight is the weight of one attempt in the moving average of refusals.
	refusalWeight = 1.0 / 64
	// quantileInterval is the number of latencies between computations of the quantiles.
	quantileInterval = 16
	// baselineDivisor slows the rise of the baseline: each update adds the difference to the
	// median divided by it.
	baselineDivisor = 1024
)

// rankLatencies holds the digest of a rank's latencies and cached quantiles of it.
type rankLatencies struct {
	digest digest
	// delayQuantile and delayMedian are the quantiles for Delay, computed for delayShare;
	// samplesSinceDelay counts the latencies since then.
	samplesSinceDelay int
	delayShare        identifier.Ratio
	delayQuantile     identifier.Micros
	delayMedian       identifier.Micros
	// typical is the typical latency, at most medianFactor times the median, and
	// typicalMedian is that median; samplesSinceTypical counts the latencies since both were
	// computed.
	typical, typicalMedian identifier.Micros
	samplesSinceTypical    int
	// overloadMedian is the median that Overloaded compares with the baseline.
	overloadMedian identifier.Micros
}

// Hedger holds the measurements and the hedge budget of one service.
type Hedger struct {
	ranks [identifier.RankCount]rankLatencies
	// observed counts the latencies of all ranks.
	observed int
	// baseline follows the lowest median of all ranks, in microseconds, and rises slowly.
	baseline identifier.Micros
	// refusalShare is the moving average of the share of refused attempts.
	refusalShare float64
	budget       throttler.Throttler
}

// New returns a Hedger without measurements.
func New() *Hedger {
	return &Hedger{budget: throttler.New(BudgetBurst, 0)}
}

// Earn adds the given share of a hedge to the budget for a first attempt.
func (h *Hedger) Earn(share identifier.Ratio) {
	h.budget.Earn(share)
}

// Observe records the latency of a served attempt, in microseconds.
func (h *Hedger) Observe(rank identifier.Rank, latency identifier.Micros) {
	r := &h.ranks[rank]
	r.digest.add(latency)
	r.samplesSinceDelay++
	r.samplesSinceTypical++
	h.refusalShare -= h.refusalShare * refusalWeight
	h.observed++
	if h.observed%quantileInterval == 0 {
		h.updateBaseline(r)
	}
}

// updateBaseline computes the median of a rank. A lower median becomes the baseline of the
// service at once; a higher one raises it slowly.
func (h *Hedger) updateBaseline(r *rankLatencies) {
	r.overloadMedian = r.digest.quantile(0.5)
	if h.baseline == 0 || r.overloadMedian < h.baseline {
		h.baseline = r.overloadMedian
		return
	}
	h.baseline += (r.overloadMedian - h.baseline) / baselineDivisor
}

// RecordRefusal records an attempt that the service did not run.
func (h *Hedger) RecordRefusal() {
	h.refusalShare += (1 - h.refusalShare) * refusalWeight
}

// Overloaded reports whether the service refuses attempts, or answers those of the rank
// much more slowly than its baseline. A flood of a less urgent rank doesn't count, because
// attempts of this rank overtake it in the queues.
func (h *Hedger) Overloaded(rank identifier.Rank) bool {
	return h.refusalShare > overloadRefusalShare || h.ranks[rank].overloadMedian > overloadMedianFactor*h.baseline
}

// Delay returns how long to wait for an attempt of the rank before a hedge, in
// microseconds, and false if the share is 0. The share sets the quantile: half of the
// budget covers the attempts that normally take longer than the delay.
func (h *Hedger) Delay(rank identifier.Rank, share identifier.Ratio) (identifier.Micros, bool) {
	if share <= 0 {
		return 0, false
	}
	r := &h.ranks[rank]
	if r.digest.total < minSamples {
		return DefaultDelay, true
	}
	if r.samplesSinceDelay >= quantileInterval || r.delayShare != share {
		r.samplesSinceDelay = 0
		r.delayShare = share
		r.delayQuantile = r.digest.quantile(1 - share/2)
		r.delayMedian = r.digest.quantile(0.5)
	}
	return max(MinDelay, min(r.delayQuantile, medianFactor*r.delayMedian)), true
}

// TypicalLatency returns the median and the typical latency of the rank, in microseconds. The
// typical latency is the 95th percentile, at most six medians. Both are 0 while there are
// too few samples.
func (h *Hedger) TypicalLatency(rank identifier.Rank) (median, typical identifier.Micros) {
	r := &h.ranks[rank]
	if r.digest.total < minSamples {
		return 0, 0
	}
	if r.typicalMedian == 0 || r.samplesSinceTypical >= quantileInterval {
		r.samplesSinceTypical = 0
		r.typicalMedian = r.digest.quantile(0.5)
		r.typical = min(r.digest.quantile(typicalQuantile), medianFactor*r.typicalMedian)
	}
	return r.typicalMedian, r.typical
}

// Spend takes a hedge for the rank from the budget. It returns false if the budget is
// exhausted or the service is overloaded.
func (h *Hedger) Spend(rank identifier.Rank) bool {
	return !h.Overloaded(rank) && h.budget.Spend()
}

// WithinBudget reports whether the number of hedges is within the budget.
func (h *Hedger) WithinBudget() bool {
	return h.budget.WithinBudget()
}

// Hedges returns the number of hedges taken from the budget.
func (h *Hedger) Hedges() uint64 {
	return h.budget.Spent()
}

// Package hedger decides when a second attempt for the same part of an answer is
// worth its load.
//
// A Hedger holds what one state of an entry host measured of one service: a
// digest of latencies for each rank, the share of refusals, and the budget of
// hedges. The delay before a hedge is a high quantile of the rank's latencies,
// bounded by a multiple of their median so that slow servers can't raise it. An
// overloaded service gets no hedges at all.
//
// # Usage
//
//	h := hedger.New()
//	h.Need(policy.HedgeBudget)
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
	// BudgetBurst is how many hedges an idle budget saves up, in attempts.
	BudgetBurst = 10
	// UnknownDelay is the delay before a hedge while too few latencies are known.
	UnknownDelay = 50 * identifier.Millisecond
	// MinDelay is the least delay before a hedge.
	MinDelay = 1 * identifier.Millisecond
	// minSamples is how many latencies a quantile needs.
	minSamples = 20
	// medianFactor bounds the delay, as a multiple of the median latency.
	medianFactor = 6
	// overloadFactor is the rise of the median over its baseline that marks an overloaded service.
	overloadFactor = 3
	// overloadRefusals is the share of refused attempts that marks an overloaded service.
	overloadRefusals = 0.05
	// usualShare is the share of latencies that count as usual.
	usualShare = 0.95
	// refusalWeight is the weight of one outcome in the share of refusals.
	refusalWeight = 1.0 / 64
	// summaryInterval is how many latencies separate computations of the quantiles.
	summaryInterval = 16
	// baselineDivisor slows the rise of the baseline: the part of the gap that one summary closes.
	baselineDivisor = 1024
)

// summary is what is read often of a rank's digest.
type summary struct {
	digest digest
	fresh  int
	share  identifier.Ratio
	high   identifier.Micros
	median identifier.Micros
	// usual is a high quantile and middle the median, each at most six medians; stale is how
	// many latencies came since they were computed.
	usual, middle identifier.Micros
	stale         int
	// recent is the median of the latest summary, for the signs of overload.
	recent identifier.Micros
}

// Hedger holds the measurements and the hedge budget of one service.
type Hedger struct {
	ranks    [identifier.RankCount]summary
	observed int
	// baseline is the least median of all ranks, in microseconds; it rises slowly.
	baseline identifier.Micros
	refusals float64
	budget   throttler.Throttler
}

// New returns a Hedger that has measured nothing.
func New() *Hedger {
	return &Hedger{budget: throttler.New(BudgetBurst, 0)}
}

// Need counts a needed attempt, which earns the share of a hedge.
func (h *Hedger) Need(share identifier.Ratio) {
	h.budget.Earn(share)
}

// Observe counts the latency of a served attempt, in microseconds.
func (h *Hedger) Observe(rank identifier.Rank, latency identifier.Micros) {
	r := &h.ranks[rank]
	r.digest.add(latency)
	r.fresh++
	r.stale++
	h.refusals -= h.refusals * refusalWeight
	h.observed++
	if h.observed%summaryInterval == 0 {
		h.summarise(r)
	}
}

// summarise computes the median of a rank and lets the service's baseline follow
// downwards at once and upwards slowly.
func (h *Hedger) summarise(r *summary) {
	r.recent = r.digest.quantile(0.5)
	if h.baseline == 0 || r.recent < h.baseline {
		h.baseline = r.recent
		return
	}
	h.baseline += (r.recent - h.baseline) / baselineDivisor
}

// Refuse counts an attempt that the service did not run.
func (h *Hedger) Refuse() {
	h.refusals += (1 - h.refusals) * refusalWeight
}

// Overloaded reports whether the service refuses attempts, or answers those of the
// rank far more slowly than it can. A flood of a less urgent rank, which attempts of this one
// pass in the queues, does not count.
func (h *Hedger) Overloaded(rank identifier.Rank) bool {
	return h.refusals > overloadRefusals || h.ranks[rank].recent > overloadFactor*h.baseline
}

// Delay returns how long to wait for an attempt of the rank before a hedge, in
// microseconds. The budget's share sets the quantile: half of the budget pays for
// the attempts that exceed it by chance. It reports false without a budget.
func (h *Hedger) Delay(rank identifier.Rank, share identifier.Ratio) (identifier.Micros, bool) {
	if share <= 0 {
		return 0, false
	}
	r := &h.ranks[rank]
	if r.digest.total < minSamples {
		return UnknownDelay, true
	}
	if r.fresh >= summaryInterval || r.share != share {
		r.fresh = 0
		r.share = share
		r.high = r.digest.quantile(1 - share/2)
		r.median = r.digest.quantile(0.5)
	}
	return max(MinDelay, min(r.high, medianFactor*r.median)), true
}

// Usual returns the median of the rank's latest latencies, and a latency that few of them
// exceed, at most six medians; both in microseconds, and 0 while too few are known.
func (h *Hedger) Usual(rank identifier.Rank) (median, high identifier.Micros) {
	r := &h.ranks[rank]
	if r.digest.total < minSamples {
		return 0, 0
	}
	if r.middle == 0 || r.stale >= summaryInterval {
		r.stale = 0
		r.middle = r.digest.quantile(0.5)
		r.usual = min(r.digest.quantile(usualShare), medianFactor*r.middle)
	}
	return r.middle, r.usual
}

// Spend takes a hedge of the rank from the budget; it reports false when the budget is spent
// or the service is overloaded.
func (h *Hedger) Spend(rank identifier.Rank) bool {
	return !h.Overloaded(rank) && h.budget.Spend()
}

// Kept reports whether the hedges so far lie within the budget.
func (h *Hedger) Kept() bool {
	return h.budget.Kept()
}

// Hedges counts the hedges so far.
func (h *Hedger) Hedges() uint64 {
	return h.budget.Spent()
}

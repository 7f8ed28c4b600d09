package chooser

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// minSampleWeight is the minimum weight of a new latency in the estimate.
	minSampleWeight = 0.05
	// outlierFactor limits a latency that enters the estimate, as a multiple of the typical
	// latency of the service, because a single pause of a server delays many attempts.
	outlierFactor = 8
	// priorSamples is the number of samples that the typical latency of the service counts for.
	priorSamples = 5
	// maxAgedWeight limits the weight that a latency gains from the time since the previous
	// sample, so that a single pause of a server doesn't move its work to other servers.
	maxAgedWeight = 0.15
	// minOverdueWeight is the minimum weight of an attempt that has been unanswered for
	// longer than the estimate. It is larger than minSampleWeight because each state must
	// detect a slow server from a few attempts.
	minOverdueWeight = 0.3
	// estimateHalfLife is the time after which the measured slowness of a server counts half.
	// It is also the age of the previous sample at which a new one weighs half, before
	// maxAgedWeight limits it.
	estimateHalfLife = 4 * identifier.Second
	// minLatencyWindow is the length of the windows over which the minimum latency is tracked.
	minLatencyWindow = 5 * identifier.Second
	// initialBackoff is how long a server is backed off after its first failure.
	initialBackoff = 100 * identifier.Millisecond
	// maxBackoff limits the backoff after repeated failures.
	maxBackoff = 10 * identifier.Second
	// warmUpAttempts is the number of served attempts after which a server is warm.
	warmUpAttempts = 20
)

// record holds the measurements that one state made of one server.
type record struct {
	incarnation identifier.Incarnation
	inFlight    int
	// inFlightByRank counts the attempts in flight by rank.
	inFlightByRank [identifier.RankCount]int
	// estimate is the moving average of latencies, in microseconds; 0 if there is none.
	estimate   float64
	measuredAt identifier.Instant
	// served counts the attempts that this incarnation of the server has served.
	served int
	// previousWindowMin and currentWindowMin are the minimum latencies of the previous and
	// of the current window, in microseconds; windowStart is the start of the current one.
	previousWindowMin, currentWindowMin identifier.Micros
	windowStart                         identifier.Instant
	failures                            int
	backoffUntil                        identifier.Instant
	// load is what the server last stated of its load, at loadAt.
	load   Load
	loadAt identifier.Instant
	// statedLatency is the latency of the answer that stated the load, in microseconds; infinite for a
	// refusal.
	statedLatency float64
}

// ahead returns how many attempts in flight go before a new one of the rank.
func (r *record) ahead(rank identifier.Rank) int {
	count := 0
	for _, n := range r.inFlightByRank[:rank+1] {
		count += n
	}
	return count
}

// updateEstimate adds a latency to the estimate with at least the given weight.
func (r *record) updateEstimate(now identifier.Instant, latency identifier.Micros, minWeight float64) {
	weight := max(minWeight, 1/float64(r.served+1))
	if r.estimate == 0 {
		weight = 1
	}
	r.estimate += (float64(latency) - r.estimate) * weight
	r.measuredAt = now
}

// updateMinLatency tracks the minimum latency over two consecutive windows.
func (r *record) updateMinLatency(now identifier.Instant, latency identifier.Micros) {
	if r.currentWindowMin == 0 || latency < r.currentWindowMin {
		r.currentWindowMin = latency
	}
	if now.Since(r.windowStart) < minLatencyWindow {
		return
	}
	r.previousWindowMin = r.currentWindowMin
	r.currentWindowMin = latency
	r.windowStart = now
}

// recentMinLatency returns the minimum latency of the previous and the current window, in
// microseconds, or 0 if it is unknown or the latest sample is older than two windows. Old
// samples must not keep attempts away from a server.
func (r *record) recentMinLatency(now identifier.Instant) identifier.Micros {
	if now.Since(r.measuredAt) > 2*minLatencyWindow {
		return 0
	}
	if r.previousWindowMin == 0 || (r.currentWindowMin > 0 && r.currentWindowMin < r.previousWindowMin) {
		return r.currentWindowMin
	}
	return r.previousWindowMin
}

// recordLatency records the latency of a served attempt and ends the backoff.
func (r *record) recordLatency(now identifier.Instant, latency identifier.Micros) {
	r.updateEstimate(now, latency, minSampleWeight)
	r.updateMinLatency(now, latency)
	r.served++
	r.failures = 0
	r.backoffUntil = 0
}

// recordLatencyWithPrior records the latency of a served attempt, given the typical latency of
// the service. The estimate starts at the typical latency, and the weight of a sample grows
// with the time since the previous one, up to maxAgedWeight.
func (r *record) recordLatencyWithPrior(now identifier.Instant, latency, typical identifier.Micros) {
	countWeight := 1 / float64(r.served+1+priorSamples)
	if r.estimate == 0 {
		r.estimate = float64(typical)
		r.measuredAt = now
	}
	halfLives := float64(now.Since(r.measuredAt)) / float64(estimateHalfLife)
	weight := max(minSampleWeight, countWeight, min(maxAgedWeight, 1-math.Exp2(-halfLives)))
	r.estimate += (float64(min(latency, outlierFactor*typical)) - r.estimate) * weight
	r.measuredAt = now
	// A few slow answers don't show a higher network latency.
	r.updateMinLatency(now, min(latency, typical))
	r.served++
	r.failures = 0
	r.backoffUntil = 0
}

// backOff backs the server off for a time that doubles with each consecutive failure.
func (r *record) backOff(now identifier.Instant) {
	backoff := min(maxBackoff, initialBackoff<<min(r.failures, 10))
	r.failures++
	r.backoffUntil = now.Add(backoff)
}

// slowness returns the ratio of the estimate to the reference, at least 1. Without new
// samples the ratio decays towards 1.
func (r *record) slowness(now identifier.Instant, reference float64) float64 {
	if r.estimate <= reference || reference == 0 {
		return 1
	}
	halfLives := float64(now.Since(r.measuredAt)) / float64(estimateHalfLife)
	return 1 + (r.estimate/reference-1)*math.Exp2(-halfLives)
}

// coldness falls from 1 to 0 while the server serves its first warmUpAttempts attempts.
func (r *record) coldness() float64 {
	return 1 - float64(min(r.served, warmUpAttempts))/warmUpAttempts
}

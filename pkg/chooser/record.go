package chooser

import (
	"math"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// sampleWeight is the least weight of a new latency in the estimate.
	sampleWeight = 0.05
	// outlierFactor bounds a latency that is taken into the estimate, as a multiple of what is
	// usual for the service: one pause of a server delays many attempts.
	outlierFactor = 8
	// priorSamples is how many samples the usual latency of the service counts for.
	priorSamples = 5
	// agedWeight bounds the weight of a latency that comes long after the one before: a pause of a
	// server must not move its work away by itself.
	agedWeight = 0.15
	// waitWeight is the least weight of a wait in vain that is longer than the estimate.
	// It is the larger, since each state must learn of a slow server from a few attempts.
	waitWeight = 0.3
	// estimateHalfLife is the time in which the evidence that a server is slow loses half of its weight.
	estimateHalfLife = 4 * identifier.Second
	// floorWindow is the time over which the least latency is kept.
	floorWindow = 5 * identifier.Second
	// firstPenalty is how long a server is left alone after its first failure.
	firstPenalty = 100 * identifier.Millisecond
	// maxPenalty bounds how long a server is left alone after repeated failures.
	maxPenalty = 10 * identifier.Second
	// warmSamples is how many served attempts end the ramp of a cold server.
	warmSamples = 20
)

// record is what one state measured of one server.
type record struct {
	incarnation identifier.Incarnation
	outstanding int
	// ranks counts the outstanding attempts by rank.
	ranks [identifier.RankCount]int
	// estimate is the moving average of latencies, in microseconds; 0 is none.
	estimate float64
	measured identifier.Instant
	// served counts the served attempts of the incarnation.
	served int
	// floor and nextFloor are the least latencies of the previous and the running window.
	floor, nextFloor identifier.Micros
	floorSince       identifier.Instant
	failures         int
	blockedUntil     identifier.Instant
}

// ahead returns how many outstanding attempts go before a new one of the rank.
func (r *record) ahead(rank identifier.Rank) int {
	count := 0
	for _, n := range r.ranks[:rank+1] {
		count += n
	}
	return count
}

// sample takes a latency into the estimate with at least the weight.
func (r *record) sample(now identifier.Instant, latency identifier.Micros, least float64) {
	weight := max(least, 1/float64(r.served+1))
	if r.estimate == 0 {
		weight = 1
	}
	r.estimate += (float64(latency) - r.estimate) * weight
	r.measured = now
}

// sampleFloor keeps the least latency of two windows of time.
func (r *record) sampleFloor(now identifier.Instant, latency identifier.Micros) {
	if r.nextFloor == 0 || latency < r.nextFloor {
		r.nextFloor = latency
	}
	if now.Since(r.floorSince) < floorWindow {
		return
	}
	r.floor = r.nextFloor
	r.nextFloor = latency
	r.floorSince = now
}

// least returns the least latency of late, in microseconds; 0 is unknown. A server without new
// samples is not kept at a distance by old ones.
func (r *record) least(now identifier.Instant) identifier.Micros {
	if now.Since(r.measured) > 2*floorWindow {
		return 0
	}
	if r.floor == 0 || (r.nextFloor > 0 && r.nextFloor < r.floor) {
		return r.nextFloor
	}
	return r.floor
}

func (r *record) serve(now identifier.Instant, latency identifier.Micros) {
	r.sample(now, latency, sampleWeight)
	r.sampleFloor(now, latency)
	r.served++
	r.failures = 0
	r.blockedUntil = 0
}

// serveAmong takes in a latency of a server whose service has a usual one. The server's
// estimate begins there, and a sample counts the more the longer ago the last one was, up to a bound.
func (r *record) serveAmong(now identifier.Instant, latency, usual identifier.Micros) {
	least := 1 / float64(r.served+1+priorSamples)
	if r.estimate == 0 {
		r.estimate = float64(usual)
		r.measured = now
	}
	age := float64(now.Since(r.measured)) / float64(estimateHalfLife)
	weight := max(sampleWeight, least, min(agedWeight, 1-math.Exp2(-age)))
	r.estimate += (float64(min(latency, outlierFactor*usual)) - r.estimate) * weight
	r.measured = now
	// A few slow answers are no sign of distance.
	r.sampleFloor(now, min(latency, usual))
	r.served++
	r.failures = 0
	r.blockedUntil = 0
}

// fail leaves the server alone for a time that doubles with each failure in a row.
func (r *record) fail(now identifier.Instant) {
	penalty := min(maxPenalty, firstPenalty<<min(r.failures, 10))
	r.failures++
	r.blockedUntil = now.Add(penalty)
}

// slowness is the estimate over the reference; its distance from 1 fades without new samples.
func (r *record) slowness(now identifier.Instant, reference float64) float64 {
	if r.estimate <= reference || reference == 0 {
		return 1
	}
	age := float64(now.Since(r.measured)) / float64(estimateHalfLife)
	return 1 + (r.estimate/reference-1)*math.Exp2(-age)
}

// coldness falls from 1 to 0 while a server that has started takes its first attempts.
func (r *record) coldness() float64 {
	return 1 - float64(min(r.served, warmSamples))/warmSamples
}

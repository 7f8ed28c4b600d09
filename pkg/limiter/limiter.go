// Package limiter limits the calls that an owner keeps in flight on one backend server.
//
// The limit is the number of the server's slots, except in two cases. An owner that takes over
// a server starts with one call, because calls of the previous owner may still run there. A
// shed call shows that other hosts use the server's slots too, so the limit is lowered to the
// calls that remain in flight. In both cases the limit then grows by one slot at a fixed
// interval.
//
// # Usage
//
//	l := limiter.New()
//	l.Restrict(now.Add(grace))
//	if inFlight < l.Limit(now, slots) {
//		...
//	}
//	l.RecordShed(now, inFlight)
package limiter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// GrowthInterval is the time after which a lowered limit grows by one slot.
	GrowthInterval = 100 * identifier.Millisecond
	// MaxExtraCalls is the maximum number of calls beyond its slots that may wait at a server.
	MaxExtraCalls = 1
	// noExtraDuration is how long a server that shed a call gets no calls beyond its slots.
	noExtraDuration = 10 * identifier.Second
	// minLimit is the lowest limit. It is above 0 so that a server is tried again.
	minLimit identifier.Slots = 1
)

// Limiter holds the limit for one server.
type Limiter struct {
	// baseLimit is the limit up to growthStart; it grows from then on.
	baseLimit   identifier.Slots
	growthStart identifier.Instant
	// lowered is false while the limit is the number of the server's slots.
	lowered bool
	// noExtraUntil is the instant up to which the server gets no calls beyond its slots.
	noExtraUntil identifier.Instant
}

// New returns a Limiter whose limit is the number of the server's slots.
func New() *Limiter {
	return &Limiter{}
}

// Restrict lowers the limit to one call. The limit starts to grow at until.
func (l *Limiter) Restrict(until identifier.Instant) {
	l.baseLimit = minLimit
	l.growthStart = until
	l.lowered = true
}

// RecordShed lowers the limit to the number of calls that remain in flight after the server
// shed one.
func (l *Limiter) RecordShed(now identifier.Instant, inFlight int) {
	l.baseLimit = max(identifier.Slots(inFlight), minLimit)
	l.growthStart = max(l.growthStart, now)
	l.lowered = true
	l.noExtraUntil = now.Add(noExtraDuration)
}

// ExtraCalls returns how many calls beyond the limit may wait at the server: MaxExtraCalls, or 0
// while the limit is lowered and for noExtraDuration after the server shed a call.
func (l *Limiter) ExtraCalls(now identifier.Instant) int {
	if l.lowered || now < l.noExtraUntil {
		return 0
	}
	return MaxExtraCalls
}

// Limit returns the maximum number of calls in flight on a server with the given slots.
func (l *Limiter) Limit(now identifier.Instant, slots identifier.Slots) int {
	if !l.lowered {
		return int(slots)
	}
	limit := l.baseLimit + l.grown(now)
	if limit >= slots {
		l.lowered = false
		return int(slots)
	}
	return int(limit)
}

// grown returns the number of slots by which the limit has grown since growthStart.
func (l *Limiter) grown(now identifier.Instant) identifier.Slots {
	if now < l.growthStart {
		return 0
	}
	return identifier.Slots(now.Since(l.growthStart) / GrowthInterval)
}

// NextGrowth returns the instant at which the limit grows next, or identifier.Never if it
// isn't lowered.
func (l *Limiter) NextGrowth(now identifier.Instant) identifier.Instant {
	if !l.lowered {
		return identifier.Never
	}
	steps := identifier.Micros(l.grown(now)) + 1
	return l.growthStart.Add(steps * GrowthInterval)
}

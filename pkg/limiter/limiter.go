// Package limiter bounds the calls that an owner keeps in flight on one backend server.
//
// The bound is the server's slots, except in two cases. An owner that takes a
// server over starts with one call, because calls of the previous owner may
// still run there. A server that sheds, which shows that others use its slots
// too, lowers the bound to what it still runs. In both cases the bound then grows by
// one slot at a fixed interval.
//
// # Usage
//
//	l := limiter.New()
//	l.Restrict(now.Add(grace))
//	if inFlight < l.Limit(now, slots) {
//		...
//	}
//	l.Shed(now, inFlight)
package limiter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// GrowthInterval is the time after which a lowered bound grows by one slot.
	GrowthInterval = 100 * identifier.Millisecond
	// MaxExtra is how many calls beyond its slots a server may be given to keep waiting.
	MaxExtra = 1
	// extraPause is for how long a server that has shed gets no calls beyond its slots.
	extraPause = 10 * identifier.Second
	// least is the bound that is never undercut, so that a server is tried again.
	least identifier.Slots = 1
)

// Limiter holds the bound for one server.
type Limiter struct {
	// base is the bound at the instant from; it grows from then on.
	base identifier.Slots
	from identifier.Instant
	// lowered is false while the bound is the server's slots.
	lowered bool
	// exact is until when no call beyond the slots is made.
	exact identifier.Instant
}

// New returns a Limiter whose bound is the server's slots.
func New() *Limiter {
	return &Limiter{}
}

// Restrict lowers the bound to one call until the instant.
func (l *Limiter) Restrict(until identifier.Instant) {
	l.base = least
	l.from = until
	l.lowered = true
}

// Shed lowers the bound to the calls that remain in flight after the server shed one.
func (l *Limiter) Shed(now identifier.Instant, inFlight int) {
	l.base = max(identifier.Slots(inFlight), least)
	l.from = max(l.from, now)
	l.lowered = true
	l.exact = now.Add(extraPause)
}

// Extra returns how many calls beyond the bound may wait at the server itself: MaxExtra,
// or 0 while the bound is lowered or the server has shed of late.
func (l *Limiter) Extra(now identifier.Instant) int {
	if l.lowered || now < l.exact {
		return 0
	}
	return MaxExtra
}

// Limit returns how many calls may be in flight on a server of so many slots.
func (l *Limiter) Limit(now identifier.Instant, slots identifier.Slots) int {
	if !l.lowered {
		return int(slots)
	}
	limit := l.base + l.grown(now)
	if limit >= slots {
		l.lowered = false
		return int(slots)
	}
	return int(limit)
}

// grown returns by how many slots the bound has grown.
func (l *Limiter) grown(now identifier.Instant) identifier.Slots {
	if now < l.from {
		return 0
	}
	return identifier.Slots(now.Since(l.from) / GrowthInterval)
}

// NextGrowth returns when the bound grows next, or identifier.Never.
func (l *Limiter) NextGrowth(now identifier.Instant) identifier.Instant {
	if !l.lowered {
		return identifier.Never
	}
	steps := identifier.Micros(l.grown(now)) + 1
	return l.from.Add(steps * GrowthInterval)
}

// Package pacer spaces the requests to a backend server so that they stay within a rate.
//
// A Pacer is a token bucket that fills with time and starts empty. A request takes one token. Less
// urgent requests leave a reserve in the bucket, so that an urgent one need not wait for them.
//
// # Usage
//
//	p := pacer.New(now, 12.5, 2)
//	if p.Take(now, 0) {
//		send()
//	}
package pacer

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// roundingTolerance is the allowed rounding error of a sum of fractions of a token, in tokens.
const roundingTolerance = 1e-6

// Pacer is a token bucket. It is not safe for concurrent use.
type Pacer struct {
	rate     identifier.Rate
	burst    float64
	tokens   float64
	filledAt identifier.Instant
}

// New returns an empty Pacer that gains tokens at the rate and holds at most burst tokens.
func New(now identifier.Instant, rate identifier.Rate, burst float64) *Pacer {
	return &Pacer{rate: rate, burst: burst, filledAt: now}
}

// SetRate changes the rate from now on.
func (p *Pacer) SetRate(now identifier.Instant, rate identifier.Rate) {
	p.fill(now)
	p.rate = rate
}

// Ready reports whether Take would succeed.
func (p *Pacer) Ready(now identifier.Instant, reserve float64) bool {
	p.fill(now)
	return p.tokens >= 1+reserve-roundingTolerance
}

// Take takes a token. It returns false if that would leave fewer tokens than the reserve.
func (p *Pacer) Take(now identifier.Instant, reserve float64) bool {
	if !p.Ready(now, reserve) {
		return false
	}
	p.tokens = max(0, p.tokens-1)
	return true
}

// ReadyAt returns when Take will succeed if no token is taken before; Never if the rate is 0 or too
// low to matter.
func (p *Pacer) ReadyAt(now identifier.Instant, reserve float64) identifier.Instant {
	if p.Ready(now, reserve) {
		return now
	}
	// A rate below one request a day counts as none.
	const minRate = 1.0 / (24 * 3600)
	if p.rate < minRate {
		return identifier.Never
	}
	missing := (1 + reserve - p.tokens) / float64(p.rate)
	return now.Add(identifier.Micros(missing*float64(identifier.Second)) + 1)
}

func (p *Pacer) fill(now identifier.Instant) {
	elapsed := float64(now.Since(p.filledAt)) / float64(identifier.Second)
	p.filledAt = now
	p.tokens = min(p.burst, p.tokens+elapsed*float64(p.rate))
}

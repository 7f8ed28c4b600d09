// Package throttler limits extra attempts to a share of the first attempts.
//
// A Throttler is a token bucket. Each first attempt adds a fraction of a token, and each extra
// attempt takes a whole token. Tokens are added over time only by calls to Refill. Every state
// of every entry host has its own Throttler, so the extra attempts of all hosts stay within the
// share of all first attempts without messages between hosts.
//
// # Usage
//
//	t := throttler.New(10, 0)
//	t.Earn(0.05)
//	if t.Spend() {
//		hedge()
//	}
package throttler

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// roundingTolerance is the allowed rounding error of sums of shares, in tokens.
const roundingTolerance = 1e-6

// Throttler is a token bucket. It is not safe for concurrent use.
type Throttler struct {
	burst  float64
	tokens float64
	// earned and spent are totals since New. Tokens above burst count as earned.
	earned float64
	spent  uint64
}

// New returns a Throttler that starts with the reserve of tokens and holds at most burst
// tokens.
func New(burst, reserve float64) Throttler {
	return Throttler{burst: burst, tokens: reserve, earned: reserve}
}

// Earn adds the share of a token for one first attempt.
func (t *Throttler) Earn(share identifier.Ratio) {
	t.earned += float64(share)
	t.tokens = min(t.burst, t.tokens+float64(share))
}

// Refill adds tokens for elapsed time.
func (t *Throttler) Refill(tokens float64) {
	t.earned += tokens
	t.tokens = min(t.burst, t.tokens+tokens)
}

// SetBurst sets the maximum number of tokens, and discards tokens above it.
func (t *Throttler) SetBurst(burst float64) {
	t.burst = burst
	t.tokens = min(burst, t.tokens)
}

// Spend takes a token for one extra attempt. It returns false if there is none.
func (t *Throttler) Spend() bool {
	if t.tokens < 1-roundingTolerance {
		return false
	}
	t.tokens = max(0, t.tokens-1)
	t.spent++
	return true
}

// WithinBudget reports whether no more tokens were spent than were earned.
func (t *Throttler) WithinBudget() bool {
	return float64(t.spent) <= t.earned+roundingTolerance*float64(t.spent+1)
}

// Tokens returns the number of tokens that may be spent.
func (t *Throttler) Tokens() float64 {
	return t.tokens
}

// Spent returns the number of tokens spent.
func (t *Throttler) Spent() uint64 {
	return t.spent
}

// Package throttler bounds extra attempts to a share of the needed ones.
//
// A Throttler is a token bucket: each needed attempt adds a share of a token and each
// extra attempt takes a whole one. Time fills it only where its user says so (Refill). Every state of
// every entry host keeps its own, so the extra attempts of all hosts together
// stay within the share of the needed attempts of all hosts together, without a
// message between them.
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

// rounding is the error allowed in a comparison of sums of shares, in tokens.
const rounding = 1e-6

// Throttler is a token bucket. It is not safe for concurrent use.
type Throttler struct {
	burst  float64
	tokens float64
	earned float64
	spent  uint64
}

// New returns a Throttler that begins with the reserve of tokens and saves up at most burst of them.
func New(burst, reserve float64) Throttler {
	return Throttler{burst: burst, tokens: reserve, earned: reserve}
}

// Earn adds the share for one needed attempt.
func (t *Throttler) Earn(share identifier.Ratio) {
	t.earned += float64(share)
	t.tokens = min(t.burst, t.tokens+float64(share))
}

// Refill adds tokens that time has brought.
func (t *Throttler) Refill(tokens float64) {
	t.earned += tokens
	t.tokens = min(t.burst, t.tokens+tokens)
}

// Limit changes how many tokens are saved up at most.
func (t *Throttler) Limit(burst float64) {
	t.burst = burst
	t.tokens = min(burst, t.tokens)
}

// Spend takes a token for one extra attempt; it reports false when there is none.
func (t *Throttler) Spend() bool {
	if t.tokens < 1-rounding {
		return false
	}
	t.tokens = max(0, t.tokens-1)
	t.spent++
	return true
}

// Kept reports whether the extra attempts lie within what was earned.
func (t *Throttler) Kept() bool {
	return float64(t.spent) <= t.earned+rounding*float64(t.spent+1)
}

// Spent counts the extra attempts.
func (t *Throttler) Spent() uint64 {
	return t.spent
}

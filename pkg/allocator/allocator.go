// Package allocator decides which pieces of a query get an extra attempt while servers reject a part of
// their attempts, and which queries are lost.
//
// The load that it answers: for some seconds half of all servers reject about half of their attempts, at once
// and without running them. Of 36 services with three servers each, four or five then have no sound
// server, and a query needs nearly all services. Its rejected attempts can be repeated, but extra attempts
// are limited for each service, and rejected ones count. Spent on every rejected piece they run out, and most
// queries miss a few pieces. Three rules spend them on queries that become whole:
//
//   - A query is begun only if it has a realistic chance with the budgets that there are.
//   - A piece of a service without a sound server is repeated if the query can't do without it, those with the
//     best chance first. Other ones are repeated only while the service's budget is plentiful.
//   - A query that needs more extra attempts than its share of the budgets is lost, so that they are
//     left for queries that need few.
//
// # Usage
//
//	if !allocator.MayBegin(pieces, required) {
//		refuse()
//	}
//	switch d := allocator.Decide(pieces, required).(type) {
//	case allocator.Proceed:
//		repeat(d.Pieces)
//	case allocator.Lost:
//		end()
//	}
package allocator

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// minChance is the least probability of a whole answer with which a query is begun or continued. Its
	// first attempts take nothing from the budgets, so that a small chance is worth them.
	minChance = 0.1
	// budgetShare is the share of the budgets of a query's unserved pieces that it may be expected to take.
	// Of the played queries that need 31 of 36 pieces while 0.8 of the servers reject 0.6, 0.25 are whole with it,
	// 0.15 with 0.5 and 0.19 with 1.25.
	budgetShare = 0.7
	// maxExpectedAttempts limits the attempts that a served piece is expected to take, since a
	// server that rejects everything has no finite expectation.
	maxExpectedAttempts = 100
	// spareBudget is the least budget of a service of which pieces that the query can do without get an attempt:
	// one is left for the next query. Without them, answers lack parts while the budgets are full.
	spareBudget = 2
	// roundingTolerance is the allowed rounding error of a budget.
	roundingTolerance = 1e-6
)

// Stage is how far a piece has got.
type Stage uint8

// The stages of a piece.
const (
	// Open pieces have an attempt in flight, or are about to get their first one.
	Open Stage = iota
	// Rejected pieces need an extra attempt.
	Rejected
	// Served pieces have their answer.
	Served
	// Failed pieces will get no answer.
	Failed
)

// Piece is what is known of a piece and of its service.
type Piece struct {
	Stage Stage
	// Rejection is the least ratio of attempts that one of the service's servers rejects.
	Rejection identifier.Ratio
	// Budget is how many extra attempts may be sent to the service. A fraction is not enough for one, but
	// counts for what the query may be expected to take.
	Budget float64
}

// Decision is what to do with a query. The interface is sealed: only types of this package implement it.
type Decision interface{ isDecision() }

type (
	// Proceed names the rejected pieces that get an extra attempt now, by index. The others wait.
	Proceed struct{ Pieces []int }
	// Lost ends the query.
	Lost struct{}
)

func (Proceed) isDecision() {}
func (Lost) isDecision()    {}

// MayBegin reports whether a query whose answer requires a number of its pieces has a realistic chance.
func MayBegin(pieces []Piece, required int) bool {
	return chance(pieces, required) >= minChance
}

// Decide decides on a query that is in progress.
func Decide(pieces []Piece, required int) Decision {
	if chance(pieces, required) < minChance {
		return Lost{}
	}
	var rejected []int
	// missing pieces must be served if all open ones are; expected is how many must be served in addition to the
	// open ones that are.
	missing, expected, budgets := required, float64(required), 0.0
	for i := range pieces {
		p := &pieces[i]
		switch p.Stage {
		case Served:
			missing--
			expected--
			continue
		case Open:
			missing--
			expected -= 1 - float64(p.Rejection)
		case Rejected:
			rejected = append(rejected, i)
		}
		if p.Rejection > 0 {
			budgets += p.Budget
		}
	}
	slices.SortStableFunc(rejected, func(a, b int) int {
		return cmp.Compare(pieces[b].chance(), pieces[a].chance())
	})
	needed := rejected[:max(0, min(missing, len(rejected)))]
	spare := rejected[len(needed):]
	attempts := 0.0
	for _, i := range needed {
		attempts += pieces[i].expectedAttempts() / float64(len(needed))
	}
	if len(needed) > 0 && expected*attempts > budgetShare*budgets {
		return Lost{}
	}
	spare = slices.DeleteFunc(spare, func(i int) bool { return pieces[i].Budget < spareBudget })
	return Proceed{Pieces: append(slices.Clone(needed), spare...)}
}

// expectedAttempts returns how many attempts a piece takes until one is accepted.
func (p *Piece) expectedAttempts() float64 {
	return min(maxExpectedAttempts, 1/max(1/float64(maxExpectedAttempts), 1-float64(p.Rejection)))
}

// chance returns the probability that the piece is served within its budget.
func (p *Piece) chance() float64 {
	attempts := int(p.Budget + roundingTolerance)
	switch p.Stage {
	case Served:
		return 1
	case Failed:
		return 0
	case Open:
		attempts++
	}
	rejected := 1.0
	for range attempts {
		rejected *= float64(p.Rejection)
	}
	return 1 - rejected
}

// chance returns the probability that at least the required number of pieces is served.
func chance(pieces []Piece, required int) float64 {
	allowed := len(pieces) - required
	if allowed < 0 {
		return 0
	}
	// missing holds the probability of each number of unserved pieces, up to the allowed one.
	missing := make([]float64, allowed+1)
	missing[0] = 1
	for i := range pieces {
		served := pieces[i].chance()
		for n := allowed; n >= 0; n-- {
			missing[n] *= served
			if n > 0 {
				missing[n] += missing[n-1] * (1 - served)
			}
		}
	}
	sum := 0.0
	for _, x := range missing {
		sum += x
	}
	return sum
}

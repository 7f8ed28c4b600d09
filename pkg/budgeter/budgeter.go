// Package budgeter keeps the service-level history of customers and computes
// how fast each one's error budget burns.
//
// Every query that ends gets one Verdict. A Book counts verdicts by customer
// and rank in buckets of fixed length, from which the share of bad queries in
// any window follows. A burn of 1 uses up the error budget exactly in the period
// of the objective; a burn of 10 uses it up ten times as fast.
//
// # Usage
//
//	b := budgeter.New(startedAt)
//	b.Add(at, budgeter.Series{Customer: "desk", Rank: identifier.Urgent}, objective, budgeter.Late)
//	for _, h := range b.Histories() {
//		t := h.Sum(now.Add(-5*identifier.Minute), now)
//		burn, ok := budgeter.Burn(t.Late, t.Total, h.Objective.Share)
//	}
package budgeter

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// BucketSpan is the length of a bucket.
	BucketSpan = 30 * identifier.Second
	// BucketCount bounds the buckets kept for one series; together they span six hours.
	BucketCount = 720
)

// Verdict says how a query's end counts against its objective.
type Verdict uint8

// The verdicts.
const (
	// Good was answered in time and completely enough.
	Good Verdict = iota
	// Late was answered after the latency target.
	Late
	// Incomplete got no answer, or one less complete than required.
	Incomplete
	// Refused was turned away before it ran.
	Refused
)

// Series names what is counted together.
type Series struct {
	Customer identifier.CustomerID
	Rank     identifier.Rank
}

// Objective is what a customer was promised for a rank.
type Objective struct {
	// Target is the latency target, in microseconds; 0 sets none.
	Target identifier.Micros
	// Share is the share of queries that must be good, from 0 to 1.
	Share identifier.Ratio
}

// Tally counts verdicts.
type Tally struct {
	Total      uint64 `json:"total"`
	Late       uint64 `json:"late"`
	Incomplete uint64 `json:"incomplete"`
	Refused    uint64 `json:"refused"`
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(other Tally) Tally {
	return Tally{
		Total:      t.Total + other.Total,
		Late:       t.Late + other.Late,
		Incomplete: t.Incomplete + other.Incomplete,
		Refused:    t.Refused + other.Refused,
	}
}

// Bad is the number of queries that missed the objective in any way.
func (t Tally) Bad() uint64 {
	return t.Late + t.Incomplete + t.Refused
}

func (t *Tally) add(v Verdict) {
	t.Total++
	switch v {
	case Late:
		t.Late++
	case Incomplete:
		t.Incomplete++
	case Refused:
		t.Refused++
	}
}

// Bucket is the tally of one span of time, from Start on.
type Bucket struct {
	Start identifier.Instant `json:"start-us"`
	Tally Tally              `json:"tally"`
}

// History is what a series saw, in buckets in order of time; a bucket without queries is left out.
type History struct {
	Series    Series
	Objective Objective
	Buckets   []Bucket
}

// Sum adds the buckets that start within [from, to).
func (h History) Sum(from, to identifier.Instant) Tally {
	var sum Tally
	for _, b := range h.Buckets {
		if b.Start >= from && b.Start < to {
			sum = sum.Plus(b.Tally)
		}
	}
	return sum
}

// Book holds the histories of all series of one entry host. It is not safe for
// concurrent use.
type Book struct {
	started identifier.Instant
	series  map[Series]*History
}

// New returns an empty Book that counts from the instant on.
func New(started identifier.Instant) *Book {
	return &Book{started: started, series: map[Series]*History{}}
}

// Started returns the instant from which the book has counted.
func (b *Book) Started() identifier.Instant {
	return b.started
}

// Add counts the end of a query.
func (b *Book) Add(at identifier.Instant, s Series, o Objective, v Verdict) {
	h, ok := b.series[s]
	if !ok {
		h = &History{Series: s}
		b.series[s] = h
	}
	h.Objective = o
	start := at - at%identifier.Instant(BucketSpan)
	last := len(h.Buckets) - 1
	if last < 0 || h.Buckets[last].Start < start {
		h.Buckets = append(h.Buckets, Bucket{Start: start})
		last++
	}
	h.Buckets[last].Tally.add(v)
	if len(h.Buckets) > BucketCount {
		h.Buckets = slices.Delete(h.Buckets, 0, len(h.Buckets)-BucketCount)
	}
}

// Histories returns a copy of all histories, in order of customer and rank.
func (b *Book) Histories() []History {
	list := make([]History, 0, len(b.series))
	for _, h := range b.series {
		list = append(list, History{h.Series, h.Objective, slices.Clone(h.Buckets)})
	}
	slices.SortFunc(list, func(x, y History) int {
		return Compare(x.Series, y.Series)
	})
	return list
}

// Compare orders series by customer, then by rank.
func Compare(x, y Series) int {
	if c := cmp.Compare(x.Customer, y.Customer); c != 0 {
		return c
	}
	return cmp.Compare(x.Rank, y.Rank)
}

// Burn returns how many times faster than allowed the error budget burns. It
// reports false when there was no query, or the objective leaves no budget.
func Burn(bad, total uint64, objective identifier.Ratio) (identifier.Ratio, bool) {
	if total == 0 || objective >= 1 {
		return 0, false
	}
	return identifier.Ratio(bad) / identifier.Ratio(total) / (1 - objective), true
}

// Package budgeter records how customers' queries met their service-level objectives
// and computes the burn rate of each error budget.
//
// Every finished query gets one Verdict. A Tracker counts verdicts by customer and rank
// in buckets of fixed duration, which give the share of bad queries in any window. A
// burn rate of 1 uses up the error budget in exactly the period of the objective; a
// burn rate of 10 uses it up ten times as fast.
//
// # Usage
//
//	b := budgeter.New(startedAt)
//	b.Add(at, budgeter.Series{Customer: "desk", Rank: identifier.Urgent}, objective, budgeter.Late)
//	for _, h := range b.Histories() {
//		t := h.Sum(now.Add(-5*identifier.Minute), now)
//		burn, ok := budgeter.BurnRate(t.Late, t.Total, h.Objective.Share)
//	}
package budgeter

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// BucketDuration is the duration that a bucket covers.
	BucketDuration = 30 * identifier.Second
	// MaxBuckets limits the buckets kept for one series. They cover at least six hours, since
	// buckets without queries are omitted.
	MaxBuckets = 720
)

// Verdict is how the result of a query counts against its objective.
type Verdict uint8

// Verdicts of a query.
const (
	// Good queries were answered in time with the required coverage.
	Good Verdict = iota
	// Late queries were answered after the target latency.
	Late
	// Incomplete queries got no answer, or one with less than the required coverage.
	Incomplete
	// Refused queries were rejected before they ran.
	Refused
)

// Series identifies the queries that are counted together.
type Series struct {
	Customer identifier.CustomerID
	Rank     identifier.Rank
}

// Objective is the service-level objective of a customer for a rank.
type Objective struct {
	// Target is the target latency, in microseconds; 0 means none.
	Target identifier.Micros
	// Share is the share of queries that must be good, from 0 to 1.
	Share identifier.Ratio
}

// Tally holds counts of verdicts.
type Tally struct {
	Total      uint64 `json:"total"`
	Late       uint64 `json:"late"`
	Incomplete uint64 `json:"incomplete"`
	Refused    uint64 `json:"refused"`
}

// Plus returns the sum of both tallies.
func (t Tally) Plus(other Tally) Tally {
	return Tally{
		Total:      t.Total + other.Total,
		Late:       t.Late + other.Late,
		Incomplete: t.Incomplete + other.Incomplete,
		Refused:    t.Refused + other.Refused,
	}
}

// Bad returns the number of queries that missed the objective.
func (t Tally) Bad() uint64 {
	return t.Late + t.Incomplete + t.Refused
}

func (t *Tally) count(v Verdict) {
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

// Bucket is the tally of the queries that finished within BucketDuration from Start.
type Bucket struct {
	Start identifier.Instant `json:"start-us"`
	Tally Tally              `json:"tally"`
}

// History holds the buckets of a series in order of time. Buckets without queries are omitted.
type History struct {
	Series    Series
	Objective Objective
	Buckets   []Bucket
}

// Sum returns the sum of the buckets that start within [from, to).
func (h History) Sum(from, to identifier.Instant) Tally {
	var sum Tally
	for _, b := range h.Buckets {
		if b.Start >= from && b.Start < to {
			sum = sum.Plus(b.Tally)
		}
	}
	return sum
}

// Tracker holds the histories of all series of one entry host. It is not safe for
// concurrent use.
type Tracker struct {
	started identifier.Instant
	series  map[Series]*History
}

// New returns an empty Tracker that records queries from the given instant on.
func New(started identifier.Instant) *Tracker {
	return &Tracker{started: started, series: map[Series]*History{}}
}

// Started returns the instant given to New.
func (b *Tracker) Started() identifier.Instant {
	return b.started
}

// Add counts a finished query. The objective replaces the one stored for the series.
func (b *Tracker) Add(at identifier.Instant, s Series, o Objective, v Verdict) {
	h, ok := b.series[s]
	if !ok {
		h = &History{Series: s}
		b.series[s] = h
	}
	h.Objective = o
	start := at - at%identifier.Instant(BucketDuration)
	last := len(h.Buckets) - 1
	if last < 0 || h.Buckets[last].Start < start {
		h.Buckets = append(h.Buckets, Bucket{Start: start})
		last++
	}
	h.Buckets[last].Tally.count(v)
	if len(h.Buckets) > MaxBuckets {
		h.Buckets = slices.Delete(h.Buckets, 0, len(h.Buckets)-MaxBuckets)
	}
}

// Histories returns a copy of all histories, ordered by customer and rank.
func (b *Tracker) Histories() []History {
	histories := make([]History, 0, len(b.series))
	for _, h := range b.series {
		histories = append(histories, History{h.Series, h.Objective, slices.Clone(h.Buckets)})
	}
	slices.SortFunc(histories, func(x, y History) int {
		return CompareSeries(x.Series, y.Series)
	})
	return histories
}

// CompareSeries orders series by customer and then by rank.
func CompareSeries(x, y Series) int {
	if c := cmp.Compare(x.Customer, y.Customer); c != 0 {
		return c
	}
	return cmp.Compare(x.Rank, y.Rank)
}

// BurnRate returns the burn rate, which may exceed 1: the share of bad queries divided by the
// share that the objective allows. It returns false if there was no query or the objective
// allows no bad ones.
func BurnRate(bad, total uint64, objective identifier.Ratio) (identifier.Ratio, bool) {
	if total == 0 || objective >= 1 {
		return 0, false
	}
	return identifier.Ratio(bad) / identifier.Ratio(total) / (1 - objective), true
}

// Package lender limits what all hosts together borrow from a shared slack within a sliding
// time window.
//
// Hosts borrow first and report it soon after, so that no request waits for a message. The
// lender sums the reported loans over the window. A service whose loans reach the limit is
// exhausted: its slack must not be lent again until the window has moved on.
//
// # Usage
//
//	l := lender.New(10 * identifier.Second)
//	l.RecordLoans(now, "desk-1", 3)
//	for _, id := range l.Exhausted(now, 20) {
//		stopLending(id)
//	}
package lender

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// bucketCount is the number of time buckets in a window. Loans count until their whole
// bucket has left the window, so they count for up to a twentieth of the window too long.
const bucketCount = 20

// Lender sums loans by service. It is not safe for concurrent use.
type Lender struct {
	window identifier.Micros
	loans  map[identifier.ServiceID]*loanWindow
}

// loanWindow holds the loans from one service's slack by time bucket.
type loanWindow struct {
	buckets [bucketCount + 1]int
	// lastBucket is the number of the latest bucket in use, counted from the epoch of the
	// clock.
	lastBucket int64
}

// New returns a Lender without loans. The window is in microseconds.
func New(window identifier.Micros) *Lender {
	return &Lender{window: max(bucketCount, window), loans: map[identifier.ServiceID]*loanWindow{}}
}

// RecordLoans records count loans that a host took just before now.
func (l *Lender) RecordLoans(now identifier.Instant, id identifier.ServiceID, count int) {
	window, ok := l.loans[id]
	if !ok {
		window = &loanWindow{}
		l.loans[id] = window
	}
	window.advance(l.bucketNumber(now))
	window.buckets[window.lastBucket%int64(len(window.buckets))] += count
}

// Exhausted returns the services whose loans within the window reach the limit, in order,
// and removes the services without loans.
func (l *Lender) Exhausted(now identifier.Instant, limit float64) []identifier.ServiceID {
	var exhausted []identifier.ServiceID
	for id, window := range l.loans {
		window.advance(l.bucketNumber(now))
		sum := 0
		for _, n := range window.buckets {
			sum += n
		}
		if sum == 0 {
			delete(l.loans, id)
		}
		if float64(sum) >= limit {
			exhausted = append(exhausted, id)
		}
	}
	slices.Sort(exhausted)
	return exhausted
}

// bucketNumber returns the number of the bucket that contains the instant.
func (l *Lender) bucketNumber(now identifier.Instant) int64 {
	return int64(now) / (int64(l.window) / bucketCount)
}

// advance moves the window forward to the bucket and clears the buckets that have left it.
func (w *loanWindow) advance(bucket int64) {
	for n := max(w.lastBucket+1, bucket-int64(len(w.buckets))+1); n <= bucket; n++ {
		w.buckets[n%int64(len(w.buckets))] = 0
	}
	w.lastBucket = max(w.lastBucket, bucket)
}

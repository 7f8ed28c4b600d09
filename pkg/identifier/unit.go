package identifier

import (
	"fmt"
	"time"
)

// Micros is a span of time in microseconds.
type Micros int64

// Spans in microseconds.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
)

// Duration converts the span for the standard library.
func (m Micros) Duration() time.Duration {
	return time.Duration(m) * time.Microsecond
}

// MicrosOf converts a span of the standard library, rounding down.
func MicrosOf(d time.Duration) Micros {
	return Micros(d / time.Microsecond)
}

// Instant is a point in time in microseconds since the Unix epoch. One process
// reads it from a clock that never steps back.
type Instant int64

// Never is later than every instant that a clock gives.
const Never Instant = 1<<63 - 1

// Add returns the instant that lies the span later.
func (i Instant) Add(m Micros) Instant {
	return i + Instant(m)
}

// Since returns the span from the earlier instant to this one.
func (i Instant) Since(earlier Instant) Micros {
	return Micros(i - earlier)
}

// Ratio is a share between 0 and 1, such as coverage.
type Ratio float64

// Rank orders work by urgency; a lower rank is served first.
type Rank uint8

// The three ranks of work.
const (
	Urgent Rank = iota
	Standard
	Deferrable
)

// RankCount is how many ranks there are.
const RankCount = 3

var rankNames = [RankCount]string{"urgent", "standard", "deferrable"}

// String returns the rank's name in settings and reports.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return fmt.Sprintf("rank-%d", uint8(r))
	}
	return rankNames[r]
}

// InvalidRankError reports a text that names no rank.
type InvalidRankError struct {
	Text string
}

// Error lists the valid names.
func (e *InvalidRankError) Error() string {
	return fmt.Sprintf("rank %q is none of urgent, standard, deferrable", e.Text)
}

// ParseRank returns the rank of the name, or an *InvalidRankError.
func ParseRank(text string) (Rank, error) {
	for i, name := range rankNames {
		if name == text {
			return Rank(i), nil
		}
	}
	return 0, &InvalidRankError{Text: text}
}

// HashPoint is a point of the hash space, from 0 up to HashSpace.
type HashPoint uint64

// HashSpace is the end of the hash space; 0 is its start.
const HashSpace HashPoint = 1 << 32

// HashRange is the half-open range of hash points [From, To).
type HashRange struct {
	From HashPoint `msgpack:"f" json:"from" yaml:"from"`
	To   HashPoint `msgpack:"t" json:"to" yaml:"to"`
}

// Width is the number of points in the range; an inverted range has none.
func (h HashRange) Width() HashPoint {
	if h.To <= h.From {
		return 0
	}
	return h.To - h.From
}

// Contains reports whether the whole of the other range lies in this one.
func (h HashRange) Contains(other HashRange) bool {
	return h.From <= other.From && other.To <= h.To
}

// Snapshot pins the data that an answer reflects: one partitioning and one index version.
type Snapshot struct {
	Epoch   Epoch        `msgpack:"e" json:"epoch"`
	Version IndexVersion `msgpack:"v" json:"version"`
}

package identifier

import (
	"fmt"
	"time"
)

// Micros is a duration in microseconds.
type Micros int64

// Common durations.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
)

// Duration returns m as a time.Duration.
func (m Micros) Duration() time.Duration {
	return time.Duration(m) * time.Microsecond
}

// MicrosOf returns d in microseconds, rounded toward zero.
func MicrosOf(d time.Duration) Micros {
	return Micros(d / time.Microsecond)
}

// Instant is a point in time in microseconds since the Unix epoch. Within one
// process it is read from a clock that never goes backwards.
type Instant int64

// Never is later than any instant that a clock returns.
const Never Instant = 1<<63 - 1

// Add returns the instant i+m.
func (i Instant) Add(m Micros) Instant {
	return i + Instant(m)
}

// Since returns the duration from earlier to i.
func (i Instant) Since(earlier Instant) Micros {
	return Micros(i - earlier)
}

// Ratio is a ratio without a unit, such as coverage. It is a fraction from 0 to 1 unless stated
// otherwise.
type Ratio float64

// Rank is the urgency of work. A rank with a lower number is served first.
type Rank uint8

// The ranks of work, most urgent first.
const (
	Urgent Rank = iota
	Standard
	Deferrable
)

// RankCount is the number of ranks.
const RankCount = 3

var rankNames = [RankCount]string{"urgent", "standard", "deferrable"}

// String returns the name that settings and reports use for the rank.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return fmt.Sprintf("rank-%d", uint8(r))
	}
	return rankNames[r]
}

// InvalidRankError is returned for a text that is not the name of a rank.
type InvalidRankError struct {
	Text string
}

// Error returns a message with the invalid text and the valid names.
func (e *InvalidRankError) Error() string {
	return fmt.Sprintf("rank %q is none of urgent, standard, deferrable", e.Text)
}

// ParseRank returns the rank with the given name.
// It returns an *InvalidRankError for any other text.
func ParseRank(text string) (Rank, error) {
	for i, name := range rankNames {
		if name == text {
			return Rank(i), nil
		}
	}
	return 0, &InvalidRankError{Text: text}
}

// HashPoint is a point of the hash space, or its end, HashSpace.
type HashPoint uint64

// HashSpace is the size of the hash space, whose points are 0 to HashSpace-1.
const HashSpace HashPoint = 1 << 32

// HashRange is the half-open range of hash points [From, To).
type HashRange struct {
	From HashPoint `msgpack:"f" json:"from" yaml:"from"`
	To   HashPoint `msgpack:"t" json:"to" yaml:"to"`
}

// Width returns the number of points in the range. It is 0 if To is below From.
func (h HashRange) Width() HashPoint {
	if h.To <= h.From {
		return 0
	}
	return h.To - h.From
}

// Contains reports whether other lies entirely within h.
func (h HashRange) Contains(other HashRange) bool {
	return h.From <= other.From && other.To <= h.To
}

// Snapshot identifies the data that an answer is computed from: one partition and one index
// version.
type Snapshot struct {
	Epoch   Epoch        `msgpack:"e" json:"epoch"`
	Version IndexVersion `msgpack:"v" json:"version"`
}

package experimenter

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// maxLatency is the highest value of a histogram, in microseconds.
	maxLatency = 60 * identifier.Second
	// histogramDigits is the number of significant decimal digits in a histogram.
	histogramDigits = 3
	// maxSendLag is the p99 of the load tool's own send delay, at time scale 1, above
	// which a segment is too noisy to evaluate.
	maxSendLag = 5 * identifier.Millisecond
	// maxCPUShare is the share of the machine's cores in use above which a segment
	// is too noisy to evaluate.
	maxCPUShare = 0.6
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), histogramDigits)
}

// RankResult holds the results of the first customer's queries of one rank.
type RankResult struct {
	// Offered counts the queries sent, Good those answered in time, Refused those
	// refused without being run, and Failed those that failed otherwise.
	Offered, Good, Refused, Failed int
	// Latency holds the latencies, in microseconds, of the queries that were not
	// refused.
	Latency *hdrhistogram.Histogram
	// CoverageSum is the sum of the coverage of all answers.
	CoverageSum identifier.Ratio
}

// quantile returns a quantile of the latency, in microseconds.
func (r RankResult) quantile(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(100 * q))
}

// goodputShare returns the share of the offered queries that were answered in time.
func (r RankResult) goodputShare() float64 {
	return ratio(float64(r.Good), float64(r.Offered))
}

// Segment is the result of one policy in one condition of one run.
type Segment struct {
	Policy    string
	Condition string
	Ranks     [identifier.RankCount]RankResult
	// Violations describes the answers and refusals that broke a guarantee.
	Violations []string
	// Parts counts the parts of all answers, ExecutedAttempts the attempts that
	// backend servers ran.
	Parts, ExecutedAttempts int
	// LateRuns counts the attempts that ran on a leaving server after
	// faker.LeaveGrace.
	LateRuns int
	// Crashes is the highest number of crashes of one service.
	Crashes int
	// LostServices counts how often all servers of a service were down at once.
	LostServices int
	// MaxConnections is the highest number of connections open at one server at the end
	// of the segment.
	MaxConnections int
	TimeScale      float64
	// Capacity is the capacity of the first customer's slots, in queries per second.
	Capacity         float64
	MeasuredDuration time.Duration
	// CPUTime is the CPU time of the whole process, and WallTime the duration of
	// the segment.
	CPUTime, WallTime time.Duration
	// SendLag holds the load tool's own send delays, in microseconds.
	SendLag *hdrhistogram.Histogram
	// refusedTokens holds the tokens of the queries that were refused as not run.
	refusedTokens []string
	// Cores is the number of CPU cores of the machine.
	Cores int
}

func newSegment() *Segment {
	s := &Segment{SendLag: newHistogram()}
	for r := range s.Ranks {
		s.Ranks[r].Latency = newHistogram()
	}
	return s
}

// goodput returns the number of queries of all ranks answered in time.
func (s Segment) goodput() float64 {
	sum := 0
	for _, r := range s.Ranks {
		sum += r.Good
	}
	return float64(sum)
}

// extraLoad returns the number of attempts run in excess of the parts delivered,
// relative to the parts delivered.
func (s Segment) extraLoad() float64 {
	return ratio(float64(s.ExecutedAttempts-s.Parts), float64(s.Parts))
}

// usedCores returns the average number of CPU cores in use.
func (s Segment) usedCores() float64 {
	return ratio(s.CPUTime.Seconds(), s.WallTime.Seconds())
}

// noiseReason returns why the segment is too noisy to evaluate, or an empty string.
func (s Segment) noiseReason() string {
	sendLag := identifier.Micros(s.SendLag.ValueAtQuantile(99))
	if sendLag > identifier.Micros(s.TimeScale*float64(maxSendLag)) {
		return fmt.Sprintf("sent late by %s at p99", sendLag.Duration())
	}
	if used := s.usedCores(); used > maxCPUShare*float64(s.Cores) {
		return fmt.Sprintf("used %.1f of %d cores", used, s.Cores)
	}
	return ""
}

// outcomeKind is the result of a query for its client.
type outcomeKind uint8

const (
	answered outcomeKind = iota
	refused
	failed
)

// outcome is the result of one query, sent to the collecting goroutine.
type outcome struct {
	kind     outcomeKind
	customer int
	rank     identifier.Rank
	// measured is set for queries due after the warm-up.
	measured bool
	// latency counts from the intended send time.
	latency time.Duration
	// inTime is set if the client received the answer before its timeout, with
	// timeoutSlack.
	inTime bool
	// sendLag is the load tool's own send delay.
	sendLag   time.Duration
	parts     int
	coverage  identifier.Ratio
	violation string
	token     string
}

// add counts one outcome.
func (s *Segment) add(o outcome) {
	s.Parts += o.parts
	if o.violation != "" {
		s.Violations = append(s.Violations, o.violation)
	}
	if o.kind == refused {
		s.refusedTokens = append(s.refusedTokens, o.token)
	}
	if !o.measured {
		return
	}
	recordDuration(s.SendLag, o.sendLag)
	if o.customer != 0 {
		return
	}
	r := &s.Ranks[o.rank]
	r.Offered++
	switch o.kind {
	case refused:
		r.Refused++
		return
	case failed:
		r.Failed++
	case answered:
		r.CoverageSum += o.coverage
		if o.inTime {
			r.Good++
		}
	}
	recordDuration(r.Latency, o.latency)
}

// checkRefusals adds a violation for each query that was refused as not run but did
// run, and clears the recorded queries.
func (s *Segment) checkRefusals(executed *executedBodies) {
	for _, token := range s.refusedTokens {
		if executed.containsToken(token) {
			s.Violations = append(s.Violations, fmt.Sprintf("query %s was refused as not run, and ran", token))
		}
	}
	s.refusedTokens = nil
	executed.bodies.Clear()
}

// recordDuration adds a duration to a histogram, limited to the histogram's range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), int64(maxLatency)))
}

// mergeSegments combines the segments of several runs into the fields that the
// report's table shows.
func mergeSegments(segments []Segment) *Segment {
	sum := newSegment()
	sum.Policy, sum.Condition = segments[0].Policy, segments[0].Condition
	for _, s := range segments {
		for r := range s.Ranks {
			from, to := s.Ranks[r], &sum.Ranks[r]
			to.Offered += from.Offered
			to.Good += from.Good
			to.Refused += from.Refused
			to.Failed += from.Failed
			to.CoverageSum += from.CoverageSum
			to.Latency.Merge(from.Latency)
		}
		sum.Violations = append(sum.Violations, s.Violations...)
		sum.Parts += s.Parts
		sum.ExecutedAttempts += s.ExecutedAttempts
		sum.MaxConnections = max(sum.MaxConnections, s.MaxConnections)
		sum.CPUTime += s.CPUTime
		sum.WallTime += s.WallTime
		sum.SendLag.Merge(s.SendLag)
	}
	return sum
}

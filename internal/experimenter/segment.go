package experimenter

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// maxLatency bounds what a histogram can hold, in microseconds.
	maxLatency = 60 * identifier.Second
	// histogramDigits is the precision of the histograms, in decimal digits.
	histogramDigits = 3
	// lagLimit is the p99 of the tool's own delay in sending, at time scale 1,
	// above which a segment is too noisy to count.
	lagLimit = 5 * identifier.Millisecond
	// processorLimit is the share of the machine's cores above which a segment
	// is too noisy to count.
	processorLimit = 0.6
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), histogramDigits)
}

// RankResult is what one rank of the first customer's work got.
type RankResult struct {
	// Offered counts the queries sent; the others say how they ended.
	Offered, Good, Refused, Failed int
	// Latency holds, in microseconds, the queries that were not refused as not run.
	Latency *hdrhistogram.Histogram
	// Coverage is the sum of the coverage of all answers.
	Coverage identifier.Ratio
}

// quantile returns a latency in microseconds.
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
	// Violations describe answers that broke a promise.
	Violations []string
	// Parts counts the parts of all answers, Runs the attempts that backend servers ran.
	Parts, Runs int
	LateRuns    int
	// Crashes is the most crashes of one service.
	Crashes      int
	LostServices int
	// Connections is the most connections open at one server.
	Connections int
	TimeScale   float64
	// Capacity is what the first customer's slots can serve, in queries a second.
	Capacity float64
	Measured time.Duration
	// Processor is the processor time of the whole process, and Wall the span of the segment.
	Processor, Wall time.Duration
	// Lag holds the tool's own delay in sending, in microseconds.
	Lag *hdrhistogram.Histogram
	// refusedTokens are of the queries refused as not run.
	refusedTokens []string
	// Cores is how many the machine has.
	Cores int
}

func newSegment() *Segment {
	s := &Segment{Lag: newHistogram()}
	for r := range s.Ranks {
		s.Ranks[r].Latency = newHistogram()
	}
	return s
}

// goodput returns the queries of all ranks answered in time.
func (s Segment) goodput() float64 {
	sum := 0
	for _, r := range s.Ranks {
		sum += r.Good
	}
	return float64(sum)
}

// extraLoad returns the attempts run above the parts delivered, as a share of these.
func (s Segment) extraLoad() float64 {
	return ratio(float64(s.Runs-s.Parts), float64(s.Parts))
}

// cores returns the processor time used, in cores.
func (s Segment) cores() float64 {
	return ratio(s.Processor.Seconds(), s.Wall.Seconds())
}

// noise says why the segment is too noisy to count, or nothing.
func (s Segment) noise() string {
	lag := identifier.Micros(s.Lag.ValueAtQuantile(99))
	if lag > identifier.Micros(s.TimeScale*float64(lagLimit)) {
		return fmt.Sprintf("sent late by %s at p99", lag.Duration())
	}
	if used := s.cores(); used > processorLimit*float64(s.Cores) {
		return fmt.Sprintf("used %.1f of %d cores", used, s.Cores)
	}
	return ""
}

// outcomeKind is how a query ended for its caller.
type outcomeKind uint8

const (
	answered outcomeKind = iota
	refused
	failed
)

// outcome is one query's end, an event for the goroutine that collects.
type outcome struct {
	kind     outcomeKind
	customer int
	rank     identifier.Rank
	// measured is set for queries sent after the warm-up.
	measured bool
	latency  time.Duration
	// inTime is set when the caller had the answer before its timeout.
	inTime    bool
	lag       time.Duration
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
	record(s.Lag, o.lag)
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
		r.Coverage += o.coverage
		if o.inTime {
			r.Good++
		}
	}
	record(r.Latency, o.latency)
}

// checkRefusals counts a violation for each query that was refused as not run and did run.
func (s *Segment) checkRefusals(ran *ranTokens) {
	for _, token := range s.refusedTokens {
		if ran.has(token) {
			s.Violations = append(s.Violations, fmt.Sprintf("query %s was refused as not run, and ran", token))
		}
	}
	s.refusedTokens = nil
	ran.bodies.Clear()
}

// record adds a span to a histogram, at most its bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the bounds is never rejected.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), int64(maxLatency)))
}

// merge adds up the segments of several runs.
func merge(segments []Segment) *Segment {
	sum := newSegment()
	sum.Policy, sum.Condition = segments[0].Policy, segments[0].Condition
	for _, s := range segments {
		for r := range s.Ranks {
			from, to := s.Ranks[r], &sum.Ranks[r]
			to.Offered += from.Offered
			to.Good += from.Good
			to.Refused += from.Refused
			to.Failed += from.Failed
			to.Coverage += from.Coverage
			to.Latency.Merge(from.Latency)
		}
		sum.Violations = append(sum.Violations, s.Violations...)
		sum.Parts += s.Parts
		sum.Runs += s.Runs
		sum.Connections = max(sum.Connections, s.Connections)
		sum.Processor += s.Processor
		sum.Wall += s.Wall
		sum.Lag.Merge(s.Lag)
	}
	return sum
}

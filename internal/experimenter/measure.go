package experimenter

import (
	"fmt"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Measure is a value computed from the segments of one run. It is sealed.
type Measure interface {
	isMeasure()
	fmt.Stringer
}

type (
	// LatencyRatio is the p99 latency of a rank in the last condition divided by that
	// in the first.
	LatencyRatio struct{ Rank identifier.Rank }
	// GoodputShare is the share of a rank's queries answered in time in the last
	// condition.
	GoodputShare struct{ Rank identifier.Rank }
	// FloorShare is the lower goodput of the standard and deferrable ranks in the last
	// condition, as a share of capacity.
	FloorShare struct{}
	// GoodputRatio is the goodput of all ranks in the last condition divided by that
	// in the first.
	GoodputRatio struct{}
	// ExtraLoad is the number of attempts run in excess of the parts delivered,
	// relative to the parts delivered, in the last condition.
	ExtraLoad struct{}
	// LateRuns counts the attempts that ran on a leaving server after
	// faker.LeaveGrace.
	LateRuns struct{}
	// Crashes is the highest number of crashes of one service's servers.
	Crashes struct{}
	// LostServices counts how often all servers of a service were down at once.
	LostServices struct{}
	// Violations counts answers with wrong coverage, mixed snapshots, duplicate
	// ranges or parts of another query, and queries that were refused as not run
	// but ran.
	Violations struct{}
)

func (LatencyRatio) isMeasure() {}
func (GoodputShare) isMeasure() {}
func (FloorShare) isMeasure()   {}
func (GoodputRatio) isMeasure() {}
func (ExtraLoad) isMeasure()    {}
func (LateRuns) isMeasure()     {}
func (Crashes) isMeasure()      {}
func (LostServices) isMeasure() {}
func (Violations) isMeasure()   {}

// String returns the measure's name in reports.
func (m LatencyRatio) String() string { return m.Rank.String() + "-p99-ratio" }

// String returns the measure's name in reports.
func (m GoodputShare) String() string { return m.Rank.String() + "-goodput" }

// String returns the measure's name in reports.
func (FloorShare) String() string { return "floor-of-other-ranks" }

// String returns the measure's name in reports.
func (GoodputRatio) String() string { return "goodput-ratio" }

// String returns the measure's name in reports.
func (ExtraLoad) String() string { return "extra-load" }

// String returns the measure's name in reports.
func (LateRuns) String() string { return "late-runs" }

// String returns the measure's name in reports.
func (Crashes) String() string { return "crashes-per-service" }

// String returns the measure's name in reports.
func (LostServices) String() string { return "services-lost" }

// String returns the measure's name in reports.
func (Violations) String() string { return "violations" }

// evaluateMeasure computes the measure from the segments of one run, in order of
// conditions.
func evaluateMeasure(m Measure, run []Segment) float64 {
	first, last := run[0], run[len(run)-1]
	switch m := m.(type) {
	case LatencyRatio:
		return ratio(last.Ranks[m.Rank].quantile(0.99), first.Ranks[m.Rank].quantile(0.99))
	case GoodputShare:
		return last.Ranks[m.Rank].goodputShare()
	case FloorShare:
		lowest := min(last.Ranks[identifier.Standard].Good, last.Ranks[identifier.Deferrable].Good)
		return ratio(float64(lowest), last.Capacity*last.MeasuredDuration.Seconds())
	case GoodputRatio:
		return ratio(last.goodput(), first.goodput())
	case ExtraLoad:
		return last.extraLoad()
	case LateRuns:
		return float64(last.LateRuns)
	case Crashes:
		return float64(last.Crashes)
	case LostServices:
		return float64(last.LostServices)
	case Violations:
		sum := 0
		for _, s := range run {
			sum += len(s.Violations)
		}
		return float64(sum)
	}
	panic(fmt.Sprintf("experimenter: unknown measure %T", m))
}

// countsFaults reports whether the measure counts faults, for which the worst run
// decides.
func countsFaults(m Measure) bool {
	switch m.(type) {
	case LateRuns, Crashes, LostServices, Violations:
		return true
	}
	return false
}

// Finding is the result of evaluating a requirement.
type Finding struct {
	Requirement Requirement
	// Value is the median of the runs, or the worst run for measures that count
	// faults.
	Value float64
	// Min and Max are the lowest and the highest value of the runs.
	Min, Max float64
	// Noisy is set if every run was too noisy to evaluate.
	Noisy bool
}

// Met reports whether the requirement is met by runs that were not too noisy.
func (f Finding) Met() bool {
	return !f.Noisy && f.Requirement.met(f.Value)
}

// String returns the value, the target and whether it is met.
func (f Finding) String() string {
	sign, verdict := "<=", "missed"
	if f.Requirement.AtLeast {
		sign = ">="
	}
	if f.Met() {
		verdict = "met"
	}
	return fmt.Sprintf("figure %.4g, target %s %g, %s", f.Value, sign, f.Requirement.Target, verdict)
}

// evaluateRequirement evaluates a requirement on the given runs.
func evaluateRequirement(r Requirement, runs [][]Segment) Finding {
	var values []float64
	for _, run := range runs {
		values = append(values, evaluateMeasure(r.Measure, run))
	}
	slices.Sort(values)
	f := Finding{Requirement: r, Min: values[0], Max: values[len(values)-1]}
	f.Value = median(values)
	if countsFaults(r.Measure) {
		f.Value = f.Max
	}
	return f
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// ratio returns a divided by b, or 0 if a is 0.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

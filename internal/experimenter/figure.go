package experimenter

import (
	"fmt"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Measure is a figure drawn from the segments of one run. It is sealed.
type Measure interface {
	isMeasure()
	fmt.Stringer
}

type (
	// LatencyRatio is the p99 of a rank in the last condition over that in the first.
	LatencyRatio struct{ Rank identifier.Rank }
	// GoodputShare is the share of a rank's queries answered in time in the last condition.
	GoodputShare struct{ Rank identifier.Rank }
	// FloorShare is the least goodput of the ranks that are not urgent, as a share of capacity.
	FloorShare struct{}
	// GoodputRatio is the goodput of all ranks in the last condition over that in the first.
	GoodputRatio struct{}
	// ExtraLoad is the attempts run above the parts delivered, as a share of these, in the last condition.
	ExtraLoad struct{}
	// LateRuns counts the attempts that reached a leaving server too late.
	LateRuns struct{}
	// Crashes is the most crashes of one service's servers.
	Crashes struct{}
	// LostServices counts the services all of whose servers were down at once.
	LostServices struct{}
	// Violations counts answers with false coverage, mixed snapshots or another
	// query's parts, and refusals as not run of queries that ran.
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

// String names the measure.
func (m LatencyRatio) String() string { return m.Rank.String() + "-p99-ratio" }

// String names the measure.
func (m GoodputShare) String() string { return m.Rank.String() + "-goodput" }

// String names the measure.
func (FloorShare) String() string { return "floor-of-other-ranks" }

// String names the measure.
func (GoodputRatio) String() string { return "goodput-ratio" }

// String names the measure.
func (ExtraLoad) String() string { return "extra-load" }

// String names the measure.
func (LateRuns) String() string { return "late-runs" }

// String names the measure.
func (Crashes) String() string { return "crashes-per-service" }

// String names the measure.
func (LostServices) String() string { return "services-lost" }

// String names the measure.
func (Violations) String() string { return "violations" }

// figure evaluates the measure on the segments of one run, in order of their conditions.
func figure(m Measure, run []Segment) float64 {
	first, last := run[0], run[len(run)-1]
	switch m := m.(type) {
	case LatencyRatio:
		return ratio(last.Ranks[m.Rank].quantile(0.99), first.Ranks[m.Rank].quantile(0.99))
	case GoodputShare:
		return last.Ranks[m.Rank].goodputShare()
	case FloorShare:
		least := min(last.Ranks[identifier.Standard].Good, last.Ranks[identifier.Deferrable].Good)
		return ratio(float64(least), last.Capacity*last.Measured.Seconds())
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

// counted reports whether the measure counts faults, of which the worst run decides.
func counted(m Measure) bool {
	switch m.(type) {
	case LateRuns, Crashes, LostServices, Violations:
		return true
	}
	return false
}

// Finding is a requirement and what was measured.
type Finding struct {
	Requirement Requirement
	// Figure is the median of the runs, or the worst run where faults are counted.
	Figure float64
	// Least and Most are the spread over the runs.
	Least, Most float64
	// Noisy is set when every run was too noisy to count.
	Noisy bool
}

// Met reports whether the requirement is met by runs that count.
func (f Finding) Met() bool {
	return !f.Noisy && f.Requirement.met(f.Figure)
}

// String returns the figure, the target and whether it is met.
func (f Finding) String() string {
	sign, verdict := "<=", "missed"
	if f.Requirement.AtLeast {
		sign = ">="
	}
	if f.Met() {
		verdict = "met"
	}
	return fmt.Sprintf("figure %.4g, target %s %g, %s", f.Figure, sign, f.Requirement.Bound, verdict)
}

// judge evaluates a requirement on the runs that count.
func judge(r Requirement, runs [][]Segment) Finding {
	var figures []float64
	for _, run := range runs {
		figures = append(figures, figure(r.Measure, run))
	}
	slices.Sort(figures)
	f := Finding{Requirement: r, Least: figures[0], Most: figures[len(figures)-1]}
	f.Figure = median(figures)
	if counted(r.Measure) {
		f.Figure = f.Most
	}
	return f
}

// median returns the middle of sorted values, or the mean of the two in the middle.
func median(sorted []float64) float64 {
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// ratio divides; nothing over nothing is 0.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

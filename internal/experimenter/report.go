package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Report holds the results of an experiment.
type Report struct {
	Experiment Experiment
	Options    Options
	// runs holds the segments, by run and policy.
	runs []policyRun
}

// policyRun holds the segments of one policy in one run, in order of conditions.
type policyRun struct {
	policy   string
	segments []Segment
}

func (r *Report) add(segments []Segment) {
	r.runs = append(r.runs, policyRun{segments[0].Policy, segments})
}

// policies returns the names of the policies, in the order of their first runs.
func (r *Report) policies() []string {
	var names []string
	seen := map[string]bool{}
	for _, run := range r.runs {
		if !seen[run.policy] {
			seen[run.policy] = true
			names = append(names, run.policy)
		}
	}
	return names
}

// runsOf returns the policy's runs, optionally without those that are too noisy to
// evaluate.
func (r *Report) runsOf(policy string, excludeNoisy bool) [][]Segment {
	var runs [][]Segment
	for _, run := range r.runs {
		if run.policy == policy && (!excludeNoisy || !isNoisy(run.segments)) {
			runs = append(runs, run.segments)
		}
	}
	return runs
}

func isNoisy(segments []Segment) bool {
	for _, s := range segments {
		if s.noiseReason() != "" {
			return true
		}
	}
	return false
}

// Findings returns the evaluated requirements of a policy. Measures that count
// faults use every run, the others only runs that are not noisy. If all runs are
// noisy, the others use all runs and are marked Noisy, so none of them is met.
func (r *Report) Findings(policy string) []Finding {
	all, usable := r.runsOf(policy, false), r.runsOf(policy, true)
	var findings []Finding
	for _, requirement := range r.Experiment.Requirements {
		switch {
		case countsFaults(requirement.Measure):
			findings = append(findings, evaluateRequirement(requirement, all))
		case len(usable) == 0:
			f := evaluateRequirement(requirement, all)
			f.Noisy = true
			findings = append(findings, f)
		default:
			findings = append(findings, evaluateRequirement(requirement, usable))
		}
	}
	return findings
}

// Write prints the table, the noisy segments, the violations, the findings of the
// baselines and of the policy, and the main finding on the last line.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "experiment %s, region %s, %d runs of %s, time scale %g, seed %d, background load %g\n",
		r.Experiment.Name, r.Options.Region.Name, r.Options.Runs, r.Options.MeasuredDuration,
		r.Options.TimeScale, r.Options.Seed, backgroundLoad)
	if err := r.writeTable(w); err != nil {
		return err
	}
	if !r.Experiment.Baselines {
		fmt.Fprintln(w, "baselines: not run; the measures do not apply to them")
	}
	r.writeNoise(w)
	r.writeViolations(w)
	for _, p := range r.policies() {
		if p != PolicyName {
			r.writeFindings(w, p+": ", r.Findings(p))
		}
	}
	findings := r.Findings(PolicyName)
	r.writeFindings(w, "", findings[1:])
	mainFinding := findings[0]
	if mainFinding.Noisy {
		fmt.Fprintln(w, "every run was too noisy to evaluate: the figure is shown, but the target counts as missed")
	}
	fmt.Fprintf(w, "spread of %s over the runs: %.4g to %.4g\n",
		mainFinding.Requirement.Measure, mainFinding.Min, mainFinding.Max)
	_, err := fmt.Fprintf(w, "%s: %s\n", r.Experiment.Name, mainFinding)
	return err
}

func (r *Report) writeFindings(w io.Writer, prefix string, findings []Finding) {
	for _, f := range findings {
		fmt.Fprintf(w, "%s%s %s: %s (spread %.4g to %.4g)\n",
			prefix, r.Experiment.Name, f.Requirement.Measure, f, f.Min, f.Max)
	}
}

func (r *Report) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tcondition\trank\toffered\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tgoodput/s\tin time\trefused\tfailed\t"+
		"extra load\tconnections\tcores")
	for _, p := range r.policies() {
		for i := range r.Experiment.Conditions {
			var segments []Segment
			for _, run := range r.runsOf(p, false) {
				segments = append(segments, run[i])
			}
			r.writeSegment(t, mergeSegments(segments))
		}
	}
	return t.Flush()
}

// writeSegment writes a line for each rank. Only the first line has the extra load,
// the connections and the cores, which are not measured by rank.
func (r *Report) writeSegment(w io.Writer, s *Segment) {
	seconds := r.Options.MeasuredDuration.Seconds() * float64(len(r.runsOf(s.Policy, false)))
	for _, rank := range allRanks {
		result := s.Ranks[rank]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.1f\t%.4f\t%d\t%d\t",
			s.Policy, s.Condition, rank, result.Offered,
			milliseconds(result.quantile(0.5)), milliseconds(result.quantile(0.99)), milliseconds(result.quantile(0.999)),
			ratio(float64(result.CoverageSum), float64(result.Offered-result.Refused-result.Failed)),
			float64(result.Good)/seconds, result.goodputShare(), result.Refused, result.Failed)
		if rank == identifier.Urgent {
			fmt.Fprintf(w, "%.4f\t%d\t%.1f\n", s.extraLoad(), s.MaxConnections, s.usedCores())
			continue
		}
		fmt.Fprint(w, "\t\t\n")
	}
}

// writeNoise prints the segments that are too noisy to evaluate, with the reason,
// and how many runs of each policy are evaluated.
func (r *Report) writeNoise(w io.Writer) {
	count := 0
	for _, run := range r.runs {
		for _, s := range run.segments {
			if reason := s.noiseReason(); reason != "" {
				count++
				fmt.Fprintf(w, "too noisy to evaluate: %s, %s: %s\n", s.Policy, s.Condition, reason)
			}
		}
	}
	fmt.Fprintf(w, "noisy segments: %d\n", count)
	for _, p := range r.policies() {
		fmt.Fprintf(w, "%s: latency and goodput are evaluated on %d of %d runs\n",
			p, len(r.runsOf(p, true)), len(r.runsOf(p, false)))
	}
}

// maxShownViolations is the highest number of violations that are printed.
const maxShownViolations = 3

func (r *Report) writeViolations(w io.Writer) {
	var all []string
	for _, run := range r.runs {
		for _, s := range run.segments {
			for _, v := range s.Violations {
				all = append(all, fmt.Sprintf("%s, %s: %s", s.Policy, s.Condition, v))
			}
		}
	}
	fmt.Fprintf(w, "answers that break a promise: %d\n", len(all))
	for _, v := range all[:min(len(all), maxShownViolations)] {
		fmt.Fprintln(w, "  "+v)
	}
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(micros float64) float64 {
	return micros / float64(time.Millisecond/time.Microsecond)
}

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Report holds all segments of an experiment.
type Report struct {
	Experiment Experiment
	Options    Options
	// runs are the segments of each run, by policy.
	runs []policyRun
}

// policyRun is one policy's segments of one run, in order of their conditions.
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

// of returns the policy's runs; quiet leaves out those too noisy to count.
func (r *Report) of(policy string, quiet bool) [][]Segment {
	var runs [][]Segment
	for _, run := range r.runs {
		if run.policy == policy && (!quiet || !noisy(run.segments)) {
			runs = append(runs, run.segments)
		}
	}
	return runs
}

func noisy(segments []Segment) bool {
	for _, s := range segments {
		if s.noise() != "" {
			return true
		}
	}
	return false
}

// Findings returns the judged requirements of a policy. When every run was too
// noisy to count, all are shown but meet nothing; faults count in every run.
func (r *Report) Findings(policy string) []Finding {
	all, quiet := r.of(policy, false), r.of(policy, true)
	var findings []Finding
	for _, requirement := range r.Experiment.Requirements {
		switch {
		case counted(requirement.Measure):
			findings = append(findings, judge(requirement, all))
		case len(quiet) == 0:
			f := judge(requirement, all)
			f.Noisy = true
			findings = append(findings, f)
		default:
			findings = append(findings, judge(requirement, quiet))
		}
	}
	return findings
}

// Write prints the table, the noise, the other requirements, and on the last
// line the headline.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "experiment %s, region %s, %d runs of %s, time scale %g, seed %d, background load %g\n",
		r.Experiment.Name, r.Options.Region.Name, r.Options.Runs, r.Options.Measured,
		r.Options.TimeScale, r.Options.Seed, backgroundLoad)
	if err := r.writeTable(w); err != nil {
		return err
	}
	if !r.Experiment.Baselines {
		fmt.Fprintln(w, "baselines: not run, they have no counterpart to what is measured")
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
	headline := findings[0]
	if headline.Noisy {
		fmt.Fprintln(w, "every run was too noisy to count: the figure is shown, and counts as missed")
	}
	fmt.Fprintf(w, "spread of %s over the runs: %.4g to %.4g\n",
		headline.Requirement.Measure, headline.Least, headline.Most)
	_, err := fmt.Fprintf(w, "%s: %s\n", r.Experiment.Name, headline)
	return err
}

func (r *Report) writeFindings(w io.Writer, prefix string, findings []Finding) {
	for _, f := range findings {
		fmt.Fprintf(w, "%s%s %s: %s (spread %.4g to %.4g)\n",
			prefix, r.Experiment.Name, f.Requirement.Measure, f, f.Least, f.Most)
	}
}

func (r *Report) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tcondition\trank\toffered\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tgoodput/s\tin time\trefused\tfailed\t"+
		"extra load\tconnections\tcores")
	for _, p := range r.policies() {
		for i := range r.Experiment.Conditions {
			var segments []Segment
			for _, run := range r.of(p, false) {
				segments = append(segments, run[i])
			}
			r.writeSegment(t, merge(segments))
		}
	}
	return t.Flush()
}

// writeSegment writes a line for each rank; the load on backend servers stands on the first.
func (r *Report) writeSegment(w io.Writer, s *Segment) {
	span := r.Options.Measured.Seconds() * float64(len(r.of(s.Policy, false)))
	for _, rank := range ranks {
		q := s.Ranks[rank]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.1f\t%.4f\t%d\t%d\t",
			s.Policy, s.Condition, rank, q.Offered,
			milliseconds(q.quantile(0.5)), milliseconds(q.quantile(0.99)), milliseconds(q.quantile(0.999)),
			ratio(float64(q.Coverage), float64(q.Offered-q.Refused-q.Failed)),
			float64(q.Good)/span, q.goodputShare(), q.Refused, q.Failed)
		if rank == identifier.Urgent {
			fmt.Fprintf(w, "%.4f\t%d\t%.1f\n", s.extraLoad(), s.Connections, s.cores())
			continue
		}
		fmt.Fprint(w, "\t\t\n")
	}
}

// writeNoise tells which runs do not count, and why.
func (r *Report) writeNoise(w io.Writer) {
	count := 0
	for _, run := range r.runs {
		for _, s := range run.segments {
			if reason := s.noise(); reason != "" {
				count++
				fmt.Fprintf(w, "too noisy to count: %s, %s: %s\n", s.Policy, s.Condition, reason)
			}
		}
	}
	fmt.Fprintf(w, "noisy segments: %d\n", count)
	for _, p := range r.policies() {
		fmt.Fprintf(w, "%s: latency and goodput are judged on %d of %d runs\n",
			p, len(r.of(p, true)), len(r.of(p, false)))
	}
}

// shownViolations bounds how many violations are printed in full.
const shownViolations = 3

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
	for _, v := range all[:min(len(all), shownViolations)] {
		fmt.Fprintln(w, "  "+v)
	}
}

// milliseconds converts microseconds.
func milliseconds(micros float64) float64 {
	return micros / float64(time.Millisecond/time.Microsecond)
}

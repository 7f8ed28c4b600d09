package experimenter

import (
	"encoding/json"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// segmentOf returns a segment with the outcomes, a measured time of one second and
// a capacity of 100 queries per second.
func segmentOf(outcomes ...outcome) Segment {
	s := newSegment()
	s.Capacity, s.MeasuredDuration = 100, time.Second
	for _, o := range outcomes {
		o.measured = true
		s.add(o)
	}
	return *s
}

// timelyAnswers returns the outcomes of queries answered in time.
func timelyAnswers(rank identifier.Rank, count int, latency time.Duration) []outcome {
	outcomes := make([]outcome, count)
	for i := range outcomes {
		outcomes[i] = outcome{kind: answered, rank: rank, latency: latency, inTime: true, parts: 1, coverage: 1}
	}
	return outcomes
}

var _ = ginkgo.Describe("evaluateMeasure", func() {
	cases := []struct {
		name     string
		measure  Measure
		run      []Segment
		expected float64
	}{
		{
			"the p99 of the last condition divided by that of the first",
			LatencyRatio{identifier.Urgent},
			[]Segment{
				segmentOf(timelyAnswers(identifier.Urgent, 10, 100*time.Millisecond)...),
				segmentOf(timelyAnswers(identifier.Urgent, 10, 200*time.Millisecond)...),
			},
			2,
		},
		{
			"a failed query, which counts as offered but not as good",
			GoodputShare{identifier.Urgent},
			[]Segment{segmentOf(append(timelyAnswers(identifier.Urgent, 3, 1), outcome{kind: failed})...)},
			0.75,
		},
		{
			"an answer after the timeout, which is not good",
			GoodputShare{identifier.Urgent},
			[]Segment{segmentOf(outcome{kind: answered, coverage: 1})},
			0,
		},
		{
			"the lower goodput of the ranks that are not urgent",
			FloorShare{},
			[]Segment{segmentOf(append(timelyAnswers(identifier.Standard, 20, 1), timelyAnswers(identifier.Deferrable, 5, 1)...)...)},
			0.05,
		},
		{
			"a background customer, which is ignored",
			FloorShare{},
			[]Segment{segmentOf(append(timelyAnswers(identifier.Standard, 20, 1), outcome{customer: 1, rank: identifier.Deferrable, inTime: true})...)},
			0,
		},
		{
			"the goodput of all ranks",
			GoodputRatio{},
			[]Segment{
				segmentOf(timelyAnswers(identifier.Urgent, 10, 1)...),
				segmentOf(append(timelyAnswers(identifier.Standard, 4, 1), timelyAnswers(identifier.Deferrable, 5, 1)...)...),
			},
			0.9,
		},
		{"attempts in excess of the parts delivered", ExtraLoad{}, []Segment{{Parts: 100, ExecutedAttempts: 107}}, 0.07},
		{"no extra load without attempts and parts", ExtraLoad{}, []Segment{{}}, 0},
		{"the violations of all conditions", Violations{}, []Segment{{Violations: []string{"a"}}, {Violations: []string{"b"}}}, 2},
		{"late runs", LateRuns{}, []Segment{{LateRuns: 3}}, 3},
		{"the crashes of a service", Crashes{}, []Segment{{Crashes: 4}}, 4},
		{"services with all servers down", LostServices{}, []Segment{{LostServices: 1}}, 1},
	}
	for _, c := range cases {
		ginkgo.It("returns the expected value for "+c.name, func() {
			gomega.Expect(evaluateMeasure(c.measure, c.run)).To(gomega.BeNumerically("~", c.expected, 0.001))
		})
	}
})

var _ = ginkgo.Describe("evaluateRequirement", func() {
	latencies := func(milliseconds ...int) [][]Segment {
		var runs [][]Segment
		for _, ms := range milliseconds {
			runs = append(runs, []Segment{
				segmentOf(timelyAnswers(identifier.Urgent, 10, 100*time.Millisecond)...),
				segmentOf(timelyAnswers(identifier.Urgent, 10, time.Duration(ms)*time.Millisecond)...),
			})
		}
		return runs
	}
	cases := []struct {
		name        string
		requirement Requirement
		runs        [][]Segment
		met         bool
	}{
		{"a latency whose median meets the target", Requirement{Measure: LatencyRatio{}, Target: 1.3}, latencies(900, 110, 120), true},
		{"a latency whose median exceeds the target", Requirement{Measure: LatencyRatio{}, Target: 1.3}, latencies(900, 140, 120), false},
		{"faults in the worst run only", Requirement{Measure: LateRuns{}}, [][]Segment{{{}}, {{LateRuns: 1}}, {{}}}, false},
		{"no faults", Requirement{Measure: LateRuns{}}, [][]Segment{{{}}, {{}}}, true},
		{"goodput equal to its target", Requirement{Measure: GoodputShare{}, Target: 1, AtLeast: true}, [][]Segment{{segmentOf(timelyAnswers(0, 1, 1)...)}}, true},
		{"no goodput", Requirement{Measure: GoodputShare{}, Target: 0.9, AtLeast: true}, [][]Segment{{segmentOf()}}, false},
	}
	for _, c := range cases {
		ginkgo.It("returns the expected verdict for "+c.name, func() {
			gomega.Expect(evaluateRequirement(c.requirement, c.runs).Met()).To(gomega.Equal(c.met))
		})
	}
})

var _ = ginkgo.Describe("checkRefusals", func() {
	cases := []struct {
		name, body string
		violations int
	}{
		{"accepts a refusal as not run if only another query ran", `"another"`, 0},
		{"reports a refusal as not run if the query ran", `"token"`, 1},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			executed := &executedBodies{}
			executed.add([]byte(c.body))
			s := segmentOf(outcome{kind: refused, token: "token"})
			s.checkRefusals(executed)
			gomega.Expect(s.Violations).To(gomega.HaveLen(c.violations))
		})
	}
})

var _ = ginkgo.Describe("Report", func() {
	noisy := segmentOf(timelyAnswers(identifier.Urgent, 10, time.Millisecond)...)
	recordDuration(noisy.SendLag, time.Second)
	quiet := segmentOf(timelyAnswers(identifier.Urgent, 5, time.Millisecond)...)
	quiet.Cores, quiet.TimeScale, noisy.Cores, noisy.TimeScale = 1, 1, 1, 1
	quiet.LateRuns, noisy.LateRuns = 1, 2
	cases := []struct {
		name       string
		measure    Measure
		runs       [][]Segment
		value      float64
		met        bool
		usableRuns int
	}{
		{"excludes noisy runs", LatencyRatio{}, [][]Segment{{noisy}, {quiet}}, 1, true, 1},
		{"meets no requirement if all runs are noisy", LatencyRatio{}, [][]Segment{{noisy}, {noisy}}, 1, false, 0},
		{"counts faults in noisy runs too", LateRuns{}, [][]Segment{{noisy}, {quiet}}, 2, true, 1},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			r := Report{Experiment: Experiment{Requirements: []Requirement{{Measure: c.measure, Target: 2}}}}
			for _, run := range c.runs {
				r.add(run)
			}
			f := r.Findings("")[0]
			gomega.Expect(f.Value).To(gomega.Equal(c.value))
			gomega.Expect(f.Met()).To(gomega.Equal(c.met))
			gomega.Expect(r.runsOf("", true)).To(gomega.HaveLen(c.usableRuns))
		})
	}
})

var _ = ginkgo.Describe("answer.check", func() {
	const firstHalf = `{"server":"s","range":{"from":0,"to":2147483648},"body":` +
		`{"server":"s","range":{"from":0,"to":2147483648},"snapshot":{"epoch":1,"version":1},"echo":"t"}}`
	cases := []struct {
		name, answer string
		violated     bool
	}{
		{"half of the hash space is covered and reported", `{"coverage":0.5,"snapshot":{"epoch":1,"version":1},"parts":[` + firstHalf + `]}`, false},
		{"more coverage is reported than covered", `{"coverage":1,"snapshot":{"epoch":1,"version":1},"parts":[` + firstHalf + `]}`, true},
		{"less coverage is reported than covered", `{"coverage":0.25,"snapshot":{"epoch":1,"version":1},"parts":[` + firstHalf + `]}`, true},
		{"a part has another snapshot", `{"coverage":0.5,"snapshot":{"epoch":1,"version":2},"parts":[` + firstHalf + `]}`, true},
		{"a range occurs twice", `{"coverage":1,"snapshot":{"epoch":1,"version":1},"parts":[` + firstHalf + `,` + firstHalf + `]}`, true},
		{"nothing is covered or reported", `{"coverage":0}`, false},
	}
	for _, c := range cases {
		ginkgo.It("returns the expected result when "+c.name, func() {
			var a answer
			gomega.Expect(json.Unmarshal([]byte(c.answer), &a)).To(gomega.Succeed())
			gomega.Expect(a.check("t") != "").To(gomega.Equal(c.violated), a.check("t"))
			gomega.Expect(a.check("another")).To(gomega.Equal(map[bool]string{
				true: `part of another query: "t" in place of "another"`, false: "",
			}[len(a.Parts) > 0]))
		})
	}
})

var _ = ginkgo.Describe("generateArrivals", func() {
	region, err := demonstrator.FindRegion(demonstrator.HangarRegion)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.It("returns the same arrivals for the same seed, in order", func() {
		arrivals := generateArrivals(region, loadByRank(1), 1, time.Second, 7)
		gomega.Expect(arrivals).To(gomega.Equal(generateArrivals(region, loadByRank(1), 1, time.Second, 7)))
		gomega.Expect(arrivals).NotTo(gomega.Equal(generateArrivals(region, loadByRank(1), 1, time.Second, 8)))
		for i := range arrivals[1:] {
			gomega.Expect(arrivals[i].at).To(gomega.BeNumerically("<=", arrivals[i+1].at))
		}
	})
})

package experimenter

import (
	"encoding/json"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// segment returns a segment of one second at a capacity of 100 queries a second.
func segment(outcomes ...outcome) Segment {
	s := newSegment()
	s.Capacity, s.Measured = 100, time.Second
	for _, o := range outcomes {
		o.measured = true
		s.add(o)
	}
	return *s
}

// good returns so many answers in time.
func good(rank identifier.Rank, count int, latency time.Duration) []outcome {
	list := make([]outcome, count)
	for i := range list {
		list[i] = outcome{kind: answered, rank: rank, latency: latency, inTime: true, parts: 1, coverage: 1}
	}
	return list
}

var _ = ginkgo.Describe("figure", func() {
	cases := []struct {
		name     string
		measure  Measure
		run      []Segment
		expected float64
	}{
		{
			"the p99 of the last condition over the first",
			LatencyRatio{identifier.Urgent},
			[]Segment{
				segment(good(identifier.Urgent, 10, 100*time.Millisecond)...),
				segment(good(identifier.Urgent, 10, 200*time.Millisecond)...),
			},
			2,
		},
		{
			"a query that fails counts as offered, not as good",
			GoodputShare{identifier.Urgent},
			[]Segment{segment(append(good(identifier.Urgent, 3, 1), outcome{kind: failed})...)},
			0.75,
		},
		{
			"an answer after the timeout is not good",
			GoodputShare{identifier.Urgent},
			[]Segment{segment(outcome{kind: answered, coverage: 1})},
			0,
		},
		{
			"the rank that got least decides",
			FloorShare{},
			[]Segment{segment(append(good(identifier.Standard, 20, 1), good(identifier.Deferrable, 5, 1)...)...)},
			0.05,
		},
		{
			"a background customer is not judged",
			FloorShare{},
			[]Segment{segment(append(good(identifier.Standard, 20, 1), outcome{customer: 1, rank: identifier.Deferrable, inTime: true})...)},
			0,
		},
		{
			"goodput of all ranks",
			GoodputRatio{},
			[]Segment{
				segment(good(identifier.Urgent, 10, 1)...),
				segment(append(good(identifier.Standard, 4, 1), good(identifier.Deferrable, 5, 1)...)...),
			},
			0.9,
		},
		{"attempts above the parts delivered", ExtraLoad{}, []Segment{{Parts: 100, Runs: 107}}, 0.07},
		{"no part and no run is no extra load", ExtraLoad{}, []Segment{{}}, 0},
		{"violations of all conditions", Violations{}, []Segment{{Violations: []string{"a"}}, {Violations: []string{"b"}}}, 2},
		{"late runs", LateRuns{}, []Segment{{LateRuns: 3}}, 3},
		{"crashes of a service", Crashes{}, []Segment{{Crashes: 4}}, 4},
		{"services lost", LostServices{}, []Segment{{LostServices: 1}}, 1},
	}
	for _, c := range cases {
		ginkgo.It("is right for "+c.name, func() {
			gomega.Expect(figure(c.measure, c.run)).To(gomega.BeNumerically("~", c.expected, 0.001))
		})
	}
})

var _ = ginkgo.Describe("judge", func() {
	latencies := func(milliseconds ...int) [][]Segment {
		var runs [][]Segment
		for _, ms := range milliseconds {
			runs = append(runs, []Segment{
				segment(good(identifier.Urgent, 10, 100*time.Millisecond)...),
				segment(good(identifier.Urgent, 10, time.Duration(ms)*time.Millisecond)...),
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
		{"the median decides on latency", Requirement{Measure: LatencyRatio{}, Bound: 1.3}, latencies(900, 110, 120), true},
		{"a median over the bound", Requirement{Measure: LatencyRatio{}, Bound: 1.3}, latencies(900, 140, 120), false},
		{"the worst run decides on faults", Requirement{Measure: LateRuns{}}, [][]Segment{{{}}, {{LateRuns: 1}}, {{}}}, false},
		{"no fault", Requirement{Measure: LateRuns{}}, [][]Segment{{{}}, {{}}}, true},
		{"goodput that reaches its bound", Requirement{Measure: GoodputShare{}, Bound: 1, AtLeast: true}, [][]Segment{{segment(good(0, 1, 1)...)}}, true},
		{"no goodput", Requirement{Measure: GoodputShare{}, Bound: 0.9, AtLeast: true}, [][]Segment{{segment()}}, false},
	}
	for _, c := range cases {
		ginkgo.It("is right for "+c.name, func() {
			gomega.Expect(judge(c.requirement, c.runs).Met()).To(gomega.Equal(c.met))
		})
	}
})

var _ = ginkgo.Describe("a refusal as not run", func() {
	cases := []struct {
		name, body string
		violations int
	}{
		{"is true when another query ran", `"another"`, 0},
		{"is false when the query ran", `"token"`, 1},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			ran := &ranTokens{}
			ran.add([]byte(c.body))
			s := segment(outcome{kind: refused, token: "token"})
			s.checkRefusals(ran)
			gomega.Expect(s.Violations).To(gomega.HaveLen(c.violations))
		})
	}
})

var _ = ginkgo.Describe("Report", func() {
	late := segment(good(identifier.Urgent, 10, time.Millisecond)...)
	record(late.Lag, time.Second)
	quiet := segment(good(identifier.Urgent, 5, time.Millisecond)...)
	quiet.Cores, quiet.TimeScale, late.Cores, late.TimeScale = 1, 1, 1, 1
	quiet.LateRuns, late.LateRuns = 1, 2
	cases := []struct {
		name     string
		measure  Measure
		runs     [][]Segment
		figure   float64
		met      bool
		judgedOn int
	}{
		{"leaves out noisy runs", LatencyRatio{}, [][]Segment{{late}, {quiet}}, 1, true, 1},
		{"meets nothing by noisy runs alone", LatencyRatio{}, [][]Segment{{late}, {late}}, 1, false, 0},
		{"counts faults in noisy runs too", LateRuns{}, [][]Segment{{late}, {quiet}}, 2, true, 1},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			r := Report{Experiment: Experiment{Requirements: []Requirement{{Measure: c.measure, Bound: 2}}}}
			for _, run := range c.runs {
				r.add(run)
			}
			f := r.Findings("")[0]
			gomega.Expect(f.Figure).To(gomega.Equal(c.figure))
			gomega.Expect(f.Met()).To(gomega.Equal(c.met))
			gomega.Expect(r.of("", true)).To(gomega.HaveLen(c.judgedOn))
		})
	}
})

var _ = ginkgo.Describe("the check of an answer", func() {
	const low = `{"server":"s","range":{"from":0,"to":2147483648},"body":` +
		`{"server":"s","range":{"from":0,"to":2147483648},"snapshot":{"epoch":1,"version":1},"echo":"t"}}`
	cases := []struct {
		name, answer string
		broken       bool
	}{
		{"half is covered", `{"coverage":0.5,"snapshot":{"epoch":1,"version":1},"parts":[` + low + `]}`, false},
		{"more is claimed", `{"coverage":1,"snapshot":{"epoch":1,"version":1},"parts":[` + low + `]}`, true},
		{"less is claimed", `{"coverage":0.25,"snapshot":{"epoch":1,"version":1},"parts":[` + low + `]}`, true},
		{"another snapshot", `{"coverage":0.5,"snapshot":{"epoch":1,"version":2},"parts":[` + low + `]}`, true},
		{"a range twice", `{"coverage":1,"snapshot":{"epoch":1,"version":1},"parts":[` + low + `,` + low + `]}`, true},
		{"nothing claimed or covered", `{"coverage":0}`, false},
	}
	for _, c := range cases {
		ginkgo.It("is right when "+c.name, func() {
			var a answer
			gomega.Expect(json.Unmarshal([]byte(c.answer), &a)).To(gomega.Succeed())
			gomega.Expect(a.check("t") != "").To(gomega.Equal(c.broken), a.check("t"))
			gomega.Expect(a.check("another")).To(gomega.Equal(map[bool]string{
				true: `part of another query: "t" in place of "another"`, false: "",
			}[len(a.Parts) > 0]))
		})
	}
})

var _ = ginkgo.Describe("schedule", func() {
	region, err := demonstrator.FindRegion(demonstrator.HangarRegion)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.It("gives the same arrivals for the same seed, in order", func() {
		list := schedule(region, loads(1), 1, time.Second, 7)
		gomega.Expect(list).To(gomega.Equal(schedule(region, loads(1), 1, time.Second, 7)))
		gomega.Expect(list).NotTo(gomega.Equal(schedule(region, loads(1), 1, time.Second, 8)))
		for i := range list[1:] {
			gomega.Expect(list[i].at).To(gomega.BeNumerically("<=", list[i+1].at))
		}
	})
})

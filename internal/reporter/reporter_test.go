package reporter_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/internal/reporter"
	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func TestReporter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "reporter")
}

const hour = identifier.Instant(60 * identifier.Minute)

// hostAnswer returns the answer of a host that has counted since the instant. It has one
// bucket, which is two minutes old.
func hostAnswer(host identifier.HostID, started identifier.Instant, t budgeter.Tally) reporter.Answer {
	now := 10 * hour
	return reporter.Answer{Address: "127.0.0.1:1", Reply: listener.BurnReply{
		Host: host, Now: now, Started: &started,
		Series: []listener.BurnSeries{{
			Customer: "desk", Rank: "urgent", Target: 100 * identifier.Millisecond, Objective: 0.9,
			Buckets: []budgeter.Bucket{{Start: now.Add(-2 * identifier.Minute), Tally: t}},
		}},
	}}
}

var _ = ginkgo.Describe("a report", func() {
	cases := []struct {
		name     string
		answers  []reporter.Answer
		contains []string
		lacks    []string
	}{
		{
			"sums hosts",
			[]reporter.Answer{
				hostAnswer("h-1", 0, budgeter.Tally{Total: 60, Late: 3}),
				hostAnswer("h-2", 0, budgeter.Tally{Total: 40, Refused: 2}),
			},
			[]string{"100", "3 (3%)", "2 (2%)", "0.50"},
			[]string{"note:"},
		},
		{
			"names a host that did not answer",
			[]reporter.Answer{
				hostAnswer("h-1", 0, budgeter.Tally{Total: 1}),
				{Address: "127.0.0.1:2", Err: errors.New("refused")},
			},
			[]string{"note: host at 127.0.0.1:2 did not answer (refused)"},
			nil,
		},
		{
			"names a host that has restarted recently",
			[]reporter.Answer{hostAnswer("h-1", 10*hour-hour/2, budgeter.Tally{Total: 1})},
			[]string{"note: host h-1 has counted for 30 min only", "(1 h, 6 h)"},
			nil,
		},
		{
			"shows no figures for a window without queries",
			[]reporter.Answer{hostAnswer("h-1", 0, budgeter.Tally{})},
			[]string{"no queries"},
			[]string{"0.00", "0%)"},
		},
		{
			"states that there is no data",
			[]reporter.Answer{{Address: "127.0.0.1:2", Reply: listener.BurnReply{Host: "h-1"}}},
			[]string{"h-1 has counted no finished query", "nothing to report"},
			nil,
		},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			report := reporter.Build(c.answers)
			var table, page bytes.Buffer
			gomega.Expect(report.WriteTable(&table)).To(gomega.Succeed())
			gomega.Expect(report.WriteHTML(&page)).To(gomega.Succeed())
			for _, text := range c.contains {
				gomega.Expect(table.String()).To(gomega.ContainSubstring(text))
			}
			for _, text := range c.lacks {
				gomega.Expect(table.String()).NotTo(gomega.ContainSubstring(text))
			}
			gomega.Expect(page.String()).NotTo(gomega.MatchRegexp(`(src|href)="https?:`))
		})
	}
})

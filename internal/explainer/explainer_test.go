package explainer_test

import (
	"bytes"
	"errors"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/explainer"
)

// formatLog returns the text that a logger writes.
func formatLog(asJSON bool, write func(hclog.Logger)) string {
	var text bytes.Buffer
	write(hclog.New(&hclog.LoggerOptions{Name: "lagooncleat.request", Output: &text, JSONFormat: asJSON, Level: hclog.Debug}))
	return text.String()
}

var _ = ginkgo.Describe("the timeline of a request", func() {
	const (
		refused  = "2026-12-04T10:00:00.020Z [INFO]  lagooncleat.request: attempt refused: client-request=q-1 server=s-1 reason=unreachable\n"
		declined = "2026-12-04T10:00:00.050Z [INFO]  lagooncleat.request: request declined: client-request=q-1 tried=\"s-2 s-3\" reason=timeout\n"
		other    = "2026-12-04T10:00:00.030Z [INFO]  lagooncleat.request: request declined: client-request=q-2 reason=timeout\n"
		lapsed   = "2026-12-04T09:59:58.000Z [WARN]  lagooncleat.membership: lease of backend server lapsed: server=s-1\n"
		early    = "2026-12-04T09:59:40.000Z [WARN]  lagooncleat.membership: lease of backend server lapsed: server=s-1\n"
		late     = "2026-12-04T10:00:09.000Z [INFO]  lagooncleat.membership: backend server is degraded: server=s-2\n"
		foreign  = "2026-12-04T10:00:00.010Z [WARN]  lagooncleat.membership: lease of backend server lapsed: server=s-9\n"
	)
	for _, c := range []struct {
		name string
		logs []string
		// messages are those of Lines, events those of ServerEvents.
		messages, events []string
		malformed        int
	}{
		{"is in chronological order across several processes", []string{declined, refused}, []string{"attempt refused", "request declined"}, nil, 0},
		{"excludes other requests", []string{refused + other}, []string{"attempt refused"}, nil, 0},
		{"includes events of its servers", []string{refused, lapsed + foreign}, []string{"attempt refused"}, []string{"lease of backend server lapsed"}, 0},
		{"excludes events long before and after the request", []string{declined + refused, early + late}, []string{"attempt refused", "request declined"}, nil, 0},
		{
			"counts malformed lines",
			[]string{"panic: oh\n\n" + refused + "2026-12-04T10:00:00.020Z [INFO]  x: m: a=\"b\n{\"@level\":1\n"},
			[]string{"attempt refused"},
			nil, 4,
		},
		{
			"continues after a line that is too long",
			[]string{refused + strings.Repeat("x", 3<<20) + "\n" + declined},
			[]string{"attempt refused", "request declined"},
			nil, 1,
		},
		{"is read from JSON", []string{formatLog(true, func(l hclog.Logger) {
			l.Info("request declined", "client-request", "q-1", "reason", "timeout")
		})}, []string{"request declined"}, nil, 0},
		{"is read from text", []string{formatLog(false, func(l hclog.Logger) {
			l.Info("another attempt", "client-request", "q-1", "tried", "s-1 s-2", "refused", "")
		})}, []string{"another attempt"}, nil, 0},
	} {
		ginkgo.It(c.name, func() {
			var sources []explainer.Source
			for i, text := range c.logs {
				sources = append(sources, explainer.Source{Name: string(rune('a' + i)), Reader: strings.NewReader(text)})
			}
			timeline, err := explainer.Explain("q-1", sources)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			messagesOf := func(lines []explainer.Line) []string {
				var messages []string
				for _, l := range lines {
					messages = append(messages, l.Message)
				}
				return messages
			}
			gomega.Expect(messagesOf(timeline.Lines)).To(gomega.Equal(c.messages))
			gomega.Expect(messagesOf(timeline.ServerEvents)).To(gomega.Equal(c.events))
			gomega.Expect(timeline.Malformed).To(gomega.Equal(c.malformed))
		})
	}

	ginkgo.It("is printed with the fields of each line", func() {
		timeline, err := explainer.Explain("q-1", []explainer.Source{{Name: "front", Reader: strings.NewReader(refused + declined + lapsed)}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var text bytes.Buffer
		gomega.Expect(timeline.Print(&text)).To(gomega.Succeed())
		gomega.Expect(text.String()).To(gomega.And(
			gomega.ContainSubstring("2 lines of 1 processes"), gomega.ContainSubstring("clocks may differ"),
			gomega.ContainSubstring(`+30.000  info  front  request declined tried="s-2 s-3" reason=timeout`),
			gomega.ContainSubstring("-2020.000  warn  front  lease of backend server lapsed server=s-1")))
	})

	ginkgo.It("of an unknown request is an error with the number of malformed lines", func() {
		_, err := explainer.Explain("q-9", []explainer.Source{{Name: "front", Reader: strings.NewReader("?\n" + refused)}})
		var unknown *explainer.UnknownRequestError
		gomega.Expect(errors.As(err, &unknown)).To(gomega.BeTrue())
		gomega.Expect(unknown.Malformed).To(gomega.Equal(1))
	})
})

package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/logger"
)

func TestLogger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logger")
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	buffer  bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.buffer.Write(p)
}

var _ = ginkgo.Describe("the log writer", func() {
	for _, c := range []struct {
		name  string
		lines int
		// drops is set if some lines must be dropped.
		drops bool
	}{
		{"writes all lines in order", 50, false},
		{"drops lines above the limit and reports it", 5000, true},
	} {
		ginkgo.It(c.name+", and never blocks", func() {
			output := &blockedOutput{release: make(chan struct{})}
			w := logger.NewWriter(output)
			start := time.Now()
			for i := range c.lines {
				fmt.Fprintf(w, "line %d\n", i)
			}
			gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
			close(output.release)
			time.Sleep(1100 * time.Millisecond)
			fmt.Fprintln(w, "the last")
			w.Close()
			lines := strings.Split(strings.TrimSpace(output.buffer.String()), "\n")
			gomega.Expect(lines).To(gomega.ContainElement("line 0"))
			gomega.Expect(lines[len(lines)-1]).To(gomega.Equal("the last"))
			if !c.drops {
				gomega.Expect(lines).To(gomega.HaveLen(c.lines + 1))
				gomega.Expect(lines[0]).To(gomega.Equal("line 0"))
				return
			}
			gomega.Expect(len(lines)).To(gomega.BeNumerically("<", 1000))
			gomega.Expect(output.buffer.String()).To(gomega.ContainSubstring("log lines dropped: "))
		})
	}
})

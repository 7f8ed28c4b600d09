package executor

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

var _ = ginkgo.Describe("the clock of a host", func() {
	ginkgo.It("starts at the time of day and counts what has elapsed", func() {
		elapsed := time.Duration(0)
		c := clock{start: 7 * identifier.Instant(identifier.Second), elapsed: func() time.Duration { return elapsed }}
		for _, x := range []struct {
			elapsed time.Duration
			now     identifier.Micros
		}{
			{0, 7 * identifier.Second},
			{1500 * time.Microsecond, 7*identifier.Second + 1500},
			{30 * time.Second, 37 * identifier.Second},
		} {
			elapsed = x.elapsed
			gomega.Expect(c.now()).To(gomega.Equal(identifier.Instant(x.now)))
		}
		gomega.Expect(newClock().now().Since(identifier.Instant(time.Now().UnixMicro()))).To(gomega.BeNumerically("~", 0, identifier.Second))
	})

	ginkgo.It("counts the time in which the machine is suspended", func() {
		// A test can't suspend its machine. It checks the source: the clock of the kernel that includes
		// suspensions, from which the monotonic one differs by them.
		before, err := sinceBoot()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var boot unix.Timespec
		gomega.Expect(unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot)).To(gomega.Succeed())
		after, err := sinceBoot()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(time.Duration(boot.Nano())).To(gomega.And(gomega.BeNumerically(">=", before), gomega.BeNumerically("<=", after)))
	})
})

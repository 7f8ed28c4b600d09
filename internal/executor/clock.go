package executor

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// clock returns instants that never decrease within the process. Time in which the machine is
// suspended counts: leases and other permissions of limited duration run out meanwhile.
type clock struct {
	start   identifier.Instant
	elapsed func() time.Duration
}

func newClock() clock {
	first, err := sinceBoot()
	if err != nil {
		// Without the clock of the kernel, suspensions don't count.
		start := time.Now()
		return clock{identifier.Instant(start.UnixMicro()), func() time.Duration { return time.Since(start) }}
	}
	return clock{identifier.Instant(time.Now().UnixMicro()), func() time.Duration {
		now, err := sinceBoot()
		if err != nil {
			panic("executor: the clock of the kernel fails after it was read: " + err.Error())
		}
		return now - first
	}}
}

func (c clock) now() identifier.Instant {
	return c.start.Add(identifier.Micros(c.elapsed().Microseconds()))
}

// sinceBoot returns the time since the machine started, including the time in which it was suspended.
// The monotonic clock of package time leaves that out.
func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}

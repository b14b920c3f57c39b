package kernel

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected. Smaller differences arise
// because the two clocks are not read at the same moment.
const minSuspension = 100 * time.Millisecond

// BootTime returns the time since the machine booted. It includes suspensions, during
// which the monotonic clock stands still, and is not affected by steps of the wall clock.
func BootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read the boot clock: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// suspendMeter measures how long the machine has been suspended while the process ran, so
// that the process's state ages during suspensions. It is safe for concurrent use after
// start. The zero value detects nothing.
type suspendMeter struct {
	// bootTime reads the boot clock; nil to ignore suspensions.
	bootTime func() (time.Duration, error)
	// bootOffset is the boot clock minus the monotonic time at the start of the meter.
	bootOffset time.Duration
	// total is the time.Duration of all suspensions so far; it never decreases.
	total atomic.Int64
}

// start starts the measurement.
func (m *suspendMeter) start(bootTime func() (time.Duration, error), monotonic func() time.Duration) error {
	if bootTime == nil {
		return nil
	}
	boot, err := bootTime()
	if err != nil {
		return err
	}
	m.bootTime, m.bootOffset = bootTime, boot-monotonic()
	return nil
}

// update adds the suspensions since the last update to the total and returns their length.
// The boot clock is read first, so that a delay between the two readings is not taken for a
// suspension.
func (m *suspendMeter) update(monotonic func() time.Duration) time.Duration {
	if m.bootTime == nil {
		return 0
	}
	boot, err := m.bootTime()
	if err != nil {
		return 0 // the clock was readable at the start, so the next update may succeed
	}
	before := m.total.Load()
	suspended := boot - monotonic() - m.bootOffset - time.Duration(before)
	if suspended < minSuspension || !m.total.CompareAndSwap(before, before+int64(suspended)) {
		return 0
	}
	return suspended
}

package kernel

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the least time asleep that is noticed: two clocks are not read at the same
// moment.
const minSuspension = 100 * time.Millisecond

// BootTime is the time since the machine started, the time in which it was suspended
// included: the monotonic clock stands still then. A step of the time of day does not move
// it.
func BootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read the boot clock: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// suspendMeter adds up how long the machine was suspended while the process ran, so that
// what the process knows ages meanwhile. It is safe for concurrent use once it has begun;
// the zero value notices nothing.
type suspendMeter struct {
	// bootTime reads the boot clock; nil for a process that takes no notice of it.
	bootTime func() (time.Duration, error)
	// bootOffset is the boot clock less the monotonic time since Started.
	bootOffset time.Duration
	// total is a time.Duration; it only rises.
	total atomic.Int64
}

// start has the meter count from now on.
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

// update notices time asleep since the last update, and returns how much. The boot clock is
// read first, so that a delay between the two readings counts as no sleep.
func (m *suspendMeter) update(monotonic func() time.Duration) time.Duration {
	if m.bootTime == nil {
		return 0
	}
	boot, err := m.bootTime()
	if err != nil {
		return 0 // the clock could be read at the start; the next look tells
	}
	before := m.total.Load()
	suspended := boot - monotonic() - m.bootOffset - time.Duration(before)
	if suspended < minSuspension || !m.total.CompareAndSwap(before, before+int64(suspended)) {
		return 0
	}
	return suspended
}

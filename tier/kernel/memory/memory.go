// Package memory measures the heap for tests of the bounds for messages from outside.
package memory

import (
	"runtime"
	"time"
)

// HostMB is the memory of the smallest host, in MB, and HostBytes in bytes.
const (
	HostMB    = 160
	HostBytes = HostMB << 20
)

// sampleInterval is the time between two readings of the heap.
const sampleInterval = time.Millisecond

// PeakHeap calls f and returns the largest heap meanwhile, in bytes.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(sampleInterval):
		}
	}
}

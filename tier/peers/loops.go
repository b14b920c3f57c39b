package peers

import (
	"context"
	"sync"
	"time"
)

// start runs loops, each in a goroutine of its own. The clean-up function ends their
// context and waits until they have returned.
func start(ctx context.Context, loops ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

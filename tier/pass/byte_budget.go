package pass

import (
	"fmt"
	"sync"

	"loomgap/tier/wire"
)

const (
	// responseBudgetBytes limits the bodies that this host reads at the same time, and
	// upstreamBudgetBytes those from one upstream, so that a faulty one does not end the
	// process of a small host, nor take the whole budget from the others.
	responseBudgetBytes = 32 << 20
	upstreamBudgetBytes = responseBudgetBytes / 2
	// freeBodyBytes is the part of a body that is not counted, so that ordinary responses
	// are read whatever the others do.
	freeBodyBytes = 64 << 10
)

// byteBudget limits the bytes that are held at the same time. It is safe for concurrent use; nil
// is a budget without a limit.
type byteBudget struct {
	// parent is the budget that this one is a part of; nil for none.
	parent *byteBudget
	// limit is in bytes.
	limit int64
	mu    sync.Mutex
	// used is the number of bytes that are reserved; at most limit.
	used int64
}

// reserve takes n bytes from the budget, or returns an error if fewer are left. It always grants 0
// bytes or fewer.
func (b *byteBudget) reserve(n int64) error {
	if b == nil || n <= 0 {
		return nil
	}
	if err := b.parent.reserve(n); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		b.parent.release(n)
		return fmt.Errorf("%d bytes beside %d of %d for bodies being read: %w", n, b.used, b.limit, wire.ErrTooLarge)
	}
	b.used += n
	return nil
}

// release returns n bytes to the budget.
func (b *byteBudget) release(n int64) {
	if b == nil || n <= 0 {
		return
	}
	b.parent.release(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

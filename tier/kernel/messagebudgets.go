package kernel

import (
	"context"
	"runtime/debug"
	"sync"
	"time"
)

// Parts of a process's memory that messages from outside may use, by who sends them. Together they
// leave room on the smallest host for the process itself and for memory that is not collected yet.
const (
	replyMemoryPercent  = 30
	callerMemoryPercent = 20
	// minReplySenders is the least number of upstreams that can use up the memory for replies.
	minReplySenders = 2
	// heapPercent is the part from which on the process collects its garbage more often, which
	// large messages leave behind.
	heapPercent = 60
	percent     = 100
	// defaultMemoryMB is the memory of the smallest host, for a process that is not told its limit.
	defaultMemoryMB = 160
	// memoryUnit is the number of bytes of a MB.
	memoryUnit = 1 << 20
)

// MessageBudgets limit the messages from outside that a process holds at the same time. Nobody uses
// up the budget of another kind of sender. What clients send is limited by the kernel's Clients.
type MessageBudgets struct {
	// Replies limits the responses of upstreams; each upstream has an account.
	Replies *ByteBudget
}

func newMessageBudgets(s *Settings) MessageBudgets {
	memory := s.Memory()
	return MessageBudgets{
		Replies: NewByteBudget(memory*replyMemoryPercent/percent, minReplySenders),
	}
}

// LimitHeap makes the process collect its garbage more often when it comes near its memory, if that is
// known. It returns a function that restores the limit of before.
func LimitHeap(s *Settings) func() {
	if s.MemoryMB <= 0 {
		return func() {}
	}
	before := debug.SetMemoryLimit(s.Memory() * heapPercent / percent)
	return func() { debug.SetMemoryLimit(before) }
}

// heldBytes are the reservations of complete messages that a request uses. It is safe for concurrent
// use.
type heldBytes struct {
	mu sync.Mutex
	// ended is true once the request has ended.
	ended bool
	all   []*ByteReservation
}

type heldBytesKey struct{}

// WithHeldBytes returns a context for a request that uses messages from outside, and a function that
// releases what HoldBytes has added to it.
func WithHeldBytes(ctx context.Context) (context.Context, func()) {
	h := &heldBytes{}
	return context.WithValue(ctx, heldBytesKey{}, h), h.end
}

// HoldBytes marks a message as complete and keeps its reservation until the request of the context
// ends. It reports false, and releases the reservation, if the message gave way before.
func HoldBytes(ctx context.Context, r *ByteReservation) bool {
	if !r.Hold() {
		return false
	}
	if r == nil || !r.grown {
		return true
	}
	h, _ := ctx.Value(heldBytesKey{}).(*heldBytes)
	if h == nil {
		r.Release()
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		// Nobody uses the message of a call that outlasts its request.
		r.Release()
		return true
	}
	h.all = append(h.all, r)
	return true
}

// clientStallTime is how long a client may leave its answer untaken before the answer may give way to
// other messages.
const clientStallTime = time.Second

// AwaitClient notes that the request of the context waits until its client takes the answer. If that
// lasts, the messages that the request holds give way to others; abort ends the wait then, and must not
// block. The returned function ends the note.
func AwaitClient(ctx context.Context, abort func()) (done func()) {
	h, _ := ctx.Value(heldBytesKey{}).(*heldBytes)
	if h == nil {
		return func() {}
	}
	started, waits := time.Now(), true // waits is guarded by h.mu
	// The messages may be chosen to give way while the wait ends: the client's next request must go on.
	abortWaiting := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if waits {
			abort()
		}
	}
	timer := time.AfterFunc(clientStallTime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if waits {
			h.setIdle(started, abortWaiting)
		}
	})
	return func() {
		timer.Stop()
		h.mu.Lock()
		defer h.mu.Unlock()
		waits = false
		h.setIdle(time.Time{}, func() {})
	}
}

// setIdle notes since when the messages wait for the client. h.mu must be held.
func (h *heldBytes) setIdle(since time.Time, abort func()) {
	for _, r := range h.all {
		r.setIdle(since, abort)
	}
}

func (h *heldBytes) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	for _, r := range h.all {
		r.Release()
	}
	h.all = nil
}

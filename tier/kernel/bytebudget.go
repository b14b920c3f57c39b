package kernel

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxGivingWay limits the messages that give way to one message.
	maxGivingWay = 4
	// ordinaryBytes is the size of the largest ordinary message.
	ordinaryBytes = 64 << 10
	// ordinaryDivisor is the part of a budget that only ordinary messages may use, so that they
	// are read however many large messages are held.
	ordinaryDivisor = 3
)

// ErrNoRoom is wrapped when a message cannot be held because other messages use up the memory. It is
// no fault of the message's sender.
var ErrNoRoom = errors.New("no memory left for messages (raise -MemoryMB or add hosts)")

// ByteBudget limits the bytes of messages from outside that a process holds at the same time. Each
// sender has an account. If the budget is short, the largest messages of the sender that holds most
// give way to those of a sender that holds less, so that one sender's endless messages do not keep
// another's from being read. It is safe for concurrent use.
type ByteBudget struct {
	limit int64
	// senders is the least number of senders that can use the whole budget: one account may hold
	// 1/senders of it.
	senders int64

	mu sync.Mutex
	// used is the sum of all reservations; at most limit.
	used int64
	// accounts holds the accounts with reservations.
	accounts map[*ByteAccount]struct{}
}

// ByteAccount is the part of a budget that one sender uses.
type ByteAccount struct {
	budget *ByteBudget
	// used is the sum of the account's reservations, and reading that of those that can give way;
	// both are guarded by budget.mu.
	used, reading int64
	// reservations holds those of more than 0 bytes; guarded by budget.mu.
	reservations map[*ByteReservation]struct{}
}

// ByteReservation is what one message uses of a budget; nil uses nothing and is never refused. Its
// fields are guarded by the budget's mu.
type ByteReservation struct {
	account *ByteAccount
	size    int64
	// abort stops the reading of the message, or the wait for its client, when it gives way. It must
	// not block.
	abort func()
	// held is true once the message is complete. It can then no longer give way, but for idleSince.
	held bool
	// idleSince is since when the message waits for a client that does not take it; zero if it does not.
	idleSince time.Time
	// revoked is true once the message gave way.
	revoked bool
	// grown is true once bytes were reserved; used by the reader of the message only.
	grown bool
}

// NewByteBudget returns a budget of a number of bytes. One account may hold 1/senders of it.
func NewByteBudget(limit, senders int64) *ByteBudget {
	return &ByteBudget{limit: limit, senders: senders, accounts: map[*ByteAccount]struct{}{}}
}

// Used returns the number of reserved bytes.
func (b *ByteBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account returns an account for a sender.
func (b *ByteBudget) Account() *ByteAccount {
	return &ByteAccount{budget: b, reservations: map[*ByteReservation]struct{}{}}
}

// Reserve returns a reservation of 0 bytes for a message; abort stops its reading when it gives way.
// A nil account has no limit.
func (a *ByteAccount) Reserve(abort func()) *ByteReservation {
	if a == nil {
		return nil
	}
	return &ByteReservation{account: a, abort: abort}
}

// Grow reserves n more bytes. The error wraps ErrNoRoom.
func (r *ByteReservation) Grow(n int64) error {
	if r == nil || n <= 0 {
		return nil
	}
	r.grown = true
	b := r.account.budget
	b.mu.Lock()
	victims, ok := b.makeRoom(r, n)
	aborts := make([]func(), 0, len(victims))
	for _, v := range victims {
		v.free()
		v.revoked = true
		aborts = append(aborts, v.abort)
	}
	if ok {
		r.add(n)
	}
	used := b.used
	b.mu.Unlock()
	for _, abort := range aborts {
		abort()
	}
	if !ok {
		return fmt.Errorf("%d bytes beside %d of %d in use: %w", n, used, b.limit, ErrNoRoom)
	}
	return nil
}

// Shrink returns n bytes that were reserved.
func (r *ByteReservation) Shrink(n int64) {
	if r == nil || n <= 0 {
		return
	}
	b := r.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.revoked {
		r.add(-min(n, r.size))
	}
}

// Hold marks the message as complete: it can no longer give way. It reports false if the message gave
// way before.
func (r *ByteReservation) Hold() bool {
	if r == nil || !r.grown {
		return true
	}
	r.account.budget.mu.Lock()
	defer r.account.budget.mu.Unlock()
	if r.revoked {
		return false
	}
	if !r.held {
		r.held = true
		r.account.reading -= r.size
	}
	return true
}

// setIdle notes since when the message waits for a client that does not take it. It may then give way
// again; abort ends the wait. The zero time ends the note.
func (r *ByteReservation) setIdle(since time.Time, abort func()) {
	r.account.budget.mu.Lock()
	defer r.account.budget.mu.Unlock()
	r.idleSince, r.abort = since, abort
}

// Revoked reports whether the message gave way.
func (r *ByteReservation) Revoked() bool {
	if r == nil {
		return false
	}
	r.account.budget.mu.Lock()
	defer r.account.budget.mu.Unlock()
	return r.revoked
}

// Release returns the bytes to the budget. It may be called again.
func (r *ByteReservation) Release() {
	if r == nil || !r.grown {
		return
	}
	r.account.budget.mu.Lock()
	defer r.account.budget.mu.Unlock()
	r.free()
}

// makeRoom returns the reservations that have to give way for n more bytes of r, and whether there is
// room for them then. b.mu must be held.
func (b *ByteBudget) makeRoom(r *ByteReservation, n int64) (victims []*ByteReservation, ok bool) {
	a := r.account
	if r.revoked {
		return nil, false
	}
	limit := b.limit
	if r.size+n > ordinaryBytes {
		limit -= limit / ordinaryDivisor
	}
	if over := a.used + n - limit/b.senders; over > 0 {
		if victims = a.idle(over, time.Now()); victims != nil {
			return victims, true
		}
		// Among messages of one sender, a larger one gives way to a smaller one.
		victims = a.largest(over, r.size+n, r)
		return victims, victims != nil
	}
	over := b.used + n - limit
	if over <= 0 {
		return nil, true
	}
	if victims = b.idle(over, time.Now()); victims != nil {
		return victims, true
	}
	most := b.largestAccount()
	if most == nil || most == a || most.reading <= a.reading+n {
		return nil, false
	}
	victims = most.largest(over, 0, nil)
	return victims, victims != nil
}

// idle returns messages of any account that have waited for their clients, of n bytes together; nil if
// there are not as many. b.mu must be held.
func (b *ByteBudget) idle(n int64, now time.Time) []*ByteReservation {
	var all []*ByteReservation
	for a := range b.accounts {
		all = append(all, a.allIdle()...)
	}
	return pickIdle(all, n, now)
}

// idle does the same for the messages of one account. The budget's mu must be held.
func (a *ByteAccount) idle(n int64, now time.Time) []*ByteReservation {
	return pickIdle(a.allIdle(), n, now)
}

// allIdle returns the messages that wait for their clients. The budget's mu must be held.
func (a *ByteAccount) allIdle() (all []*ByteReservation) {
	for r := range a.reservations {
		if !r.idleSince.IsZero() {
			all = append(all, r)
		}
	}
	return all
}

// pickIdle returns those of some messages that hold most for longest, of n bytes together; nil if there
// are not as many.
func pickIdle(all []*ByteReservation, n int64, now time.Time) []*ByteReservation {
	weigh := func(r *ByteReservation) float64 { return now.Sub(r.idleSince).Seconds() * float64(r.size) }
	slices.SortFunc(all, func(x, y *ByteReservation) int { return cmp.Compare(weigh(y), weigh(x)) })
	sum := int64(0)
	for i, r := range all {
		if sum += r.size; sum >= n {
			return all[:i+1]
		}
	}
	return nil
}

// largestAccount returns the account that holds the most bytes that can give way; nil if there is
// none. b.mu must be held.
func (b *ByteBudget) largestAccount() *ByteAccount {
	var most *ByteAccount
	for a := range b.accounts {
		if most == nil || a.reading > most.reading {
			most = a
		}
	}
	return most
}

// largest returns the largest messages, other than r, that can give way, are larger than above, and have
// at least n bytes together; nil if that takes more than maxGivingWay. The budget's mu must be held.
func (a *ByteAccount) largest(n, above int64, r *ByteReservation) []*ByteReservation {
	var all []*ByteReservation
	for v := range a.reservations {
		if v != r && !v.held && v.size > above {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(x, y *ByteReservation) int { return cmp.Compare(y.size, x.size) })
	sum := int64(0)
	for i, v := range all[:min(len(all), maxGivingWay)] {
		if sum += v.size; sum >= n {
			return all[:i+1]
		}
	}
	return nil
}

// add adds bytes, or returns some if n is negative. The budget's mu must be held.
func (r *ByteReservation) add(n int64) {
	a := r.account
	r.size += n
	a.used += n
	a.budget.used += n
	if !r.held {
		a.reading += n
	}
	if r.size > 0 {
		a.reservations[r] = struct{}{}
		a.budget.accounts[a] = struct{}{}
		return
	}
	delete(a.reservations, r)
	if a.used == 0 {
		delete(a.budget.accounts, a)
	}
}

// free returns all bytes. The budget's mu must be held.
func (r *ByteReservation) free() { r.add(-r.size) }

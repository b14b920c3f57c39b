package policy

import (
	"container/list"
	"math"
	"net/netip"
	"time"
)

const (
	// callerHalfLife is the half-life of the usage of a caller.
	callerHalfLife = 2 * time.Second
	// maxCallers limits the number of callers in the table.
	maxCallers = 4096
	// callerRetention is how long a caller that sends nothing stays in the table. Its usage has
	// then decayed to a thirty-second, and it would only lower the mean of the others.
	callerRetention = 5 * callerHalfLife
	// callerMeanFactor is how many times the mean usage of the others a caller may use.
	callerMeanFactor = 2
	// callerFreeUsage is the usage, in requests, up to which no caller is over its share.
	callerFreeUsage = 3
	// callerRescale is the number of half-lives after which stored usages are scaled down, long
	// before they would overflow or lose precision.
	callerRescale = 32
)

// callerShares keeps the recent usage of callers, to find those that use more than their share.
// A caller is an address, so callers behind a shared gateway count as one. It is used with the
// gate locked.
type callerShares struct {
	// byAddr holds the elements of recent, whose values are *callerUsage, the most recently used
	// first. It has at most maxCallers entries.
	byAddr map[netip.Addr]*list.Element
	recent *list.List
	// scaledAt is the time at which a stored usage of 1 is one request. Usages decay by the
	// growth of the unit in which new requests are added, so that no entry has to be updated.
	scaledAt time.Duration
	// admittedSum is the sum of the callers' admitted usage.
	admittedSum float64
}

// callerUsage is the usage of one caller, in the unit of callerShares.scaledAt.
type callerUsage struct {
	addr netip.Addr
	// admitted counts the admitted requests, early the refused ones that came before the time
	// the caller was given.
	admitted, early float64
	// returnAt is the earliest time given to a refused request of this caller that has not
	// passed. It is the earliest of several, so that a caller with several requests is not
	// charged when the first one returns in time.
	returnAt time.Duration
	usedAt   time.Duration
}

func newCallerShares() *callerShares {
	return &callerShares{byAddr: map[netip.Addr]*list.Element{}, recent: list.New()}
}

// admitted records a request that was admitted.
func (c *callerShares) admitted(now time.Duration, a netip.Addr) {
	u := c.use(now, a)
	if u == nil {
		return
	}
	unit := c.unit(now)
	u.admitted += unit
	c.admittedSum += unit
}

// refused records a request that was refused, whose caller was told to return at until. A
// request that came before the time given to an earlier one counts as usage.
func (c *callerShares) refused(now time.Duration, a netip.Addr, until time.Duration) {
	u := c.use(now, a)
	if u == nil {
		return
	}
	if now >= u.returnAt {
		u.returnAt = until
		return
	}
	u.early += c.unit(now)
	u.returnAt = min(u.returnAt, until)
}

// overShare reports whether a caller uses more than its share: its usage is above twice the
// mean admitted usage of the other callers, and above 3 requests. The mean leaves out the caller
// itself, since neither of two callers can exceed twice the mean of both, and early attempts,
// since those of a third of the callers would raise it to half of their own usage. An unknown
// or invalid address is never over its share. It changes nothing.
func (c *callerShares) overShare(now time.Duration, a netip.Addr) bool {
	e := c.byAddr[a]
	if e == nil || len(c.byAddr) == 1 {
		return false
	}
	u := e.Value.(*callerUsage)
	others := max(c.admittedSum-u.admitted, 0) / float64(len(c.byAddr)-1)
	return u.usage() > callerFreeUsage*c.unit(now) && u.usage() > callerMeanFactor*others
}

// usage returns the usage of the caller. Early attempts count at most as much as admitted ones.
// A caller that always returns early is thus held at the mean of the others; without the limit
// it would get next to nothing, as three refused retries weigh more than its admitted request.
func (u *callerUsage) usage() float64 { return u.admitted + min(u.early, u.admitted) }

// use returns the entry of a caller and marks it as the most recently used. It returns nil for
// an invalid address.
func (c *callerShares) use(now time.Duration, a netip.Addr) *callerUsage {
	if !a.IsValid() {
		return nil
	}
	c.rescale(now)
	c.evict(now)
	e := c.byAddr[a]
	if e == nil {
		c.limitSize()
		e = c.recent.PushFront(&callerUsage{addr: a})
		c.byAddr[a] = e
	}
	c.recent.MoveToFront(e)
	u := e.Value.(*callerUsage)
	u.usedAt = now
	return u
}

// evict removes the callers that have sent nothing within the retention period.
func (c *callerShares) evict(now time.Duration) {
	for e := c.recent.Back(); e != nil; e = c.recent.Back() {
		if now-e.Value.(*callerUsage).usedAt < callerRetention {
			return
		}
		c.remove(e)
	}
}

// limitSize makes room for one caller.
func (c *callerShares) limitSize() {
	if len(c.byAddr) >= maxCallers {
		c.remove(c.recent.Back())
	}
}

func (c *callerShares) remove(e *list.Element) {
	u := c.recent.Remove(e).(*callerUsage)
	delete(c.byAddr, u.addr)
	c.admittedSum -= u.admitted
}

// unit returns the stored usage of one request that is recorded now.
func (c *callerShares) unit(now time.Duration) float64 {
	return math.Exp2(float64(now-c.scaledAt) / float64(callerHalfLife))
}

// rescale converts the stored usages to the current unit if they have grown too large.
func (c *callerShares) rescale(now time.Duration) {
	if now-c.scaledAt < callerRescale*callerHalfLife {
		return
	}
	unit := c.unit(now)
	c.scaledAt, c.admittedSum = now, 0
	for e := c.recent.Front(); e != nil; e = e.Next() {
		u := e.Value.(*callerUsage)
		u.admitted /= unit
		u.early /= unit
		c.admittedSum += u.admitted
	}
}

package guard

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// maxWorkWait is how long a head, or a part of a body, that is not ordinary waits for processor time.
	maxWorkWait = time.Second
	// minAheadPause is the pause after a request of a client that sends ahead, and aheadPauseFactor
	// lengthens it with each such request in a row.
	minAheadPause    = 100 * time.Millisecond
	aheadPauseFactor = 10
	// maxAheads is the number of requests that run at the same time at a door although their clients
	// sent more before they had an answer.
	maxAheads = 4
	// parkTime is the pause of a connection whose requests do no work for their callers, before it
	// tries again.
	parkTime = time.Second
	// ordinaryBodyBytes and ordinaryReads are the size of a body, and the number of reads that it
	// takes, which cost nothing beyond an ordinary request. bodyByteCost and readCost are the
	// processor time of more. A byte of a body in chunks, as sent, counts chunkedWeight times, since
	// chunks may be short.
	ordinaryBodyBytes = 16 << 10
	ordinaryReads     = 8
	bodyByteCost      = 3 * time.Nanosecond
	readCost          = 6 * time.Microsecond
	chunkedWeight     = 4
	// lateRead is how long bytes that came before a deadline are waited for after it.
	lateRead = time.Millisecond
)

// readBody reads a part of a body, but nothing behind its end.
func (c *Conn) readBody(p []byte) (int, error) {
	if !c.body.chunked {
		p = p[:min(uint64(len(p)), c.body.left)]
	}
	c.setBodyPhase()
	n, err := c.readAny(p)
	n, valid := c.frame(p[:n])
	if !valid {
		return n, err // the server finds the fault itself, and answers
	}
	weight := int64(1)
	if c.body.chunked {
		weight = chunkedWeight
	}
	c.bodyBytes += int64(n) * weight
	c.bodyReads++
	if err != nil || c.bodyBytes <= ordinaryBodyBytes && c.bodyReads <= ordinaryReads {
		return n, err
	}
	cost := readCost + time.Duration(int64(n)*weight)*bodyByteCost
	maxWait := maxWorkWait
	if !c.readUntil.IsZero() {
		maxWait = min(maxWait, time.Until(c.readUntil))
	}
	wait, ok := c.door.reserveWork(cost, time.Now(), maxWait)
	if !ok {
		return 0, fmt.Errorf("body of %d bytes so far: %w", c.bodyBytes, ErrBusy)
	}
	return n, c.sleep(wait)
}

// frame returns how many of the bytes that were read last belong to the body, and keeps the others for
// the next head. It reports false if the framing is not valid; the connection reads nothing more then.
func (c *Conn) frame(p []byte) (used int, valid bool) {
	used, err := c.body.read(p)
	if err != nil {
		c.body.open, c.refusal = false, err
		return len(p), false
	}
	if used < len(p) {
		c.early = true
		c.unread(p[used:])
	}
	return used, true
}

// readHead reads a part of a head, but nothing behind its end.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.refusal != nil {
		return 0, c.refusal // the server may read once more after an error
	}
	limits := c.door.Limits()
	if err := c.payDebt(limits.IdleTime); err != nil {
		return 0, err
	}
	n, err := c.readBefore(p, &limits)
	if n == 0 {
		return 0, err
	}
	if !c.inHead {
		if k := lineEnds(p[:n]); k > 0 {
			c.unread(p[k:n])
			return k, err
		}
		limits = c.door.Limits() // they may have changed while the connection was at rest
		if err := c.beginHead(&limits); err != nil {
			return 0, err
		}
	}
	used, done := c.head.read(p[:n])
	if used < n {
		c.unread(p[used:n])
	}
	if c.head.tooLarge(limits.HeadBytes) {
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge, 0,
			fmt.Sprintf("head over %d bytes: send a shorter one", limits.HeadBytes))
	}
	if err := c.countHead(); err != nil {
		return 0, err
	}
	if done {
		c.endHead(&limits)
	}
	return used, err
}

// markWhole notes that a whole head has come.
func (c *Conn) markWhole() {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.served = true
}

// unread keeps bytes for the next read. They were read last, into another buffer.
func (c *Conn) unread(p []byte) {
	if len(p) == 0 {
		return
	}
	if cap(c.ahead) == 0 {
		c.ahead = append(c.ahead, p...)
		return
	}
	c.ahead = append(append(make([]byte, 0, len(p)+len(c.ahead)), p...), c.ahead...)
}

// readBefore reads before the deadline of the head, or of the rest between two requests.
func (c *Conn) readBefore(p []byte, limits *Limits) (int, error) {
	until := c.headUntil
	if !c.inHead {
		until = time.Now().Add(limits.IdleTime)
	}
	if len(c.ahead) == 0 {
		if err := c.Conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
	if c.hasGivenWay() {
		return 0, c.refuseForRoom()
	}
	n, err := c.readAny(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if c.hasGivenWay() {
		return 0, c.refuseForRoom()
	}
	// The process may have been late itself, not the client.
	if err := c.Conn.SetReadDeadline(time.Now().Add(lateRead)); err != nil {
		return 0, err
	}
	n, err = c.readAny(p)
	if n == 0 && c.inHead && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, c.refuse(http.StatusRequestTimeout, reasonHeadTooSlow, 0, "head incomplete after "+limits.HeadTime.String()+": send it faster")
	}
	return n, err
}

// beginHead begins the account of a head with its first bytes.
func (c *Conn) beginHead(limits *Limits) error {
	c.head, c.parsed, c.headCost, c.headWait, c.inHead = headReader{}, 0, 0, 0, true
	c.headUntil = time.Now().Add(limits.HeadTime)
	c.setPhase(phaseHead)
	if err := c.door.guard.grow(c, requestBytes); err != nil {
		return c.refuseForRoom()
	}
	return nil
}

// countHead counts what was read of the head: its memory, and the processor time beyond that of an
// ordinary one.
func (c *Conn) countHead() error {
	parsed := c.head.parsedBytes()
	if err := c.door.guard.grow(c, parsed-c.parsed); err != nil {
		return c.refuseForRoom()
	}
	c.parsed = parsed
	cost := c.head.cost() - c.headCost
	if cost == 0 {
		return nil
	}
	c.headCost += cost
	wait, ok := c.door.reserveWork(cost, time.Now(), min(maxWorkWait-c.headWait, time.Until(c.headUntil)))
	c.headWait += wait
	if !ok {
		return c.refuse(http.StatusServiceUnavailable, reasonBusy, wait, "no processor time for a large head beside others")
	}
	return c.sleep(wait)
}

// endHead begins the request whose head is complete.
func (c *Conn) endHead(limits *Limits) {
	c.inHead, c.inRequest, c.behind = false, true, int64(len(c.ahead))
	c.bodyBytes, c.bodyReads, c.body = 0, 0, bodyReader{}
	c.limitBodyTime(limits)
	c.setPhase(phaseRun)
}

// limitBodyTime sets the deadline for the body of the request.
func (c *Conn) limitBodyTime(limits *Limits) {
	c.readUntil = time.Time{}
	if limits.BodyTime > 0 {
		c.readUntil = time.Now().Add(limits.BodyTime)
	}
	_ = c.Conn.SetReadDeadline(c.readUntil) // the next read fails if the connection is closed
}

// errTooManyAhead is the error of a request that was sent ahead beside others.
var errTooManyAhead = errors.New("too many requests are sent ahead: wait for the answer to each")

// beginRequest begins a request whose handler starts. It returns an error if the request cannot
// run now: it was sent ahead beside others, or the server and the connection do not agree on where its
// head ended.
func (c *Conn) beginRequest(r *http.Request) error {
	if !c.inRequest {
		return errFraming
	}
	c.request = r
	if r.ContentLength != 0 {
		// Without a body, the server reads beside the handler already.
		c.body = newBodyReader(r.ContentLength)
	}
	c.sentAhead = r.ContentLength >= 0 && c.behind > r.ContentLength
	if !c.enterHandler() {
		return errTooManyAhead
	}
	if c.door.RequestInterval > 0 {
		now := time.Now()
		if now.Before(c.freeAt) {
			c.debt += requestCost
		}
		c.freeAt = now.Add(c.door.RequestInterval)
	}
	return nil
}

// enterHandler notes that a handler runs. It reports false if the request was sent ahead and may not
// run beside others that were.
func (c *Conn) enterHandler() bool {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.sentAhead && c.door.aheads >= maxAheads {
		return false
	}
	c.inHandler = true
	if c.sentAhead {
		c.door.aheads++
	}
	return true
}

// leaveHandler notes that the handler has returned, and no longer holds the body.
func (c *Conn) leaveHandler() {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.inHandler && c.sentAhead {
		c.door.aheads--
	}
	c.inHandler = false
	if !c.gaveWay {
		g.setHeld(c, min(c.held, c.door.ConnectionBytes+requestBytes+c.parsed))
	}
}

// endRequest ends a request that was answered.
func (c *Conn) endRequest() {
	if c.sentAhead || c.early {
		c.debt += requestCost
	}
	c.aheads++
	if !c.sentAhead {
		c.aheads = 0
	}
	if c.inRequest && c.body.open {
		c.refusal = errFraming // the server takes the body for complete
	}
	c.inHead, c.inRequest, c.request, c.parsed, c.early = false, false, nil, 0, false
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase, c.since, c.served = phaseIdle, time.Now(), true
	if !c.gaveWay {
		g.setHeld(c, c.door.ConnectionBytes)
	}
}

// Unproductive marks the request of the connection as one that did no work for its caller: its next
// request waits for processor time. A nil connection has no effect.
func (c *Conn) Unproductive() {
	if c != nil {
		c.debt += requestCost
	}
}

// MayWait reports whether the request that runs is an ordinary one, which may wait for its turn: its
// client has sent nothing ahead, and it is not large. That of a nil connection is.
func (c *Conn) MayWait() bool {
	if c == nil {
		return true
	}
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return !c.sentAhead && c.held <= ordinaryHeld
}

// aheadPause returns the pause before the next request of a client that sends ahead.
func (c *Conn) aheadPause(limit time.Duration) time.Duration {
	pause := time.Duration(0)
	for i := 0; i < c.aheads && pause < limit; i++ {
		pause = max(pause*aheadPauseFactor, minAheadPause)
	}
	return min(pause, limit)
}

// payDebt waits until there is processor time for what the connection has cost beyond ordinary
// requests.
func (c *Conn) payDebt(idle time.Duration) error {
	if c.debt == 0 || c.inHead {
		return nil
	}
	until := time.Now().Add(idle)
	if err := c.sleep(c.aheadPause(idle)); err != nil {
		return err
	}
	for {
		wait, ok := c.door.reserveWork(c.debt, time.Now(), maxWorkWait)
		if ok {
			c.debt = 0
			return c.sleep(wait)
		}
		if time.Now().After(until) {
			return &refusal{reasonBusy}
		}
		if err := c.sleep(parkTime); err != nil {
			return err
		}
	}
}

// EndBody ends the reading of a body. It reports false if the connection had to give way meanwhile. A
// nil connection has no effect.
func (c *Conn) EndBody() bool {
	if c == nil {
		return true
	}
	c.setPhase(phaseRun)
	if r := c.request; r != nil && r.Trailer != nil {
		r.Trailer = nil // nobody reads it, and it may be large
	}
	return !c.hasGivenWay()
}

// NoteRefusal counts and logs that the handler refused the request because of an error of its body. A
// nil connection has no effect.
func (c *Conn) NoteRefusal(status int, err error) {
	if c == nil {
		return
	}
	why := reasonNoRoom
	if errors.Is(err, ErrBusy) {
		why = reasonBusy
	}
	c.door.count(outcomeRefused, why, 1)
	c.door.guard.Log.Info().Str("Door", c.door.Name).Str("Reason", string(why)).Int("Status", status).
		Err(err).Stringer("Client", c.RemoteAddr()).Msg("client refused")
}

// Grow reserves n more bytes for the body. The error wraps ErrNoRoom. The bytes are returned when
// the request is answered.
func (c *Conn) Grow(n int64) error {
	if c == nil {
		return nil
	}
	return c.door.guard.grow(c, n)
}

// Shrink returns n bytes that were reserved.
func (c *Conn) Shrink(n int64) {
	if c == nil || n <= 0 {
		return
	}
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.gaveWay {
		g.setHeld(c, max(c.held-n, 0))
	}
}

// drainTime is how long a server reads on in a body that its handler left.
const drainTime = 500 * time.Millisecond

// limitDrain limits the time in which the server reads on in a body that nobody wants.
func (c *Conn) limitDrain() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime)) // fails if the connection is closed
}

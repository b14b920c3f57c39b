package guard

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestBytes is what a connection makes the process hold for a request, beyond its head and
	// its body.
	requestBytes = 24 << 10
	// takeTime limits the time in which a client takes a part of an answer that its handler sets no
	// limit for.
	takeTime = 10 * time.Second
)

// phase is what a connection does.
type phase string

const (
	// phaseWait means that the connection waits for processor time to be served.
	phaseWait phase = "Wait"
	// phaseIdle means that the connection is at rest.
	phaseIdle phase = "Idle"
	// phaseHead means that a head is incomplete.
	phaseHead phase = "Head"
	// phaseBody means that the handler waits for the body.
	phaseBody phase = "Body"
	// phaseRun means that the handler runs.
	phaseRun phase = "Run"
	// phaseWrite means that the client does not take its answer.
	phaseWrite phase = "Write"
	// phaseLinger means that the client was refused, and is left time to take the refusal.
	phaseLinger phase = "Linger"
)

// Conn is the connection of a client. Its methods have the rules of net.Conn.
type Conn struct {
	net.Conn
	door *Door
	// ended is closed when the connection is closed or has to give way.
	ended              chan struct{}
	endOnce, closeOnce sync.Once

	// phase, and since when it has lasted; guarded by guard.mu.
	phase phase
	since time.Time
	// held is what the connection makes the process hold, in bytes; guarded by guard.mu.
	held int64
	// gaveWay is true once the connection had to give way; guarded by guard.mu.
	gaveWay bool
	// served is true once a request was answered, or a whole head has come and waits to be served;
	// guarded by guard.mu.
	served bool

	// The fields below are used by the connection's server only, which reads in one goroutine at a
	// time.

	head headReader
	// parsed is the part of held that stands for the head.
	parsed int64
	// ahead holds bytes that were read behind the end of a head.
	ahead []byte
	// inHead is true from the first byte of a head to its end, inRequest from its end until the
	// request is answered.
	inHead, inRequest bool
	// headUntil is when the head must be complete.
	headUntil time.Time
	// headCost is the processor time that was reserved for the head, headWait how long it waited for that.
	headCost, headWait time.Duration
	// request is the request whose handler runs; nil if there is none.
	request *http.Request
	// body finds the end of the body.
	body bodyReader
	// bodyBytes counts the bytes read behind the head, and bodyReads the reads.
	bodyBytes, bodyReads int64
	// behind is the number of bytes that had come behind the head when it ended.
	behind int64
	// early is true if the client sent bytes of the next head before it had its answer.
	early bool
	// readUntil is the deadline for reads during a request, writeUntil that for writes; zero for none.
	readUntil, writeUntil time.Time
	// sentAhead is true if the client sent more than the request that runs before it had an answer,
	// and aheads counts such requests in a row.
	sentAhead bool
	aheads    int
	// inHandler is true while the handler runs; guarded by guard.mu.
	inHandler bool
	// refusal is the error of all reads once the client was refused; nil before that.
	refusal error
	// debt is processor time that the connection has to wait for before its next request.
	debt time.Duration
	// freeAt is when the next request is not delayed.
	freeAt time.Time

	// peerClosed is true once the client has closed the connection, and refused once it was refused
	// with an answer that states its length.
	peerClosed, refused atomic.Bool
}

// Read reads a head up to its end, or what follows it up to the end of the body.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.door.Opaque:
		return c.Conn.Read(p)
	case !c.inRequest:
		return c.readHead(p)
	case c.body.open:
		return c.readBody(p)
	case len(p) == 1:
		return c.readOne(p)
	}
	return 0, errFraming // the server takes the head or the body for incomplete
}

// readOne reads one byte, by which the server learns while a handler runs whether the client goes
// away. It runs beside the handler, once the whole request was read.
func (c *Conn) readOne(p []byte) (int, error) {
	n, err := c.readAny(p)
	c.early = c.early || n > 0
	return n, err
}

// readAny reads bytes that were read before, or new ones.
func (c *Conn) readAny(p []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed.Store(true)
	}
	return n, err
}

// Progress notes that the client of a connection that is opaque to its door has sent something
// that makes sense. A nil connection has no effect.
func (c *Conn) Progress() {
	if c == nil {
		return
	}
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.since, c.served = time.Now(), true
}

// sleep waits for some time, or until the connection is closed.
func (c *Conn) sleep(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.ended:
		return net.ErrClosed
	}
}

// SetReadDeadline implements net.Conn. Before a request, the limits of the door apply instead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.door.Opaque {
		return c.Conn.SetReadDeadline(t)
	}
	if !c.inRequest {
		return nil
	}
	c.readUntil = t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeUntil = t
	return c.Conn.SetWriteDeadline(t)
}

// Write writes a part of an answer. If the handler has set no deadline for it, that of the door
// applies.
func (c *Conn) Write(p []byte) (int, error) {
	if c.door.Opaque {
		return c.Conn.Write(p)
	}
	if c.writeUntil.IsZero() {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(takeTime)); err != nil {
			return 0, err
		}
	}
	c.setPhase(phaseWrite)
	n, err := c.Conn.Write(p)
	c.setPhase(phaseRun)
	return n, err
}

// Close closes the connection. The client of a refused one is left some time to take the refusal.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.endWaits()
		if !c.linger() {
			err = c.end()
		}
	})
	return err
}

// end closes the connection under this one and ends its account.
func (c *Conn) end() error {
	c.door.guard.remove(c)
	return c.Conn.Close()
}

func (c *Conn) setPhase(p phase) {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// setBodyPhase notes that the server waits for a body. The time counts from its first read.
func (c *Conn) setBodyPhase() {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase != phaseBody {
		c.phase, c.since = phaseBody, time.Now()
	}
}

func (c *Conn) hasGivenWay() bool {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.gaveWay
}

// keepsPlace reports whether the connection keeps its place for now: it has just done something, or was
// served, or its whole request has come, not long ago. guard.mu must be held.
func (c *Conn) keepsPlace(now time.Time) bool {
	age := now.Sub(c.since)
	switch {
	case c.door.Opaque, c.phase == phaseLinger:
		return false
	case age < freshTime:
		return true
	}
	return c.served && c.phase != phaseBody && c.phase != phaseWrite && age < keepTime
}

// idleScore tells how long the connection makes no progress, by what it does; 0 if it does. guard.mu
// must be held.
func (c *Conn) idleScore(now time.Time) float64 {
	age := max(now.Sub(c.since), 1).Seconds()
	switch {
	case c.phase == phaseRun, c.phase == phaseWrite && now.Sub(c.since) < stallTime:
		return 0
	case c.served && (c.phase == phaseIdle || c.phase == phaseWait):
		return age
	case c.phase == phaseLinger:
		return age * lingerWeight
	}
	return age * unservedWeight
}

// memoryScore tells how soon the connection gives way to a request that needs memory; 0 if it does
// not. guard.mu must be held.
func (c *Conn) memoryScore(now time.Time) float64 { return c.idleScore(now) * float64(c.held) }

// endWaits ends the waits of the connection's server.
func (c *Conn) endWaits() { c.endOnce.Do(func() { close(c.ended) }) }

// GiveWay ends the connection of a client that does not take its answer, for which there is no room. A
// nil connection has no effect.
func (c *Conn) GiveWay() {
	if c != nil {
		c.door.guard.cutOff([]*Conn{c})
	}
}

// cutOff ends a connection that gave way.
func (c *Conn) cutOff() {
	c.endWaits()
	g := c.door.guard
	g.mu.Lock()
	waits := c.phase == phaseHead || c.phase == phaseBody && c.inHandler
	g.mu.Unlock()
	if waits {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // its reader refuses the request
		return
	}
	_ = c.Conn.Close() // its server learns of it from the next read or write
}

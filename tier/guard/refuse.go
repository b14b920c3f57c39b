package guard

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	// lingerBytes is what a refused connection holds until its client has taken the refusal.
	lingerBytes = 1 << 10
	// lingerTime is how long a refused connection stays open. If it were closed with unread bytes at
	// once, the client might lose the refusal, and one that only waits for the end would be back at
	// once.
	lingerTime = time.Second
	// refusalTime limits the time for one try to write a refusal.
	refusalTime = 50 * time.Millisecond
	// refusalTries limits the tries: the first may come late because the process was, not the client.
	refusalTries = 2
	// retryAfterNoRoom is when a client may come back for whom there was no room.
	retryAfterNoRoom = time.Second
)

// refusal is the error of a read from a client that was refused. It is a timeout, for which the
// server writes no answer of its own.
type refusal struct{ reason reason }

var _ net.Error = (*refusal)(nil)

func (r *refusal) Error() string { return "client refused: " + string(r.reason) }

// Timeout implements net.Error.
func (r *refusal) Timeout() bool { return true }

// Temporary implements net.Error.
func (r *refusal) Temporary() bool { return false }

func (c *Conn) refuseForRoom() error {
	if !c.inHead {
		c.refusal = &refusal{reasonNoRoom}
		return c.refusal
	}
	return c.refuse(http.StatusServiceUnavailable, reasonNoRoom, retryAfterNoRoom, "no memory for the request beside others")
}

// refuse answers a request whose head is incomplete, and returns the error that ends the
// connection. A retryAfter of 0 is left out.
func (c *Conn) refuse(status int, why reason, retryAfter time.Duration, text string) error {
	c.refused.Store(true)
	c.door.count(outcomeRefused, why, 1)
	c.door.guard.Log.Info().Str("Door", c.door.Name).Str("Reason", string(why)).Int("Status", status).
		Int64("HeadBytes", c.head.size).Stringer("Client", c.RemoteAddr()).Msg("client refused")
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), len(text)+1)
	if retryAfter > 0 {
		head += "Retry-After: " + seconds(retryAfter) + "\r\n"
	}
	c.writeRefusal([]byte(head + "\r\n" + text + "\n"))
	c.refusal = &refusal{why}
	return c.refusal
}

// writeRefusal writes a refusal, unless the client does not take it.
func (c *Conn) writeRefusal(text []byte) {
	for range refusalTries {
		if c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) != nil {
			return // the client is gone
		}
		n, err := c.Conn.Write(text)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		text = text[n:]
	}
}

// seconds writes a time for the header Retry-After.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// CloseWrite is called by the server when it has answered a request whose body it leaves. The
// connection stays open until Close, for the client to take the answer.
func (c *Conn) CloseWrite() error {
	c.refused.Store(true)
	c.setPhase(phaseLinger)
	if c.hasGivenWay() {
		return c.Conn.Close()
	}
	return nil
}

// linger leaves the client of a refused connection time to take the refusal. It reports false if
// the connection must be closed at once.
func (c *Conn) linger() bool {
	if c.peerClosed.Load() {
		return false
	}
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := c.refused.Load()
	if c.gaveWay || !refused && c.phase != phaseHead {
		return false
	}
	if !refused {
		// The server's own answer to an invalid head ends with the connection.
		w, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || w.CloseWrite() != nil {
			return false
		}
	}
	if c.phase != phaseLinger {
		c.phase, c.since = phaseLinger, time.Now()
	}
	g.setHeld(c, lingerBytes)
	time.AfterFunc(time.Until(c.since.Add(lingerTime)), func() { _ = c.end() })
	return true
}

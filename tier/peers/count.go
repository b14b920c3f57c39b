package peers

import (
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// bytesIn and bytesOut count the bytes of the peer protocol.
var (
	bytesIn  = metrics.GetOrCreateCounter("loomgap_peer_bytes_in")
	bytesOut = metrics.GetOrCreateCounter("loomgap_peer_bytes_out")
)

// writeBound is how long a peer may leave what is written unread. It prevents a
// peer that stands still from holding up all callers of its connection: each
// write waits for the one before.
const writeBound = 2 * time.Second

// peerConn is a connection to a peer. It counts bytes and notes for how long
// the peer has owed an answer.
type peerConn struct {
	net.Conn
	now func() time.Duration

	mu sync.Mutex
	// owedSince is when the first call was sent since bytes last came; only with
	// owed.
	owedSince time.Duration
	owed      bool
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesIn.Add(n)
	if n > 0 {
		c.mu.Lock()
		c.owed = false
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *peerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeBound)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	bytesOut.Add(n)
	return n, err
}

// asked notes that a call is sent, which the peer answers.
func (c *peerConn) asked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.owed {
		c.owed, c.owedSince = true, c.now()
	}
}

// silentFor returns for how long nothing has come since the first unanswered
// call; 0 if no answer is owed.
func (c *peerConn) silentFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.owed {
		return 0
	}
	return c.now() - c.owedSince
}

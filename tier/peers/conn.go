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

// writeBound is how long a peer may leave what is written unread. Without it an
// unresponsive peer would hold up all callers of its connection, since each write waits
// for the one before. Not measured.
const writeBound = 2 * time.Second

// peerConn is a connection to a peer. It counts bytes and notes for how long the peer
// has not answered. It is safe for concurrent use.
type peerConn struct {
	net.Conn
	now func() time.Duration

	mu sync.Mutex
	// awaiting is true if a call was sent since bytes last came; awaitingSince is when
	// the first of these calls was sent. Both are used with mu locked.
	awaiting      bool
	awaitingSince time.Duration
}

func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesIn.Add(n)
	if n > 0 {
		c.mu.Lock()
		c.awaiting = false
		c.mu.Unlock()
	}
	return n, err
}

func (c *peerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeBound)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	bytesOut.Add(n)
	return n, err
}

// callSent notes that a call is sent, which the peer answers.
func (c *peerConn) callSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting {
		c.awaiting, c.awaitingSince = true, c.now()
	}
}

// silentFor returns for how long nothing has come since the first unanswered
// call; 0 if no call is unanswered.
func (c *peerConn) silentFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting {
		return 0
	}
	return c.now() - c.awaitingSince
}

package peers

import (
	"net"
	"sync/atomic"
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

	// awaitingSince is when the first call was sent since bytes last came, in nanoseconds
	// of now; 0 if none was.
	awaitingSince atomic.Int64
}

func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesIn.Add(n)
	if n > 0 {
		c.awaitingSince.Store(0)
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
	c.awaitingSince.CompareAndSwap(0, max(int64(c.now()), 1)) // 0 is none
}

// silentFor returns for how long nothing has come since the first unanswered
// call; 0 if no call is unanswered.
func (c *peerConn) silentFor() time.Duration {
	since := c.awaitingSince.Load()
	if since == 0 {
		return 0
	}
	return c.now() - time.Duration(since)
}

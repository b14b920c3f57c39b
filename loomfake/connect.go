package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener delays the first read of each connection. It closes a new connection at
// once while maxConns connections are open.
type limitedListener struct {
	net.Listener
	// setupDelay stands for the cost of setting up a connection.
	setupDelay time.Duration
	maxConns   int64
	openConns  atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) > l.maxConns {
			l.openConns.Add(-1)
			_ = c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l}, nil
	}
}

// limitedConn is a connection that counts towards its listener's limit.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	delayOnce sync.Once
	closeOnce sync.Once
}

func (c *limitedConn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.setupDelay) })
	return c.Conn.Read(b)
}

func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}

package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// costlyListener makes a new connection cost time, and refuses those over a
// limit by closing them.
type costlyListener struct {
	net.Listener
	cost  time.Duration
	limit int64
	open  atomic.Int64
}

func (l *costlyListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			_ = c.Close()
			continue
		}
		return &costlyConn{Conn: c, listener: l}, nil
	}
}

type costlyConn struct {
	net.Conn
	listener *costlyListener
	first    sync.Once
	last     sync.Once
}

func (c *costlyConn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(b)
}

func (c *costlyConn) Close() error {
	c.last.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

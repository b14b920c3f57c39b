package guard

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

const (
	// acceptCost is the processor time that a new connection costs, and acceptShare the part of the
	// processor that the new connections of a door may take.
	acceptCost  = 40 * time.Microsecond
	acceptShare = 0.6
	// serveCost and serveShare are the same for the first request of a connection.
	serveCost  = 300 * time.Microsecond
	serveShare = 0.4
	// openCost is the cost of a connection whose door does not read its requests.
	openCost = 100 * time.Microsecond
	// freshConnections is the number of waiting connections, the newest, that may be served.
	freshConnections = 32
	// sortedConnections is the number of waiting connections, the newest, that are looked at with each
	// new one: a request comes a little later than its connection.
	sortedConnections = 4
	// waitForRequest is how long to wait for the first bytes of a waiting connection.
	waitForRequest = time.Millisecond
	// noAcceptLimit lets new connections wait for as long as it takes.
	noAcceptLimit = time.Duration(1<<63 - 1)
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 20 * time.Millisecond
	// placeRetryDelay is the pause before the next look for a place.
	placeRetryDelay = 5 * time.Millisecond
	// unreadBytes is what the kernel may hold of a connection before it is read.
	unreadBytes = 16 << 10
)

// listener accepts the connections of a door. If more come than the processor has time for, the
// newest is served first: the clients of those that have waited for long have often gone, and a
// crowd that comes again and again does not keep others waiting behind it.
type listener struct {
	net.Listener
	door *Door
	// waiting are the connections that were accepted and are not served yet, the newest last, and
	// whole those that have sent a whole head; used by Accept only, which has one caller.
	waiting, whole []*Conn
	// pending was accepted and waits for a place; nil if there is none. Used by Accept only.
	pending net.Conn
	// peeked is a buffer for peek.
	peeked [ordinaryHeadBytes]byte
}

// Listen listens at an address. The connections belong to the door.
func (d *Door) Listen(at netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig
	if !d.Opaque {
		// The limits of the door end connections whose clients are gone.
		c = net.ListenConfig{KeepAlive: -1, Control: setSocketOptions}
	}
	l, err := c.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, err
	}
	return d.Wrap(l), nil
}

// Wrap returns a listener whose connections belong to the door.
func (d *Door) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, door: d} }

// setSocketOptions limits what the kernel takes from clients before it is read. Connections that send
// nothing must be accepted nevertheless: the kernel would not tell their clients when the server stops.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without this option, that of the system applies.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBytes)
	})
}

// Accept returns a new connection. If there is no processor time for all, it returns the newest one
// that has sent something, once there is processor time for it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if len(l.waiting)+len(l.whole) == 0 {
			if err := l.collect(placeRetryDelay); err != nil {
				return nil, l.stop(err)
			}
			if len(l.waiting)+len(l.whole) == 0 {
				continue
			}
		}
		wait, _ := l.door.serves.reserve(l.door.serveCost(), time.Now(), noAcceptLimit)
		crowded := wait > 0 || len(l.waiting)+len(l.whole) > 1
		if err := l.collectFor(wait); err != nil {
			return nil, l.stop(err)
		}
		for len(l.waiting)+len(l.whole) > 0 {
			if c := l.next(crowded); c != nil {
				return c, nil
			}
			if err := l.collectFor(waitForRequest); err != nil {
				return nil, l.stop(err)
			}
		}
	}
}

// stop closes the connections that wait, whose requests were not read, and returns the error that
// ended the listener.
func (l *listener) stop(err error) error {
	for _, c := range append(l.waiting, l.whole...) {
		_ = c.Close()
	}
	if l.pending != nil {
		_ = l.pending.Close()
	}
	l.waiting, l.whole, l.pending = nil, nil, nil
	return err
}

// serveCost returns the processor time that the begin of a connection costs.
func (d *Door) serveCost() time.Duration {
	if d.Opaque {
		return openCost
	}
	return serveCost
}

// next removes and returns a waiting connection; nil if there is none to be served yet. In a crowd it
// is the newest that has sent a whole head, or else the newest that has sent something.
func (l *listener) next(crowded bool) *Conn {
	l.whole = slices.DeleteFunc(l.whole, func(c *Conn) bool { return c.hasGivenWay() })
	l.waiting = slices.DeleteFunc(l.waiting, func(c *Conn) bool { return c.hasGivenWay() })
	if last := len(l.whole) - 1; last >= 0 {
		return take(&l.whole, last)
	}
	part := -1
	for i, c := range slices.Backward(l.waiting) {
		if i < len(l.waiting)-freshConnections {
			break
		}
		if !crowded {
			return take(&l.waiting, i)
		}
		switch c.peek(l.peeked[:]) {
		case receivedHead:
			return take(&l.waiting, i)
		case receivedPart:
			part = max(part, i)
		case receivedNothing:
		}
	}
	if part < 0 {
		return nil
	}
	return take(&l.waiting, part)
}

// take removes and returns a connection, which is served then.
func take(all *[]*Conn, at int) *Conn {
	c := (*all)[at]
	*all = slices.Delete(*all, at, at+1)
	c.setPhase(phaseIdle)
	return c
}

// collectFor accepts the connections that come in some time.
func (l *listener) collectFor(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		time.Sleep(d)
		return nil
	}
	until := time.Now().Add(d)
	if err := limited.SetDeadline(until); err != nil {
		return err
	}
	for left := d; left > 0; left = time.Until(until) {
		err := l.collect(left)
		l.sortNewest()
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			break
		}
		if err != nil {
			return err
		}
	}
	return limited.SetDeadline(time.Time{})
}

// sortNewest moves the newest connections to those that have sent a whole head, if they have.
func (l *listener) sortNewest() {
	if l.door.Opaque {
		return
	}
	oldest := max(len(l.waiting)-sortedConnections, 0)
	for i := len(l.waiting) - 1; i >= oldest; i-- {
		if l.waiting[i].peek(l.peeked[:]) != receivedHead {
			continue
		}
		c := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.whole = append(l.whole, c)
		c.markWhole()
	}
}

// collect accepts the next connection. If it would take the place of one that keeps it for some time
// yet, it stays pending, and collect waits for a moment, at most maxWait. It returns an error if the
// listener is closed or its deadline passes.
func (l *listener) collect(maxWait time.Duration) error {
	if l.pending == nil {
		if err := l.accept(); err != nil || l.pending == nil {
			return err
		}
	}
	if l.door.guard.hasPlaceSoon(l.door, time.Now()) {
		time.Sleep(min(maxWait, placeRetryDelay))
		return nil
	}
	if c := l.door.admit(l.pending); c != nil {
		l.waiting = append(l.waiting, c)
	}
	l.pending = nil
	return nil
}

// accept accepts the next connection, which is pending then. If that fails for the moment, none is.
func (l *listener) accept() error {
	if wait, _ := l.door.accepts.reserve(acceptCost, time.Now(), noAcceptLimit); wait > 0 {
		time.Sleep(wait)
	}
	raw, err := l.Listener.Accept()
	var late net.Error
	switch {
	case err == nil:
		l.pending = raw
		return nil
	case errors.Is(err, net.ErrClosed), errors.As(err, &late) && late.Timeout():
		return err
	}
	// The process may have run out of descriptors, for a moment.
	l.door.guard.Log.Warn().Err(err).Str("Door", l.door.Name).Msg("failed to accept connection")
	time.Sleep(acceptRetryDelay)
	return nil
}

// admit returns the connection of a client, or nil if there is no room for it.
func (d *Door) admit(raw net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: raw, door: d, phase: phaseWait, since: now, ended: make(chan struct{})}
	if d.guard.add(c, now) {
		return c
	}
	d.count(outcomeClosed, reasonNoRoom, 1)
	d.guard.Log.Info().Str("Door", d.Name).Stringer("Client", raw.RemoteAddr()).Msg("new connection closed, no room beside others")
	_ = raw.Close()
	return nil
}

// received is what a client has sent that is not read yet.
type received int

const (
	receivedNothing received = iota
	// receivedPart is less than a head, or the end of the connection.
	receivedPart
	receivedHead
)

// peek tells what the client has sent. It reads nothing, and uses a buffer.
func (c *Conn) peek(buf []byte) received {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.door.Opaque {
		return receivedHead
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return receivedPart
	}
	n, failed := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, _, failed = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err == nil && errors.Is(failed, syscall.EAGAIN) {
		return receivedNothing
	}
	var h headReader
	if _, whole := h.read(buf[:max(n, 0)]); whole || n == len(buf) {
		return receivedHead
	}
	return receivedPart
}

package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/prog"
)

// linkCommand runs a TCP proxy that can drop or delay bytes and reset connections.
type linkCommand struct {
	listen, to, admin netip.AddrPort
	maxLifetime       time.Duration
}

func newLinkCommand() prog.Command {
	c := &linkCommand{}
	return prog.Command{
		Name: "link", Synopsis: "run a TCP proxy that injects network faults",
		Usage: "loomfake link -Listen IP:PORT -To IP:PORT -Admin IP:PORT\n" +
			"POST /Fake {\"Cut\":true} to the admin address makes the proxy drop all bytes silently.\n",
		Flags: c.flags, Run: withExitStatus(c.run),
	}
}

func (c *linkCommand) flags(f *flag.FlagSet) {
	f.TextVar(&c.listen, "Listen", netip.MustParseAddrPort("127.0.0.1:7600"), "`IP:port` to accept connections on")
	f.TextVar(&c.to, "To", netip.MustParseAddrPort("127.0.0.1:7401"), "`IP:port` to forward connections to")
	f.TextVar(&c.admin, "Admin", netip.MustParseAddrPort("127.0.0.1:7601"), "`IP:port` at which faults are set")
	f.DurationVar(&c.maxLifetime, "Life", time.Hour, "maximum lifetime of the process")
}

func (c *linkCommand) run(context.Context) error {
	l, err := listenLoopback(c.listen)
	if err != nil {
		return err
	}
	admin, err := listenLoopback(c.admin)
	if err != nil {
		return err
	}
	k := startLink(l, c.to)
	m := http.NewServeMux()
	m.HandleFunc("POST /Fake", setterHandler(k.setFaults))
	return serveUntilStopped(admin, m, c.maxLifetime)
}

// linkFaults are the faults of a link, which POST /Fake sets.
type linkFaults struct {
	// Cut drops all bytes in both directions.
	Cut bool
	// CutBack drops the bytes sent back to the client.
	CutBack bool
	// Reset resets all connections, open and new ones.
	Reset bool
	// Delay is added to each forwarded chunk of bytes.
	Delay config.Duration `json:",omitzero"`
}

// linkBufferBytes is the most that a link reads at once.
const linkBufferBytes = 32 << 10

// link forwards connections to an address and injects faults into them.
type link struct {
	to string
	// mu guards the fields below.
	mu     sync.Mutex
	faults linkFaults
	conns  map[net.Conn]bool
}

// startLink forwards the connections that a listener accepts to an address.
func startLink(l net.Listener, to netip.AddrPort) *link {
	k := &link{to: to.String(), conns: map[net.Conn]bool{}}
	go k.accept(l)
	return k
}

func (k *link) currentFaults() linkFaults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(client net.Conn) {
	k.track(client)
	f := k.currentFaults()
	if f.Reset {
		resetConn(client)
		return
	}
	if f.Cut {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	target, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = client.Close()
		return
	}
	k.track(target)
	go k.forward(client, target, false)
	k.forward(target, client, true)
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (k *link) track(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
}

// forward copies bytes until either side closes. It drops bytes while the link is cut,
// so that the peers see silence rather than an error. reverse marks the direction back
// to the client.
func (k *link) forward(from, to net.Conn, reverse bool) {
	defer k.untrack(from)
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		f := k.currentFaults()
		if n > 0 && f.Delay > 0 {
			time.Sleep(time.Duration(f.Delay))
		}
		if n > 0 && !f.Cut && (!reverse || !f.CutBack) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

func (k *link) untrack(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
}

// setFaults replaces the faults. When a cut ends it resets the connections, since bytes
// are missing from their streams.
func (k *link) setFaults(f linkFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	healed := k.faults.Cut && !f.Cut || k.faults.CutBack && !f.CutBack
	if healed || f.Reset {
		for c := range k.conns {
			resetConn(c)
		}
		k.conns = map[net.Conn]bool{}
	}
	k.faults = f
}

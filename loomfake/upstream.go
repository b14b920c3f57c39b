package main

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/prog"
)

// upstreamCommand runs stand-ins for upstreams on consecutive ports.
type upstreamCommand struct {
	listen      netip.AddrPort
	count       int
	config      upstreamConfig
	maxLifetime time.Duration
}

// Settings that all upstreams share.
const (
	// backlog is the number of calls that may wait for a slot, in addition to one call per
	// slot. An upstream sheds further calls.
	backlog = 4
	// defaultServiceTime is the median service time until POST /Fake sets another.
	defaultServiceTime = 2 * time.Millisecond
	// connSetupDelay is the delay of a new connection, similar to that of large upstreams.
	connSetupDelay = time.Millisecond
)

func newUpstreamCommand() prog.Command {
	c := &upstreamCommand{}
	return prog.Command{
		Name: "upstream", Synopsis: "run stand-in upstreams",
		Usage: "loomfake upstream -Listen IP:PORT [-Count N]\n" +
			"Upstream i, counted from 0, listens on PORT+i. POST /Fake sets faults, GET /Runs returns how often each order ran.\n",
		Flags: c.flags, Run: withExitStatus(c.run),
	}
}

func (c *upstreamCommand) flags(f *flag.FlagSet) {
	f.TextVar(&c.listen, "Listen", netip.MustParseAddrPort("127.0.0.1:7500"), "`IP:port` of the first upstream")
	f.IntVar(&c.count, "Count", 1, "number of upstreams")
	f.IntVar(&c.config.slots, "Slots", 2, "maximum number of calls that an upstream runs at once")
	f.IntVar(&c.config.connections, "Connections", 25, "maximum number of open connections of an upstream")
	f.UintVar(&c.config.keySpace, "KeySpace", 1024, "number of keys of the data")
	f.DurationVar(&c.maxLifetime, "Life", time.Hour, "maximum lifetime of the process")
}

func (c *upstreamCommand) run(context.Context) error {
	for i := range c.count {
		addr := netip.AddrPortFrom(c.listen.Addr(), c.listen.Port()+uint16(i))
		l, err := listenLoopback(addr)
		if err != nil {
			return err
		}
		cfg := c.config
		cfg.seed = uint64(1 + i)
		u := newUpstream(cfg, upstreamFaults{Service: config.Duration(defaultServiceTime), Oldest: 1, Newest: 1, MapRevision: 1})
		s := newServer(u.handler())
		go func() {
			_ = s.Serve(&limitedListener{Listener: l, setupDelay: connSetupDelay, maxConns: int64(cfg.connections)})
		}()
	}
	waitForStop(c.maxLifetime)
	return nil
}

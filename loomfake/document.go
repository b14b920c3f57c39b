package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"time"

	"loomgap/tier/config"
	"loomgap/tier/prog"
)

// documentOptions describes a tier of one data hall on loopback addresses. The command
// prints a document for it.
type documentOptions struct {
	hosts, shards int
	// peerPort is the peer port of the first host; that of each next host is
	// portsPerHost higher.
	peerPort int
	// upstreamPort is the port of the first upstream; that of each next one is 1 higher.
	upstreamPort int
	// slots is the number of slots of each upstream.
	slots int
	// keySpace is the number of keys.
	keySpace uint
	// deadline applies to classes Counter and Order, wideDeadline to classes Search
	// and Tally, and patience to class Search.
	deadline, wideDeadline, patience time.Duration
}

// Sizes of the document.
const (
	// replicas is the number of replicas of each shard.
	replicas = 2
	// upstreamConnections is the connection limit of each upstream, similar to that of large
	// upstreams.
	upstreamConnections = 100
	// portsPerHost leaves room for the other ports of a host between two peer ports.
	portsPerHost = 10
)

func newDocumentCommand() prog.Command {
	o := &documentOptions{}
	return prog.Command{
		Name: "document", Synopsis: "print an example configuration document",
		Usage: "loomfake document [-Hosts N] [-Shards N]\n" +
			"All shards belong to service Orders; the document has one upstream for each shard.\n",
		Flags: o.flags, Run: withExitStatus(o.print),
	}
}

func (o *documentOptions) flags(f *flag.FlagSet) {
	f.IntVar(&o.hosts, "Hosts", 2, "number of entry hosts, named H1, H2 and so on")
	f.IntVar(&o.peerPort, "PeerPort", 7401, "peer port of the first host; that of each further host is 10 higher")
	f.IntVar(&o.shards, "Shards", 24, "number of shards of service Orders")
	f.IntVar(&o.upstreamPort, "UpstreamPort", 7500, "port of the first upstream; that of each further upstream is 1 higher")
	f.IntVar(&o.slots, "Slots", 4, "number of slots of each upstream")
	f.UintVar(&o.keySpace, "KeySpace", 1024, "keys")
	f.DurationVar(&o.deadline, "Deadline", 300*time.Millisecond, "deadline of classes Counter and Order")
	f.DurationVar(&o.wideDeadline, "WideDeadline", 390*time.Millisecond, "deadline of classes Search and Tally")
	f.DurationVar(&o.patience, "Patience", 100*time.Millisecond, "setting Patience of class Search")
}

func (o *documentOptions) print(context.Context) error {
	text, err := config.Encode(o.document())
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}

const defaultHall = "Quito1"

func loopbackAddr(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

func (o *documentOptions) document() *config.Document {
	d := &config.Document{Classes: o.classes()}
	for i := range o.hosts {
		d.Hosts = append(d.Hosts, config.Host{Name: fmt.Sprintf("H%d", i+1), Hall: defaultHall, Peer: loopbackAddr(o.peerPort + portsPerHost*i)})
	}
	o.addOrders(d)
	return d
}

// classes returns a class for narrow counter requests, one for searches that prefer
// latency to coverage, one for tallies that prefer coverage to latency, and one for
// orders.
func (o *documentOptions) classes() []config.Class {
	counter := config.DefaultClass()
	counter.Name, counter.Worth, counter.Deadline = "Counter", 5, config.Duration(o.deadline)
	search := config.DefaultClass()
	search.Name, search.Worth, search.Deadline = "Search", 3, config.Duration(o.wideDeadline)
	search.Coverage, search.Patience = 0.98, config.Duration(o.patience)
	tally := config.DefaultClass()
	tally.Name, tally.Worth, tally.Deadline = "Tally", 1, config.Duration(o.wideDeadline)
	order := config.DefaultClass()
	order.Name, order.Worth, order.Deadline, order.Hedge = "Order", 10, config.Duration(o.deadline), config.HedgeNone
	return []config.Class{counter, search, tally, order}
}

// addOrders declares service Orders, which has all the shards. Replica r of shard i is
// on the upstream of shard i+r, so that other upstreams share the load of a lost one.
func (o *documentOptions) addOrders(d *config.Document) {
	v := config.Service{Name: "Orders", KeySpace: uint32(o.keySpace), MapRevision: 1}
	for i := range o.shards {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name: fmt.Sprintf("U%d", i+1), Hall: defaultHall, Address: loopbackAddr(o.upstreamPort + i), Slots: o.slots, Connections: upstreamConnections,
		})
		h := config.Shard{
			Name: fmt.Sprintf("S%d", i+1),
			From: uint32(i * int(o.keySpace) / o.shards), To: uint32((i + 1) * int(o.keySpace) / o.shards),
		}
		for r := range min(replicas, o.shards) {
			h.Replicas = append(h.Replicas, fmt.Sprintf("U%d", (i+r)%o.shards+1))
		}
		v.Shards = append(v.Shards, h)
	}
	d.Services = append(d.Services, v)
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"loomgap/platform"
)

// Names and limits of the soak's routes and upstreams.
const (
	soakHostName = "soak.example"
	// soakTopRecords is the number of records in the answer of a gather.
	soakTopRecords = 8
	// soakMinCoverage is the minimum fraction of the shards that the answer of a gather
	// must include, 0 to 1.
	soakMinCoverage = 0.6
	// soakRetryRatio is the number of retries allowed per request, the setting RetryRatio
	// of the daemons.
	soakRetryRatio = 0.2
	// soakRetrySlack is the number of additional retries that all hosts together may make
	// within soakRetryWindow, the setting RetrySlack of the daemons.
	soakRetrySlack = 40
	// soakSingleUpstreams is the number of upstreams of the service without shards.
	soakSingleUpstreams = 3
	soakRecordsPerShard = 6
	// soakRecordBytes is the size of a record in the platform's protocol.
	soakRecordBytes = 16
)

// halls are the data halls of the soak.
var halls = []string{"hall-a", "hall-b"}

// setUp starts the store, the upstreams and the hosts.
func (s *soak) setUp() error {
	storeAddress, err := s.serveLoopback(s.store)
	if err != nil {
		return err
	}
	set, err := s.addShardSet(0)
	if err != nil {
		return err
	}
	s.shardSets = append(s.shardSets, set)
	for i := range soakSingleUpstreams {
		if err := s.addUpstream("single", halls[i%2], fmt.Sprint("the body of single ", i)); err != nil {
			return err
		}
	}
	if err := s.publish(); err != nil {
		return err
	}
	for i := range 2 * s.Hosts {
		if err := s.addHost(i, storeAddress); err != nil {
			return err
		}
	}
	return nil
}

// serveLoopback serves a handler on a free loopback port and returns its address.
func (s *soak) serveLoopback(h http.Handler) (netip.AddrPort, error) {
	l, err := listenLoopback(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := newServer(h)
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// addLink starts a link, which forwards connections to an address and injects faults, and
// returns it with the address that it listens on.
func (s *soak) addLink(to netip.AddrPort) (*link, netip.AddrPort, error) {
	l, err := listenLoopback(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	k := startLink(l, to)
	s.closers = append(s.closers, func() { _ = l.Close(); k.setFaults(linkFaults{Reset: true}) })
	return k, netip.MustParseAddrPort(l.Addr().String()), nil
}

// addShardSet starts set n of shards, with a replica of each shard in each hall, and
// returns the names of their groups.
func (s *soak) addShardSet(n int) ([]string, error) {
	var set []string
	for i := range s.Shards {
		group := fmt.Sprintf("set%d-shard%d", n, i)
		set = append(set, group)
		for _, h := range halls {
			if err := s.addUpstream(group, h, shardRecords(group)); err != nil {
				return nil, err
			}
		}
	}
	return set, nil
}

// shardRecords returns the records of a shard, the same for all its replicas.
func shardRecords(group string) string {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(group), 0))
	var b strings.Builder
	for range soakRecordsPerShard {
		fmt.Fprintf(&b, "%016x", r.Uint64())
	}
	return b.String()
}

// publish writes a configuration with the newest set of shards. Each version adds a
// route; whether a host serves it shows whether the host has applied the version.
func (s *soak) publish() error {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	s.routeCount++
	version, set := s.routeCount, s.shardSets[len(s.shardSets)-1]
	var groups []string
	for _, u := range s.upstreams {
		groups = append(groups, u.group)
	}
	s.mu.Unlock()
	doc := platform.Document{Version: uint64(version), Limits: platform.Limits{BodyBytes: 1 << 16}, Routes: soakRoutes(set, version)}
	slices.Sort(groups)
	for _, g := range slices.Compact(groups) {
		doc.Groups = append(doc.Groups, platform.Group{Name: g, Connections: 40})
	}
	if err := s.store.Put(platform.DocumentKey, doc); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = doc
	s.versions = append(s.versions, publishedVersion{publishedAt: s.now(), routeCount: version})
	return nil
}

// soakRoutes returns a gather over a set of shards, a safe and an unsafe route to the
// single upstreams, and a route for each version.
func soakRoutes(set []string, versions int) []platform.Route {
	base := platform.Route{HostName: soakHostName, TimeLimitMillis: 2000, ObjectiveMillis: 200, MaxAttempts: 2}
	gather, safe, unsafe := base, base, base
	gather.Name, gather.Prefix, gather.Kind, gather.Gather, gather.Top, gather.Coverage = "gather", "/gather/", platform.KindRepeatable, set, soakTopRecords, soakMinCoverage
	safe.Name, safe.Prefix, safe.Kind, safe.Group = "safe", "/safe/", platform.KindRepeatable, "single"
	unsafe.Name, unsafe.Prefix, unsafe.Kind, unsafe.Group = "unsafe", "/unsafe/", "unsafe", "single"
	routes := []platform.Route{gather, safe, unsafe}
	for i := range versions {
		r := safe
		r.Name, r.Prefix = fmt.Sprint("v", i+1), fmt.Sprintf("/v%d/", i+1)
		routes = append(routes, r)
	}
	return routes
}

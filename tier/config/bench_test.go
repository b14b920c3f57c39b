package config

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// large makes a document with as many shards as upstreams.
func large(b *testing.B, hosts, upstreams int) []byte {
	b.Helper()
	d := &Document{Classes: []Class{DefaultClass()}}
	d.Classes[0].Name = "Search"
	address := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7500)
	}
	for i := range hosts {
		d.Hosts = append(d.Hosts, Host{Name: fmt.Sprintf("H%d", i), Hall: fmt.Sprintf("Hall%d", i%6), Peer: address(1<<20*1 + i)})
	}
	s := Service{Name: "Orders", KeySpace: uint32(upstreams), MapRevision: 1}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, Upstream{Name: fmt.Sprintf("U%d", i), Hall: fmt.Sprintf("Hall%d", i%6), Address: address(i), Slots: 4, Connections: 100})
		s.Shards = append(s.Shards, Shard{Name: fmt.Sprintf("S%d", i), From: uint32(i), To: uint32(i + 1), Replicas: []string{fmt.Sprintf("U%d", i), fmt.Sprintf("U%d", (i+1)%upstreams)}})
	}
	d.Services = []Service{s}
	text, err := Encode(d)
	assert.NilError(b, err)
	return text
}

// BenchmarkAccept is what one change of configuration costs a host.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{340, 1700, 3400} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			text := large(b, n/5, n)
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "document-bytes")
			for b.Loop() {
				_, err := Accept(text, Edition{Position: Position{Revision: 1}})
				assert.NilError(b, err)
			}
		})
	}
}

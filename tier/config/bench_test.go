package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// largeDocument returns a document with as many shards as upstreams.
func largeDocument(b *testing.B, hosts, upstreams int) []byte {
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

// BenchmarkAccept measures what a host does for one change of the document.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{340, 1700, 3400} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			text := largeDocument(b, n/5, n)
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "document-bytes")
			for b.Loop() {
				_, err := Accept(text, Edition{Position: Position{Revision: 1}})
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkWholeDirectory reports the compressed size of a complete directory as one host
// sends it to another: without eras, with eras and report numbers, and while the era is
// not settled.
func BenchmarkWholeDirectory(b *testing.B) {
	for _, form := range []string{"no era", "era and count", "copied"} {
		b.Run(form, func(b *testing.B) {
			c := DirectoryChange{Revision: 9000, Whole: true}
			for i := range 3400 {
				l := Listing{
					Name: fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f), Group: fmt.Sprint("group-", i/3), Hall: "quito-hall",
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8045), Slots: 2, Revision: uint64(1000 + i),
				}
				if form != "no era" {
					l.Era, l.Sequence = 2, uint64(1+i%7)
				}
				l.Copied = form == "copied"
				c.Listed = append(c.Listed, l)
			}
			var packed bytes.Buffer
			for b.Loop() {
				packed.Reset()
				z := gzip.NewWriter(&packed)
				assert.NilError(b, json.NewEncoder(z).Encode(c))
				assert.NilError(b, z.Close())
			}
			b.ReportMetric(float64(packed.Len()), "bytes")
		})
	}
}

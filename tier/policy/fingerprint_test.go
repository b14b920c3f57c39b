package policy

import (
	"bytes"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFingerprint changes one thing of a request at a time.
func TestFingerprint(t *testing.T) {
	sample := func() *Identity {
		return &Identity{
			Caller: netip.MustParseAddr("192.0.2.1"), Method: "GET", HostName: "shop.example",
			Target: "/find/x?page=1", Body: bytes.Repeat([]byte("a"), fingerprintBody),
		}
	}
	base := sample().Fingerprint()
	tests := []struct {
		name   string
		change func(i *Identity)
		same   bool
	}{
		{"a repeat", func(*Identity) {}, true},
		{"another caller", func(i *Identity) { i.Caller = netip.MustParseAddr("192.0.2.2") }, false},
		{"another method", func(i *Identity) { i.Method = "POST" }, false},
		{"another host name", func(i *Identity) { i.HostName = "lab.example" }, false},
		{"another query", func(i *Identity) { i.Target = "/find/x?page=2" }, false},
		{"fields that join alike", func(i *Identity) { i.HostName, i.Target = "shop.example/find", "/x?page=1" }, false},
		{"another body", func(i *Identity) { i.Body[7] = 'b' }, false},
		{"a longer body", func(i *Identity) { i.Body = append(i.Body, 'a') }, false},
		{"a body that differs beyond what counts", func(i *Identity) { i.Body = i.Body[:len(i.Body):len(i.Body)] }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := sample()
			tt.change(i)
			assert.Equal(t, i.Fingerprint() == base, tt.same)
		})
	}
}

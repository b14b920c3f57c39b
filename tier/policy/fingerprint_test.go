package policy

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFingerprint changes one part of a request at a time.
func TestFingerprint(t *testing.T) {
	sample := func() *RequestContent {
		return &RequestContent{
			Method: "GET", HostName: "shop.example",
			Target: "/find/x?page=1", Body: bytes.Repeat([]byte("a"), maxFingerprintBody),
		}
	}
	base := sample().Fingerprint()
	tests := []struct {
		name   string
		change func(c *RequestContent)
		same   bool
	}{
		{"a repeat", func(*RequestContent) {}, true},
		{"another method", func(c *RequestContent) { c.Method = "POST" }, false},
		{"another host name", func(c *RequestContent) { c.HostName = "lab.example" }, false},
		{"another query", func(c *RequestContent) { c.Target = "/find/x?page=2" }, false},
		{"fields that join alike", func(c *RequestContent) { c.HostName, c.Target = "shop.example/find", "/x?page=1" }, false},
		{"another body", func(c *RequestContent) { c.Body[7] = 'b' }, false},
		{"a longer body", func(c *RequestContent) { c.Body = append(c.Body, 'a') }, false},
		{"a body that differs beyond what counts", func(c *RequestContent) { c.Body = c.Body[:len(c.Body):len(c.Body)] }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := sample()
			tt.change(i)
			assert.Equal(t, i.Fingerprint() == base, tt.same)
		})
	}
}

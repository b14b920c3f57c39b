package peers

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// TestReplyHoldsTheLargestDocument guards against a document that loomgap's own platform protocol
// never delivers, because its text becomes longer in the reply: JSON may write any character as an
// escape of six bytes.
func TestReplyHoldsTheLargestDocument(t *testing.T) {
	const empty = `{"Based":0,"Classes":[],"Hosts":[],"Upstreams":[],"Services":[]}`
	var escaped strings.Builder
	escaped.WriteString(`{"Revision":1,"Text":"`)
	for range config.MaxBytes - len(empty) {
		escaped.WriteString(`\u0020`)
	}
	escaped.WriteString(strings.ReplaceAll(empty, `"`, `\"`) + `"}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(escaped.String()))
	}))
	defer server.Close()
	k := newTestKernel(t, "Self")
	k.Settings.Platform = netip.MustParseAddrPort(server.Listener.Addr().String())
	w := &watcher{kernel: k, client: server.Client()}
	assert.NilError(t, w.readDocument(t.Context()))
	k.DoAndWait(func(s *kernel.State) {
		assert.Equal(t, s.Refused, "")
		assert.Equal(t, len(s.Index.Text), config.MaxBytes)
	})
}

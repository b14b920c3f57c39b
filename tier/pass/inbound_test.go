package pass

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/policy"
)

// TestParseContent parses heads written by buildHead, as a relay does.
func TestParseContent(t *testing.T) {
	for _, target := range []string{"/find/x?page=1&sort=new", "/find/a%20b", "/"} {
		r := httptest.NewRequest("POST", target, strings.NewReader("body"))
		r.Host = "shop.example"
		got := parseContent(buildHead(r, &names, 4), []byte("body"))
		assert.DeepEqual(t, got, policy.RequestContent{Method: "POST", HostName: "shop.example", Target: target, Body: []byte("body")})
	}
}

package pass

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

// connectionHeaders pertain to one connection and are not passed on (RFC 9110, 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strip removes the headers that pertain to one connection.
func strip(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// contentOf returns what a request asks for, read from the head that headOf wrote.
func contentOf(head, body []byte) policy.Content {
	line, rest, _ := strings.Cut(string(head), "\r\n")
	method, line, _ := strings.Cut(line, " ")
	host, _, _ := strings.Cut(strings.TrimPrefix(rest, "Host: "), "\r\n")
	return policy.Content{Method: method, Target: strings.TrimSuffix(line, " HTTP/1.1"), HostName: host, Body: body}
}

// headOf writes the request line and the headers that all upstreams get alike.
func headOf(r *http.Request, names *kernel.Headers, body int) []byte {
	h := r.Header.Clone()
	strip(h)
	// A caller cannot take the ID away by naming it in Connection.
	h[http.CanonicalHeaderKey(names.RequestID)] = r.Header[http.CanonicalHeaderKey(names.RequestID)]
	h.Del(names.DeadlineMillis)
	h.Del(names.Upstream)
	h.Del("Expect")
	h.Del("Content-Length")
	if body > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(body))
	}
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = h.Write(&b) // a bytes.Buffer takes all
	return b.Bytes()
}

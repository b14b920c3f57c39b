package pass

import (
	"errors"
	"fmt"
	"net/http"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// Which heads a response may have (RFC 9112, section 4; RFC 9110, section 15):
//
//   - HTTP/1, with a status of three digits from 100 to 599.
//   - An interim response, 100 to 199, has no body and does not switch protocols, which is never
//     asked for. Any number of them may come before the response.
//   - The request ID and the stamp are each given at most once, since nothing tells which is true.
//   - The end of the body is shown (wire.CheckFraming), whatever the status: what was cut must not look
//     whole, and a caller may read an error to its end as well.
//
// After any other head nothing tells where the response ends, so the rest of the connection is
// not read.

const (
	// httpMajor is the major version of HTTP that upstreams are asked in.
	httpMajor = 1
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxStatus is the highest status that has a meaning.
	maxStatus = 599
)

// errInvalidHead means that the head of a response cannot be accepted.
var errInvalidHead = errors.New("not a valid HTTP/1.1 response (correct the upstream)")

// readHead reads the head of a response and skips interim responses before it.
func (n *conn) readHead(c *call) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(n.reader, &http.Request{Method: c.method})
		if err != nil {
			return nil, n.limit.explainHead(err)
		}
		if err := checkHead(r, c.headers); err != nil {
			return nil, err
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
	}
}

// checkHead returns an error if a response cannot be accepted because of its head.
func checkHead(r *http.Response, names *kernel.Headers) error {
	if r.ProtoMajor != httpMajor {
		return fmt.Errorf("protocol %q: %w", config.Shorten(r.Proto), errInvalidHead)
	}
	if !isStatus(r.Status) || r.StatusCode > maxStatus {
		return fmt.Errorf("status %q: %w", config.Shorten(r.Status), errInvalidHead)
	}
	if r.StatusCode < http.StatusOK {
		return checkInterim(r)
	}
	for _, name := range []string{names.RequestID, names.Stamp} {
		if values := r.Header.Values(name); len(values) > 1 {
			return fmt.Errorf("%d headers %s: %w", len(values), name, errInvalidHead)
		}
	}
	if err := wire.CheckFraming(r); err != nil {
		return fmt.Errorf("%w: %w", err, errInvalidHead)
	}
	return nil
}

// checkInterim returns an error if an interim response cannot be skipped.
func checkInterim(r *http.Response) error {
	if r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("status %d without a request for it: %w", r.StatusCode, errInvalidHead)
	}
	length := r.Header.Get("Content-Length")
	if len(r.TransferEncoding) > 0 || length != "" && length != "0" {
		return fmt.Errorf("status %d with a body: %w", r.StatusCode, errInvalidHead)
	}
	return nil
}

// isStatus reports whether a status, with or without its reason, begins with a valid code. The
// parser also accepts a sign and codes below 100.
func isStatus(status string) bool {
	if len(status) < statusDigits || status[0] < '1' {
		return false
	}
	for _, d := range []byte(status[:statusDigits]) {
		if d < '0' || d > '9' {
			return false
		}
	}
	return true
}

package wire

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

var (
	// ErrEndNotShown means that a response would end with its connection, so that one that was cut
	// looks like a whole one.
	ErrEndNotShown = errors.New("end of response not shown (send Content-Length or chunks in HTTP/1.1)")
	// ErrUnreadableHeader means that the name of a header has a space, before the colon too. The
	// parser keeps such a header under a name that nobody looks up, and it could be the framing.
	ErrUnreadableHeader = errors.New("space in the name of a header (correct the sender)")
)

// CheckFraming returns an error unless the head of a response shows where its body ends (RFC 9112,
// section 6.3): by its length, by its last chunk, or because it has none. HTTP/1.0 has no chunks.
func CheckFraming(r *http.Response) error {
	for name := range r.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("header %.40q: %w", name, ErrUnreadableHeader)
		}
	}
	if r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return ErrEndNotShown
	}
	return nil
}

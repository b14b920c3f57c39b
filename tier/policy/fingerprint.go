package policy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

const (
	// fingerprintBytes is the length of a fingerprint before it is written in
	// hexadecimal: of 1,000 suspected requests two share one once in 3.7e13 times.
	fingerprintBytes = 8
	// fingerprintBody is how much of a body counts, besides its length, so that a
	// body of a megabyte costs no more than one of 64 KiB (about 0.05 ms).
	maxFingerprintBody = 64 << 10
)

// Fingerprint is the same for a request and all its repeats, at whichever host, and
// differs from those of other requests. It is empty where it is not known. The caller's
// address is no part of it: a caller may have several.
type Fingerprint string

// RequestContent is what a request and its repeats have in common.
type RequestContent struct {
	// Method, HostName and Target are of the request line; Target has the query.
	Method, HostName, Target string
	Body                     []byte
}

// Fingerprint returns the fingerprint of the request.
func (c *RequestContent) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, text := range []string{c.Method, c.HostName, c.Target} {
		writeField(h, len(text), []byte(text))
	}
	writeField(h, len(c.Body), c.Body[:min(len(c.Body), maxFingerprintBody)])
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeField writes a field, or the start of it, behind its whole length, so that no two
// lists of fields give the same bytes.
func writeField(h hash.Hash, length int, field []byte) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(length))) // a hash takes all
	_, _ = h.Write(field)
}

package policy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

const (
	// fingerprintBytes is the length of a fingerprint before hexadecimal encoding. Of
	// 1,000 suspected requests, two share one once in 3.7e13 times.
	fingerprintBytes = 8
	// maxFingerprintBody is how much of a body is hashed, in addition to its length. A
	// body of a megabyte costs no more than one of 64 KiB, about 0.05 ms.
	maxFingerprintBody = 64 << 10
)

// Fingerprint identifies a request. It is the same for all repeats of the request on all
// hosts and differs between requests. It is empty if unknown. It does not cover the
// caller's address, since a caller may have several.
type Fingerprint string

// RequestContent is the part of a request that all its repeats share.
type RequestContent struct {
	// Method, HostName and Target identify the resource; Target includes the query.
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

// writeField hashes a field, or its start, prefixed with its full length, so that different
// lists of fields never produce the same bytes.
func writeField(h hash.Hash, length int, field []byte) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(length))) // hash.Hash never fails
	_, _ = h.Write(field)
}

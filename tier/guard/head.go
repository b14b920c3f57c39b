package guard

import (
	"bytes"
	"time"
)

const (
	// parsedFactor and parsedFieldBytes tell what a head takes once it is parsed: its bytes stand in
	// the server's buffers, in the fields and in the message for upstreams, and each field has an
	// entry of a map, which is copied once.
	parsedFactor     = 3
	parsedFieldBytes = 160
	// ordinaryHeadBytes and ordinaryFields are the size of a head that costs nothing beyond an
	// ordinary request.
	ordinaryHeadBytes = 4 << 10
	ordinaryFields    = 64
	// headByteCost and fieldCost are the processor time that more of a head costs.
	headByteCost = 5 * time.Nanosecond
	fieldCost    = 1200 * time.Nanosecond
)

// lineEnds returns the number of line ends before the first line of a head. A server skips some of
// them behind a request and goes on to read the head, so they are part of the rest before it.
func lineEnds(p []byte) int { return len(p) - len(bytes.TrimLeft(p, "\r\n")) }

// headReader finds the empty line at the end of a request's head, or of a body's trailer, and counts
// what they will take.
type headReader struct {
	// size counts the bytes of the head, requestLine those of its first line.
	size, requestLine int64
	// lines counts the complete lines.
	lines int64
	// lineBytes counts the bytes of the last, incomplete line but for carriage returns.
	lineBytes int64
}

// read reads a part of a head. It returns the number of bytes that belong to the head, and whether
// the head is complete.
func (h *headReader) read(p []byte) (n int, done bool) {
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		line := p[n:]
		if i >= 0 {
			line = p[n : n+i]
		}
		h.lineBytes += int64(len(line))
		if len(line) > 0 && line[len(line)-1] == '\r' {
			h.lineBytes--
		}
		n += len(line)
		if i < 0 {
			break
		}
		n++
		empty := h.lineBytes == 0
		h.lineBytes = 0
		h.lines++
		if h.lines == 1 {
			h.requestLine = h.size + int64(n)
		}
		if empty {
			done = true
			break
		}
	}
	h.size += int64(n)
	return n, done
}

// tooLarge reports whether the fields, or the request line, are over a limit.
func (h *headReader) tooLarge(limit int64) bool {
	if h.lines == 0 {
		return h.size > limit
	}
	return h.requestLine > limit || h.size-h.requestLine > limit
}

// parsedBytes returns the memory that the head takes once it is parsed.
func (h *headReader) parsedBytes() int64 { return h.size*parsedFactor + h.lines*parsedFieldBytes }

// cost returns the processor time that the head costs beyond an ordinary one.
func (h *headReader) cost() time.Duration {
	return time.Duration(max(h.size-ordinaryHeadBytes, 0))*headByteCost + time.Duration(max(h.lines-ordinaryFields, 0))*fieldCost
}

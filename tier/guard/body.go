package guard

import "errors"

// errFraming means that a body, or what the server wants to read of it, does not follow the rules of
// HTTP. The connection ends with it.
var errFraming = errors.New("body is framed in a way that HTTP does not allow: send a valid one")

// bodyPart is a part of a body in chunks.
type bodyPart string

const (
	// partData is the data of a chunk, or of a body with a length.
	partData bodyPart = "Data"
	// partDataEnd is the line end behind the data of a chunk.
	partDataEnd bodyPart = "DataEnd"
	// partSize is the line with the size of a chunk.
	partSize bodyPart = "Size"
	// partTrailer are the fields behind the last chunk, up to an empty line.
	partTrailer bodyPart = "Trailer"
)

const (
	// lineEndBytes is the size of the line end behind the data of a chunk.
	lineEndBytes = 2
	// maxSizeDigits is the most digits that the size of a chunk may have.
	maxSizeDigits = 16
)

// bodyReader finds the end of a request's body, so that the server is not given what follows it.
type bodyReader struct {
	// open is true from the begin of a body until all of it was read.
	open    bool
	chunked bool
	part    bodyPart
	// left is the number of bytes that are left of partData or partDataEnd.
	left uint64
	// size and digits are what was read of the size of a chunk; inExtension is true behind its digits.
	size        uint64
	digits      int
	inExtension bool
	trailer     headReader
}

// newBodyReader returns the reader of a body; a negative length stands for one in chunks.
func newBodyReader(length int64) bodyReader {
	if length < 0 {
		return bodyReader{open: true, chunked: true, part: partSize}
	}
	return bodyReader{open: length > 0, part: partData, left: uint64(length)}
}

// read reads a part of the body, and returns the number of bytes that belong to it.
func (b *bodyReader) read(p []byte) (n int, err error) {
	for n < len(p) && b.open && err == nil {
		switch b.part {
		case partData, partDataEnd:
			n += b.skip(p[n:])
		case partSize:
			err = b.readSize(p[n])
			n++
		case partTrailer:
			m, done := b.trailer.read(p[n:])
			n += m
			b.open = !done
		}
	}
	return n, err
}

// skip passes over the data of a chunk, or the line end behind it, and returns the number of bytes.
func (b *bodyReader) skip(p []byte) int {
	k := min(b.left, uint64(len(p)))
	b.left -= k
	switch {
	case b.left > 0:
	case !b.chunked:
		b.open = false
	case b.part == partData:
		b.part, b.left = partDataEnd, lineEndBytes
	default:
		b.part, b.size, b.digits, b.inExtension = partSize, 0, 0, false
	}
	return int(k)
}

// readSize reads a byte of the line with the size of a chunk.
func (b *bodyReader) readSize(c byte) error {
	digit, isDigit := hexDigit(c)
	switch {
	case c == '\n' && b.digits == 0:
		return errFraming
	case c == '\n' && b.size == 0:
		b.part, b.trailer = partTrailer, headReader{}
	case c == '\n':
		b.part, b.left = partData, b.size
	case b.inExtension:
	case isDigit && b.digits < maxSizeDigits:
		b.size, b.digits = b.size<<4|digit, b.digits+1
	case c == ';', c == ' ', c == '\t', c == '\r':
		b.inExtension = true
	default:
		return errFraming
	}
	return nil
}

func hexDigit(c byte) (value uint64, ok bool) {
	switch {
	case c >= '0' && c <= '9':
		return uint64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return uint64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return uint64(c-'A') + 10, true
	}
	return 0, false
}

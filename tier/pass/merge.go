package pass

import (
	"bytes"
	"slices"
)

// recordBytes is the size of a record. A shorter rest of a part is no record.
const recordBytes = 16

// merger keeps the greatest records of the parts added.
type merger struct {
	top     int
	records [][]byte
}

// add takes the records of a part in; the part must not change afterwards.
func (m *merger) add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		m.records = append(m.records, part[:recordBytes])
	}
	if len(m.records) > 8*m.top+1024 {
		m.cut()
	}
}

// result gives the greatest records, the greatest first.
func (m *merger) result() []byte {
	m.cut()
	return bytes.Join(m.records, nil)
}

func (m *merger) cut() {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(m.records) > m.top {
		clear(m.records[m.top:])
		m.records = m.records[:m.top]
	}
}

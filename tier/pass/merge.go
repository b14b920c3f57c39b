package pass

import (
	"bytes"
	"maps"
	"slices"
)

const (
	// recordBytes is the size of a record. A shorter remainder at the end of a part is
	// ignored.
	recordBytes = 16
	// mergeBufferFactor and mergeBufferExtra bound the buffer of a merger to
	// mergeBufferFactor*top+mergeBufferExtra records; beyond that, it drops all but the
	// greatest.
	mergeBufferFactor = 8
	mergeBufferExtra  = 1024
)

// merger keeps the greatest records, at most top of them, of the parts added.
type merger struct {
	top     int
	records [][]byte
}

// add adds the records of a part, which must not be modified afterwards.
func (m *merger) add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		m.records = append(m.records, part[:recordBytes])
		if len(m.records) > mergeBufferFactor*m.top+mergeBufferExtra {
			m.truncate()
		}
	}
}

func (m *merger) result() []byte {
	m.truncate()
	return bytes.Join(m.records, nil)
}

func (m *merger) truncate() {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	keep := min(len(m.records), m.top)
	clear(m.records[keep:])
	m.records = m.records[:keep]
}

// block holds the merged records of several parts. They cannot be separated, so a response
// includes either all parts of a block or none.
type block struct {
	records []byte
	// stamps are the upstreams' stamps by part index.
	stamps map[int]string
	// omitted identifies the least records, which the relay did not send; nil if it sent
	// all.
	omitted *omittedRef
}

// mayMissRecords reports whether omitted records may belong to a response whose least
// record is given. least is nil if the response has room for more records.
func (b *block) mayMissRecords(least []byte) bool {
	if b.omitted == nil || len(b.records) < recordBytes {
		return b.omitted != nil
	}
	last := b.records[len(b.records)-recordBytes:]
	return least == nil || bytes.Compare(last, least) > 0
}

// gatheredParts collects the parts of a response. It is not safe for concurrent use.
type gatheredParts struct {
	// single holds the parts that are not in a block, by part index.
	single map[int]*response
	blocks []*block
}

func (g *gatheredParts) collect(part int, resp *response) {
	switch {
	case resp.block == nil:
		if g.single == nil {
			g.single = map[int]*response{}
		}
		g.single[part] = resp
	case !slices.Contains(g.blocks, resp.block):
		g.blocks = append(g.blocks, resp.block)
	}
}

// mergeChosen merges the chosen blocks and parts, and returns those too.
func (g *gatheredParts) mergeChosen(top int) (m merger, blocks []*block, single map[int]*response) {
	m = merger{top: top}
	blocks, single = g.chooseDisjoint()
	for _, b := range blocks {
		m.add(b.records)
	}
	for _, resp := range single {
		m.add(resp.body)
	}
	return m, blocks, single
}

// incomplete returns the chosen blocks whose omitted records may belong to the response.
func (g *gatheredParts) incomplete(top int) []*block {
	m, blocks, _ := g.mergeChosen(top)
	m.truncate()
	var least []byte
	if len(m.records) == top {
		least = m.records[top-1]
	}
	return slices.DeleteFunc(blocks, func(b *block) bool { return !b.mayMissRecords(least) })
}

func (g *gatheredParts) remove(b *block) {
	g.blocks = slices.DeleteFunc(g.blocks, func(other *block) bool { return other == b })
}

// chooseDisjoint selects blocks with no part in common, preferring larger ones, and the
// single parts that are in none of them.
func (g *gatheredParts) chooseDisjoint() (blocks []*block, single map[int]*response) {
	slices.SortStableFunc(g.blocks, func(a, b *block) int { return len(b.stamps) - len(a.stamps) })
	chosen := map[int]string{}
	for _, b := range g.blocks {
		if !overlap(b.stamps, chosen) {
			blocks = append(blocks, b)
			maps.Copy(chosen, b.stamps)
		}
	}
	single = maps.Clone(g.single)
	for part := range chosen {
		delete(single, part)
	}
	return blocks, single
}

// overlap reports whether two sets of parts have a part in common.
func overlap(a, b map[int]string) bool {
	for part := range a {
		if _, both := b[part]; both {
			return true
		}
	}
	return false
}

// merge returns the greatest records and the stamps of the parts they come from.
func (g *gatheredParts) merge(top int, stampHeader string) (records []byte, stamps []string) {
	m, blocks, single := g.mergeChosen(top)
	for _, b := range blocks {
		for _, s := range b.stamps {
			stamps = append(stamps, s)
		}
	}
	for _, resp := range single {
		stamps = append(stamps, resp.header.Get(stampHeader))
	}
	return m.result(), stamps
}

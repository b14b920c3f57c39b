package pass

import (
	"bytes"
	"maps"
	"slices"
)

const (
	// recordBytes is the size of a record; a shorter piece at the end of a part is none.
	recordBytes = 16
	// mergeSpareTops is how many times the records of an answer a merger may hold until it
	// drops the least.
	mergeBufferFactor = 8
	// mergeSpareRecords is how many records it may hold besides.
	mergeBufferExtra = 1024
)

// merger keeps the greatest records of the parts added; top is how many.
type merger struct {
	top     int
	records [][]byte
}

// add adds the records of a part, which must not change afterwards.
func (m *merger) add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		m.records = append(m.records, part[:recordBytes])
	}
	if len(m.records) > mergeBufferFactor*m.top+mergeBufferExtra {
		m.truncate()
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

// block is the merged records of several parts. They cannot be told apart, so a block
// is in an answer with all its parts or not at all.
type block struct {
	records []byte
	// stamps are the proofs of the parts, by number of the part.
	stamps map[int]string
	// leftOut says where the least records are that were not sent; nil if all were.
	omitted *omittedRef
}

// lacks reports whether records that were not sent may belong to an answer whose
// least record is given, nil for an answer with room for more.
func (b *block) mayMissRecords(least []byte) bool {
	if b.omitted == nil || len(b.records) < recordBytes {
		return b.omitted != nil
	}
	last := b.records[len(b.records)-recordBytes:]
	return least == nil || bytes.Compare(last, least) > 0
}

// gatheredParts collects the parts of one answer. It is not safe for concurrent use.
type gatheredParts struct {
	// single are the parts that came by themselves, by number of the part.
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

// merged merges what makes the answer, and returns that too.
func (g *gatheredParts) mergeChosen(top int) (m merger, blocks []*block, single map[int]*response) {
	m = merger{top: top}
	blocks, single = g.chooseDisjoint()
	for _, b := range blocks {
		m.add(b.records)
	}
	for _, a := range single {
		m.add(a.body)
	}
	return m, blocks, single
}

// lacking lists the blocks of the answer of which records that were not sent may
// belong to it.
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

// choose returns blocks with no part in common, the largest first, and the
// single parts that no block has.
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

// overlap reports whether two sets of parts have one in common.
func overlap(a, b map[int]string) bool {
	for part := range a {
		if _, both := b[part]; both {
			return true
		}
	}
	return false
}

// merge returns the greatest records and the stamps of the parts they are from.
func (g *gatheredParts) merge(top int, stampHeader string) (records []byte, stamps []string) {
	m, blocks, single := g.mergeChosen(top)
	for _, b := range blocks {
		for _, s := range b.stamps {
			stamps = append(stamps, s)
		}
	}
	for _, a := range single {
		stamps = append(stamps, a.header.Get(stampHeader))
	}
	return m.result(), stamps
}

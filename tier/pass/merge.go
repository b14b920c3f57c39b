package pass

import (
	"bytes"
	"slices"
)

// recordBytes is the size of a record. A shorter rest of a part is no record.
const recordBytes = 16

// merger keeps the greatest records of the parts added.
type merger struct {
	top int
	// floor is a record below which none is wanted; nil for none.
	floor   []byte
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

// result returns the greatest records, the greatest first.
func (m *merger) result() []byte {
	m.cut()
	return bytes.Join(m.records, nil)
}

func (m *merger) cut() {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	keep := min(len(m.records), m.top)
	for keep > 0 && bytes.Compare(m.records[keep-1], m.floor) < 0 {
		keep--
	}
	clear(m.records[keep:])
	m.records = m.records[:keep]
}

// block is the merged records of several parts. They cannot be told apart any
// more, so a block is in an answer with all its parts or not at all.
type block struct {
	records []byte
	// stamps are the proofs of the parts, by number of the part.
	stamps map[int]string
	// basis are the answers from which the floor was taken below which records
	// were left out. The block is of use only beside all of them.
	basis []*answer
	// rest tells where the least records are that were not sent; nil if all were.
	rest *omitted
}

// lacks reports whether records that were not sent may belong to an answer whose
// least record is given, nil for an answer with room for more.
func (b *block) lacks(least []byte) bool {
	if b.rest == nil || len(b.records) < recordBytes {
		return b.rest != nil
	}
	last := b.records[len(b.records)-recordBytes:]
	return least == nil || bytes.Compare(last, least) > 0
}

// gathered collects the parts of one answer.
type gathered struct {
	// single are the parts that came by themselves, by number of the part.
	single map[int]*answer
	blocks []*block
}

func (g *gathered) take(part int, a *answer) {
	switch {
	case a.block == nil:
		if g.single == nil {
			g.single = map[int]*answer{}
		}
		g.single[part] = a
	case !slices.Contains(g.blocks, a.block):
		g.blocks = append(g.blocks, a.block)
	}
}

// floor returns the least of the greatest records of what is here, and the answers
// that it is from; nil while there are too few records. A record below it cannot
// be in the answer.
func (g *gathered) floor(top int) (record []byte, basis []*answer) {
	m := merger{top: top}
	blocks, single := g.choose()
	for _, b := range blocks {
		m.add(b.records)
		basis = append(basis, &answer{block: b})
	}
	for _, a := range single {
		m.add(a.body)
		basis = append(basis, a)
	}
	m.cut()
	if len(m.records) < top {
		return nil, nil
	}
	return m.records[top-1], basis
}

// lacking lists the blocks of the answer of which records that were not sent may
// belong to it.
func (g *gathered) lacking(top int) []*block {
	m := merger{top: top}
	blocks, single := g.choose()
	for _, b := range blocks {
		m.add(b.records)
	}
	for _, a := range single {
		m.add(a.body)
	}
	m.cut()
	var least []byte
	if len(m.records) == top {
		least = m.records[top-1]
	}
	return slices.DeleteFunc(blocks, func(b *block) bool { return !b.lacks(least) })
}

// drop leaves a block out of the answer.
func (g *gathered) drop(b *block) {
	g.blocks = slices.DeleteFunc(g.blocks, func(other *block) bool { return other == b })
}

// choose returns what makes the answer. A block whose basis is not in it is left
// out, and what is left is chosen from again.
func (g *gathered) choose() (blocks []*block, single map[int]*answer) {
	for {
		blocks, single = g.disjoint()
		i := slices.IndexFunc(blocks, func(b *block) bool { return !supported(b, blocks, single) })
		if i < 0 {
			return blocks, single
		}
		g.blocks = slices.DeleteFunc(g.blocks, func(b *block) bool { return b == blocks[i] })
	}
}

// supported reports whether all that a block's floor was taken from is chosen.
func supported(b *block, blocks []*block, single map[int]*answer) bool {
	for _, a := range b.basis {
		if a.block != nil && slices.Contains(blocks, a.block) {
			continue
		}
		found := false
		for _, s := range single {
			found = found || s == a
		}
		if !found {
			return false
		}
	}
	return true
}

// disjoint returns blocks with no part in common, the largest first, and the
// single parts that no block has.
func (g *gathered) disjoint() (blocks []*block, single map[int]*answer) {
	slices.SortStableFunc(g.blocks, func(a, b *block) int { return len(b.stamps) - len(a.stamps) })
	in := map[int]bool{}
	for _, b := range g.blocks {
		if overlaps(b, in) {
			continue
		}
		blocks = append(blocks, b)
		for part := range b.stamps {
			in[part] = true
		}
	}
	single = map[int]*answer{}
	for part, a := range g.single {
		if !in[part] {
			single[part] = a
		}
	}
	return blocks, single
}

func overlaps(b *block, in map[int]bool) bool {
	for part := range b.stamps {
		if in[part] {
			return true
		}
	}
	return false
}

// merge returns the greatest records and the stamps of the parts they are from.
func (g *gathered) merge(top int, stampHeader string) (records []byte, stamps []string) {
	m := merger{top: top}
	blocks, single := g.choose()
	for _, b := range blocks {
		m.add(b.records)
		for _, s := range b.stamps {
			stamps = append(stamps, s)
		}
	}
	for _, a := range single {
		m.add(a.body)
		stamps = append(stamps, a.header.Get(stampHeader))
	}
	return m.result(), stamps
}

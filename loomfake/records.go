package main

import (
	"fmt"
	"slices"
	"strconv"

	"loomgap/tier/query"
)

// Size of the generated data. Snapshot S has baseRecords + S*recordsPerSnapshot records,
// so that a count of all records shows which snapshot it was taken from.
const (
	baseRecords        = 20_000
	recordsPerSnapshot = 1_000
)

var (
	statuses = []string{"Pending", "Cutting", "Ready", "Collected"}
	shops    = []string{"Norte", "Centro", "Sur", "Valle", "Costa"}
)

func recordCount(snapshot uint64) uint64 { return baseRecords + snapshot*recordsPerSnapshot }

// newRecord generates record n, which belongs to key n modulo the size of the key space.
func newRecord(n uint64) query.Row {
	return query.Row{
		Key: fmt.Sprintf("R%08d", n),
		Fields: []query.Field{
			{Name: "Status", Value: statuses[n%uint64(len(statuses))]},
			{Name: "Shop", Value: shops[n/7%uint64(len(shops))]},
			{Name: "Due", Value: strconv.FormatUint(n*2654435761%100_000, 10)},
		},
	}
}

// answerQuestion evaluates a question over the keys [from, to) of a snapshot. It returns
// the number of matching records and the first q.Limit of them in the question's order.
func answerQuestion(q *query.Question, from, to, keySpace uint32, snapshot uint64) (uint64, []query.Row) {
	end := recordCount(snapshot)
	count := uint64(0)
	var rows []query.Row
	for key := uint64(from); key < uint64(to); key++ {
		for n := key; n < end; n += uint64(keySpace) {
			if len(q.Where) == 0 && q.Limit == 0 {
				count++
				continue
			}
			r := newRecord(n)
			if !q.Matches(&r) {
				continue
			}
			count++
			if q.Limit > 0 {
				rows = append(rows, r)
			}
		}
	}
	slices.SortFunc(rows, q.Compare)
	return count, rows[:min(len(rows), q.Limit)]
}

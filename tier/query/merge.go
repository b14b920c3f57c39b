package query

import (
	"cmp"
	"slices"
	"strconv"
)

// Field is a named value of a row.
type Field struct {
	Name  string
	Value string
}

// Row is a record as an upstream returned it.
type Row struct {
	Key    string
	Fields []Field
}

// Value returns the value of a field, or an empty string if there is none.
func (r *Row) Value(name string) string {
	for i := range r.Fields {
		if r.Fields[i].Name == name {
			return r.Fields[i].Value
		}
	}
	return ""
}

// Question is the part of an Ask that is sent to an upstream for each shard.
type Question struct {
	Verb       string
	Where      []Condition `json:",omitempty"`
	SortBy     string      `json:",omitempty"`
	Descending bool        `json:",omitempty"`
	Limit      int         `json:",omitempty"`
}

// Question returns the question that each shard evaluates.
func (a *Ask) Question() Question {
	q := Question{Verb: a.Verb, Limit: a.rowLimit()}
	for _, c := range a.Where {
		q.Where = append(q.Where, *c)
	}
	if a.Sort != nil {
		q.SortBy, q.Descending = a.Sort.Field, a.Sort.Order == "desc"
	}
	return q
}

// Matches reports whether a row meets all conditions.
func (q *Question) Matches(r *Row) bool {
	return !slices.ContainsFunc(q.Where, func(c Condition) bool { return !c.holds(r.Value(c.Field)) })
}

func (c *Condition) holds(v string) bool {
	order := compareValues(v, c.Value)
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

// compareValues compares two values as numbers if both are numbers, otherwise as text.
func compareValues(a, b string) int {
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	if errA == nil && errB == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}

// Merger merges the parts of an answer. It holds at most twice the limit of rows plus one
// part. It is not safe for concurrent use.
type Merger struct {
	question Question
	count    uint64
	rows     []Row
}

// NewMerger returns a merger for a question.
func NewMerger(q Question) *Merger { return &Merger{question: q} }

// Add adds one part.
func (m *Merger) Add(count uint64, rows []Row) {
	m.count += count
	m.rows = append(m.rows, rows...)
	if len(m.rows) > 2*m.question.Limit {
		m.sortAndTruncate()
	}
}

// Result returns the number of matching records and the rows in order.
func (m *Merger) Result() (uint64, []Row) {
	m.sortAndTruncate()
	return m.count, m.rows
}

func (m *Merger) sortAndTruncate() {
	slices.SortFunc(m.rows, m.question.Compare)
	m.rows = m.rows[:min(len(m.rows), m.question.Limit)]
}

// Compare orders rows by the field of the question, then by key.
func (q *Question) Compare(a, b Row) int {
	order := 0
	if q.SortBy != "" {
		order = compareValues(a.Value(q.SortBy), b.Value(q.SortBy))
	}
	if q.Descending {
		order = -order
	}
	return cmp.Or(order, cmp.Compare(a.Key, b.Key))
}

package query

import (
	"cmp"
	"slices"
	"strconv"
)

// Field is one named value of a row.
type Field struct {
	Name  string
	Value string
}

// Row is one record as an upstream gave it.
type Row struct {
	Key    string
	Fields []Field
}

// Value finds a field of a row; empty if there is none.
func (r *Row) Value(name string) string {
	for i := range r.Fields {
		if r.Fields[i].Name == name {
			return r.Fields[i].Value
		}
	}
	return ""
}

// Question is what an upstream is asked for one shard.
type Question struct {
	Verb       string
	Where      []Condition `json:",omitempty"`
	SortBy     string      `json:",omitempty"`
	Descending bool        `json:",omitempty"`
	Limit      int         `json:",omitempty"`
}

// Question returns the part of a statement that each shard answers.
func (a *Ask) Question() Question {
	q := Question{Verb: a.Verb, Limit: a.maxRows()}
	for _, c := range a.Where {
		q.Where = append(q.Where, *c)
	}
	if a.Sort != nil {
		q.SortBy, q.Descending = a.Sort.Field, a.Sort.Order == "desc"
	}
	return q
}

// Matches reports whether a row meets every condition.
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

// compareValues orders two values: as numbers if both are, else as text.
func compareValues(a, b string) int {
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	if errA == nil && errB == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}

// Merger joins the parts of one answer. It holds at most twice the rows that the
// answer may have, and one part. It is not safe for concurrent use.
type Merger struct {
	question Question
	count    uint64
	rows     []Row
}

// NewMerger makes a merger for a question.
func NewMerger(q Question) *Merger { return &Merger{question: q} }

// Add takes one part in.
func (m *Merger) Add(count uint64, rows []Row) {
	m.count += count
	m.rows = append(m.rows, rows...)
	if len(m.rows) > 2*m.question.Limit {
		m.cut()
	}
}

// Result returns the count and the rows in order.
func (m *Merger) Result() (uint64, []Row) {
	m.cut()
	return m.count, m.rows
}

func (m *Merger) cut() {
	slices.SortFunc(m.rows, m.question.Compare)
	m.rows = m.rows[:min(len(m.rows), m.question.Limit)]
}

// Compare orders rows by the question's field, ties by key.
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

package query

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"loomgap/tier/config"
)

func TestParseAsk(t *testing.T) {
	tests := []struct {
		name, text, problem string
	}{
		{name: "count", text: "count Orders"},
		{name: "everything", text: `find Orders in shards S1, S2 where Status = "Ready" and Due >= 5 sort by Due desc limit 3`},
		{name: "limit too large", text: "find Orders limit 1001", problem: "limit 1001"},
		{name: "limit zero", text: "find Orders limit 0", problem: "limit 0"},
		{name: "command", text: "drop service Orders", problem: "not a question"},
		{name: "nothing", text: "", problem: "0 statements"},
		{name: "two", text: "count A; count B", problem: "2 statements"},
		{name: "half", text: "count Orders where", problem: "unexpected"},
		{name: "no text end", text: `count Orders where A = "x`, problem: "invalid input"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseAsk(tt.text)
			if tt.problem == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.problem)
			var typed *Error
			assert.Assert(t, errors.As(err, &typed) && typed.Remedy != "" && typed.Line > 0)
			assert.Assert(t, errors.Is(err, ErrStatement))
		})
	}
}

func TestMergerKeepsTopRows(t *testing.T) {
	m := NewMerger(Question{SortBy: "Due", Descending: true, Limit: 2})
	row := func(key, due string) Row { return Row{Key: key, Fields: []Field{{Name: "Due", Value: due}}} }
	m.Add(3, []Row{row("c", "9"), row("a", "10")})
	m.Add(2, []Row{row("b", "10"), row("d", "1")})
	m.Add(1, []Row{row("e", "2")})
	count, rows := m.Result()
	assert.Equal(t, count, uint64(6))
	assert.Assert(t, is.DeepEqual(rows, []Row{row("a", "10"), row("b", "10")}))
}

func TestNewCoverage(t *testing.T) {
	shards := []config.Shard{{Name: "A", From: 0, To: 4}, {Name: "B", From: 4, To: 8}, {Name: "C", From: 8, To: 9}, {Name: "D", From: 9, To: 12}}
	c := NewCoverage(shards, []Reason{"", "", ReasonLate, ""})
	assert.Assert(t, is.DeepEqual(c, Coverage{
		Asked:    4,
		Included: []Range{{0, 8}, {9, 12}},
		Missing:  []Missing{{Shard: "C", Range: Range{8, 9}, Reason: ReasonLate}},
	}))
}

func TestApplyBuildsDocument(t *testing.T) {
	script := `create service Checks keyspace 10;
		declare upstream C1 at "127.0.0.1:9001" hall Quito1 slots 2 connections 25;
		declare shard A of Checks keys 5 to 10 on C1; declare shard B of Checks keys 0 to 5 on C1;
		create class Urgent; set class Urgent deadline = 150ms, coverage = 0.5, worth = 8, hedge = None;
		declare host H1 at "127.0.0.1:9100" hall Quito1; leave upstream C1; show shards of Checks`
	statements, err := Parse(script)
	assert.NilError(t, err)
	var d config.Document
	shown, err := Apply(&d, statements)
	assert.NilError(t, err)
	assert.NilError(t, config.Check(&d, 1))
	assert.Assert(t, is.DeepEqual(shown, []string{"B keys 0 to 5 on C1", "A keys 5 to 10 on C1"}))
	assert.Equal(t, d.Classes[0].Worth, 8)
	assert.Assert(t, d.Upstreams[0].Leaving)
	assert.Equal(t, d.Services[0].MapRevision, uint64(3))
}

func TestApplyChangesRoutes(t *testing.T) {
	d := config.Document{
		Groups: []config.Group{{Name: "A", Connections: 1}},
		Routes: []config.Route{{
			Name: "Find", HostName: "x.example", Prefix: "/f/", Repeatable: true, MaxAttempts: 2, TimeLimit: 1e9, Objective: 1e8,
			Gather: &config.Gather{Groups: []string{"A"}, Top: 5, Coverage: 0.5},
		}},
	}
	statements, err := Parse(`set route Find objective = 80ms, coverage = 0.9, top = 7, maxattempts = 1; show routes; show groups`)
	assert.NilError(t, err)
	shown, err := Apply(&d, statements)
	assert.NilError(t, err)
	assert.NilError(t, config.Check(&d, 1))
	assert.Assert(t, is.DeepEqual(shown, []string{
		"Find x.example/f/ to A timelimit 1s objective 80ms maxattempts 1 priority 0 coverage 0.9 top 7", "A connections 1",
	}))
}

func TestApplyRejectsInvalidCommands(t *testing.T) {
	tests := []struct {
		text, problem string
	}{
		{"count A", "not a command"},
		{"drop class Nope", `no class "Nope"`},
		{"drop shard A of Nope", `no service "Nope"`},
		{"leave upstream Nope", `no upstream "Nope"`},
		{`declare host H at "here" hall Q`, `bad address "here"`},
		{"create class A; create class A", "there already"},
		{"create class A; set class A deadline = 5", "bad value"},
		{"set route Nope objective = 5ms", `no route "Nope"`},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			statements, err := Parse(tt.text)
			assert.NilError(t, err)
			_, err = Apply(&config.Document{}, statements)
			assert.ErrorContains(t, err, tt.problem)
			assert.ErrorIs(t, err, ErrStatement)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("count Orders where A = 1 and B != \"x\" sort by A desc limit 3")
	f.Add(`place Orders key 7 set A = "\q"`)
	f.Add("declare shard S of O keys 99999999999 to -1 on U")
	f.Add("set class A deadline = 5ms,;")
	f.Fuzz(func(t *testing.T, text string) {
		statements, err := Parse(text)
		if err != nil {
			assert.ErrorIs(t, err, ErrStatement)
			return
		}
		if _, err := Apply(&config.Document{}, statements); err != nil {
			assert.ErrorIs(t, err, ErrStatement)
		}
	})
}

package query

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/config"
)

// base creates a document with one element of each kind that commands change.
const base = `create service S keyspace 10; create class C; declare host H at "127.0.0.1:1" hall Q;
	declare upstream U at "127.0.0.1:2" hall Q slots 1 connections 2; declare shard A of S keys 0 to 10 on U;`

// TestCommandEffects checks the document, the output and the error of each
// command.
func TestCommandEffects(t *testing.T) {
	scripts := []string{
		"", "create service S keyspace 5", "create class C", "create class D",
		`declare host H at "127.0.0.1:9" hall R; declare host I at "127.0.0.1:8" hall R`, `declare host H at "x" hall R`,
		`declare upstream U at "127.0.0.1:9" hall R slots 3 connections 4; declare upstream V at "127.0.0.1:8" hall R slots 3 connections 4`,
		`declare upstream U at "x" hall R slots 3 connections 4`,
		"declare shard A of S keys 5 to 10 on U, V; declare shard B of S keys 0 to 5 on V", "declare shard A of T keys 5 to 10 on U",
		"leave upstream U", "leave upstream U; return upstream U", "leave upstream V",
		"drop service S", "drop upstream U", "drop host H", "drop class C", "drop shard A of S",
		"drop service T", "drop upstream V", "drop host I", "drop class D", "drop shard B of S", "drop shard A of T", "drop shard A",
		"set class C deadline = 1s, maxdeadline = 2s, margin = 3ms, patience = 4ms, coverage = 0.5, hedgequantile = 0.9, hedgebudget = 0.1",
		"set class C worth = 2, maxinflight = 3, choice = Random, admission = None, hedge = None", "set class C nothing = 1",
		"set class C deadline = 1", "set class C worth = 1.5", "set class C coverage = x", "set class D worth = 2",
		"set route R timelimit = 2s, objective = 1s, priority = 4, maxattempts = 5, coverage = 0.25, top = 6", "set route R2 top = 6",
		"set route R2 priority = 4", "set route R nothing = 1", "set route X priority = 1",
		"show services; show upstreams; show hosts; show classes; show groups; show routes; show shards of S", "show shards of T", "show shards",
		"count S", "place S key 1 set A = 1", "drop class C; drop class C",
	}
	var out strings.Builder
	for _, script := range scripts {
		d := config.Document{
			Groups: []config.Group{{Name: "G", Connections: 1}},
			Routes: []config.Route{
				{Name: "R", HostName: "x.example", Prefix: "/r/", MaxAttempts: 1, Gather: &config.Gather{Groups: []string{"G"}, Top: 5, Coverage: 1}},
				{Name: "R2", HostName: "x.example", Prefix: "/s/", MaxAttempts: 1, Split: []config.WeightedGroup{{Group: "G", Weight: 1}}},
			},
		}
		statements, err := Parse(base + script)
		assert.NilError(t, err)
		shown, err := Apply(&d, statements)
		fmt.Fprintf(&out, "# %s\n%s\n", script, strings.Join(shown, "\n"))
		if err != nil {
			fmt.Fprintln(&out, err)
			continue
		}
		text, err := config.Encode(&d)
		assert.NilError(t, err)
		out.Write(text)
	}
	golden.Assert(t, out.String(), "commands.golden")
}

// TestStatementErrorTexts checks the position and the text of errors in statements.
func TestStatementErrorTexts(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"", "find", "find A; find A", "place A key 1 set B = 1", "drop class A", "find A limit 0", "\n find A limit 1001", "find A limit x",
		"find A where", strings.Repeat(" ", maxStatementBytes+1), "find A ?", "find A limit 99999999999999999999", "find A limit 1000",
	} {
		_, ask := ParseAsk(text)
		_, place := ParsePlace(text)
		fmt.Fprintf(&out, "%v\n%v\n", ask, place)
	}
	golden.Assert(t, out.String(), "faults.golden")
}

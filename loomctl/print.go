package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	entrygen "loomgap/tier/gen/entry"
)

func printJSON(v any) subcommands.ExitStatus {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fail(err)
	}
	return exitComplete
}

// printAnswer prints an answer and returns the exit status for its outcome.
func printAnswer(a *entrygen.Answer, format string) subcommands.ExitStatus {
	if format == formatJSON {
		if s := printJSON(a); s != exitComplete {
			return s
		}
		return outcomeStatus(a.Outcome)
	}
	fmt.Printf("Outcome:   %s\n", a.Outcome)
	if a.Remedy != nil {
		fmt.Printf("Remedy:    %s\n", *a.Remedy)
	}
	fmt.Printf("Request:   %s, class %s, by host %s, %d attempts\n", a.RequestID, a.Class, a.EntryHost, a.Attempts)
	if a.RetryAfterMillis != nil {
		fmt.Printf("Retry:     after %d ms\n", *a.RetryAfterMillis)
	}
	fmt.Printf("Snapshot:  %d, configuration %d, shard map %d\n", a.Snapshot, a.Revision, a.MapRevision)
	fmt.Printf("Coverage:  %d of %d shards; included %s\n", int(a.Asked)-len(a.Missing), a.Asked, formatRanges(a.Included))
	for _, m := range a.Missing {
		fmt.Printf("Missing:   %s keys %d to %d: %s\n", m.Shard, m.From, m.To, m.Reason)
	}
	fmt.Printf("Count:     %d\n", a.Count)
	for _, r := range a.Rows {
		fmt.Println(formatRow(r))
	}
	return outcomeStatus(a.Outcome)
}

func formatRanges(all []*entrygen.KeyRange) string {
	var out []string
	for _, r := range all {
		out = append(out, fmt.Sprintf("%d to %d", r.From, r.To))
	}
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}

// formatRow formats the key and the fields of a record.
func formatRow(r *entrygen.Row) string {
	out := []string{r.Key}
	for _, f := range r.Fields {
		out = append(out, f.Name+"="+f.Value)
	}
	return strings.Join(out, "  ")
}

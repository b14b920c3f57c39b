package config

import (
	"bytes"
	"fmt"

	"github.com/go-json-experiment/json"
)

// Encode writes a document in its one canonical form: each class, host,
// upstream and shard on a line of its own, so that the lines that differ tell
// what differs, and a document of the largest tier stays within MaxBytes.
func Encode(d *Document) ([]byte, error) {
	w := &writer{}
	w.text("{\n")
	w.field("  ", "Based", d.Based)
	lines(w, "  ", "Classes", d.Classes, ",\n")
	lines(w, "  ", "Hosts", d.Hosts, ",\n")
	lines(w, "  ", "Upstreams", d.Upstreams, ",\n")
	w.text("  \"Services\": [")
	for i := range d.Services {
		w.separate(i, "\n")
		w.service(&d.Services[i])
	}
	w.text("]")
	w.routes(d)
	w.text("\n}\n")
	if w.err != nil {
		return nil, fmt.Errorf("encode document: %w", w.err)
	}
	return w.out.Bytes(), nil
}

// writer keeps the first error.
type writer struct {
	out bytes.Buffer
	err error
}

func (w *writer) text(s string) { w.out.WriteString(s) }

func (w *writer) value(v any) {
	text, err := json.Marshal(v, json.Deterministic(true))
	if err != nil && w.err == nil {
		w.err = err
	}
	w.out.Write(text)
}

func (w *writer) field(indent, name string, v any) {
	w.text(indent + `"` + name + `": `)
	w.value(v)
	w.text(",\n")
}

// separate divides the elements of a list; each begins on a new line.
func (w *writer) separate(i int, newline string) {
	if i > 0 {
		w.text(",")
	}
	w.text(newline)
}

func (w *writer) service(s *Service) {
	w.text("    {\n")
	w.field("      ", "Name", s.Name)
	w.field("      ", "KeySpace", s.KeySpace)
	w.field("      ", "MapRevision", s.MapRevision)
	lines(w, "      ", "Shards", s.Shards, "\n")
	w.text("    }")
}

// routes writes what routed requests need; a document without them has none of
// these fields.
func (w *writer) routes(d *Document) {
	if len(d.Groups) > 0 {
		w.text(",\n")
		lines(w, "  ", "Groups", d.Groups, "")
	}
	if len(d.Routes) > 0 {
		w.text(",\n")
		lines(w, "  ", "Routes", d.Routes, "")
	}
	if d.Limits != (Limits{}) {
		w.text(",\n  \"Limits\": ")
		w.value(&d.Limits)
	}
}

// lines writes a list with one element a line.
func lines[T any](w *writer, indent, name string, list []T, end string) {
	w.text(indent + `"` + name + `": [`)
	for i := range list {
		w.separate(i, "\n"+indent+"  ")
		w.value(&list[i])
	}
	w.text("]" + end)
}

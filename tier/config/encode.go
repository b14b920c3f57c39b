package config

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
)

// Encode writes a document in its canonical form. Each class, host, upstream and shard is
// on a line of its own, so that a line diff shows the elements that changed, and the
// largest documents stay within MaxBytes. Groups, Routes and Limits are omitted if they
// are empty.
func Encode(d *Document) ([]byte, error) {
	w := &writer{}
	services := make([]string, 0, len(d.Services))
	for i := range d.Services {
		services = append(services, w.service(&d.Services[i]))
	}
	members := []string{
		member("Based", w.value(d.Based)),
		member("Classes", lines(w, "    ", d.Classes)),
		member("Hosts", lines(w, "    ", d.Hosts)),
		member("Upstreams", lines(w, "    ", d.Upstreams)),
		member("Services", list("    ", services)),
	}
	if len(d.Groups) > 0 {
		members = append(members, member("Groups", lines(w, "    ", d.Groups)))
	}
	if len(d.Routes) > 0 {
		members = append(members, member("Routes", lines(w, "    ", d.Routes)))
	}
	if d.Limits != (Limits{}) {
		members = append(members, member("Limits", w.value(&d.Limits)))
	}
	if w.err != nil {
		return nil, fmt.Errorf("encode document: %w", w.err)
	}
	return []byte(object("", members) + "\n"), nil
}

// writer encodes values and keeps the first error.
type writer struct{ err error }

func (w *writer) value(v any) string {
	text, err := json.Marshal(v, json.Deterministic(true))
	w.err = cmp.Or(w.err, err)
	return string(text)
}

func (w *writer) service(s *Service) string {
	return object("    ", []string{
		member("Name", w.value(s.Name)),
		member("KeySpace", w.value(s.KeySpace)),
		member("MapRevision", w.value(s.MapRevision)),
		member("Shards", lines(w, "        ", s.Shards)),
	})
}

// lines encodes a list with one element per line.
func lines[T any](w *writer, indent string, elements []T) string {
	texts := make([]string, 0, len(elements))
	for i := range elements {
		texts = append(texts, w.value(&elements[i]))
	}
	return list(indent, texts)
}

func list(indent string, texts []string) string {
	if len(texts) == 0 {
		return "[]"
	}
	return "[\n" + indent + strings.Join(texts, ",\n"+indent) + "]"
}

// object encodes an object with one member per line.
func object(indent string, members []string) string {
	return "{\n" + indent + "  " + strings.Join(members, ",\n"+indent+"  ") + "\n" + indent + "}"
}

func member(name, text string) string { return `"` + name + `": ` + text }

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([\w.@,]+)\}\}`)
)

// fill fills a settings template as DEPLOY.md describes, without nested sections, filters
// and lists of tables, which the template of the project does not use.
func fill(template string, fields map[string]any) (string, error) {
	var problem error
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		kind, name, body := m[1], m[2], m[3]
		if m[4] != name {
			problem = fmt.Errorf("template: section %s ends as %s", name, m[4])
		}
		value := lookup(fields, name)
		if kind == "^" {
			if value == nil || value == false {
				return body
			}
			return ""
		}
		return fillSection(value, body)
	})
	return gapPattern.ReplaceAllStringFunc(out, func(gap string) string {
		return text(lookup(fields, gapPattern.FindStringSubmatch(gap)[1]))
	}), problem
}

func fillSection(value any, body string) string {
	table, ok := value.(map[string]any)
	if !ok {
		if value == nil || value == false {
			return ""
		}
		return strings.ReplaceAll(body, "{{.}}", text(value))
	}
	keys := slices.Sorted(maps.Keys(table))
	var b strings.Builder
	for i, k := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		b.WriteString(strings.NewReplacer("{{@}}", k, "{{.}}", text(table[k]), "{{,}}", comma).Replace(body))
	}
	return b.String()
}

func lookup(fields map[string]any, name string) any {
	var at any = fields
	for part := range strings.SplitSeq(name, ".") {
		table, ok := at.(map[string]any)
		if !ok {
			return nil
		}
		at = table[part]
	}
	return at
}

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case []any:
		parts := make([]string, 0, len(v))
		for _, p := range v {
			parts = append(parts, text(p))
		}
		return strings.Join(parts, ",")
	default:
		b, err := json.Marshal(v)
		if err != nil {
			return ""
		}
		return string(b)
	}
}

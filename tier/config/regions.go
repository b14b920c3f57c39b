package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
)

// Regions maps each data hall to its region.
type Regions map[string]string

// errRegion is wrapped by all errors of ParseRegions.
var errRegion = errors.New("expected Hall=Region pairs, separated by commas, or a JSON object")

// ParseRegions parses a list in the form Hall=Region,Hall=Region, or a JSON object, in which names
// may hold any sign. An empty text is valid and names no hall.
func ParseRegions(text string) (Regions, error) {
	out := Regions{}
	if text == "" {
		return out, nil
	}
	if strings.HasPrefix(text, "{") {
		if err := json.Unmarshal([]byte(text), &out); err != nil {
			return nil, fmt.Errorf("%w: %w", errRegion, err)
		}
		maps.DeleteFunc(out, func(hall, region string) bool { return hall == "" || region == "" })
		return out, nil
	}
	for _, pair := range strings.Split(text, ",") {
		hall, region, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || hall == "" || region == "" {
			return nil, fmt.Errorf("%q: %w", pair, errRegion)
		}
		if other, known := out[hall]; known && other != region {
			return nil, fmt.Errorf("hall %s lies in %s and in %s: %w", hall, other, region, errRegion)
		}
		out[hall] = region
	}
	return out, nil
}

// String formats the regions for ParseRegions, sorted by hall.
func (r Regions) String() string {
	var pairs []string
	for _, h := range slices.Sorted(maps.Keys(r)) {
		pairs = append(pairs, h+"="+r[h])
	}
	list := strings.Join(pairs, ",")
	if again, err := ParseRegions(list); err == nil && maps.Equal(again, r) {
		return list
	}
	object, err := json.Marshal(map[string]string(r))
	if err != nil {
		return list // unreachable: text can be encoded
	}
	return string(object)
}

// IsHome reports whether a hall lies in one of a route's home regions. Every hall is home
// to a route without homes; a hall whose region is unknown is home to no other route.
func (r Regions) IsHome(hall string, homes []string) bool {
	if len(homes) == 0 {
		return true
	}
	region, known := r[hall]
	return known && slices.Contains(homes, region)
}

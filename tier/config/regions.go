package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Regions maps each data hall to its region.
type Regions map[string]string

// errRegion is wrapped by all errors of ParseRegions.
var errRegion = errors.New("expected Hall=Region pairs, separated by commas")

// ParseRegions parses a list in the form Hall=Region,Hall=Region. An empty text is valid
// and names no hall.
func ParseRegions(text string) (Regions, error) {
	out := Regions{}
	if text == "" {
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
	var out []string
	for _, h := range slices.Sorted(maps.Keys(r)) {
		out = append(out, h+"="+r[h])
	}
	return strings.Join(out, ",")
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

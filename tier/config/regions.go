package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Regions says in which region each data hall lies.
type Regions map[string]string

// errRegion is wrapped by what is wrong with a list of regions.
var errRegion = errors.New("write Hall=Region, divided by commas")

// ParseRegions reads Hall=Region,Hall=Region; an empty text names no hall.
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

// String writes the regions as ParseRegions reads them, in order of hall.
func (r Regions) String() string {
	var out []string
	for _, h := range slices.Sorted(maps.Keys(r)) {
		out = append(out, h+"="+r[h])
	}
	return strings.Join(out, ",")
}

// IsHome reports whether a hall lies in one of a route's homes. A route without
// homes is at home everywhere; a hall of which no region is known is no home.
func (r Regions) IsHome(hall string, homes []string) bool {
	if len(homes) == 0 {
		return true
	}
	region, known := r[hall]
	return known && slices.Contains(homes, region)
}

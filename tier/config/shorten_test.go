package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestShortenKeepsNamesApart guards against long names that share a metric, and against one that
// is shortened twice and so changes.
func TestShortenKeepsNamesApart(t *testing.T) {
	long := strings.Repeat("ö", 500)
	first, second := Shorten(long+"a"), Shorten(long+"b")
	assert.Assert(t, first != second && len(first) <= maxShownBytes)
	assert.Equal(t, Shorten(first), first)
	assert.Equal(t, Shorten("short"), "short")
}

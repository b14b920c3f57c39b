package config

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxShownBytes is the size of the longest name that Shorten returns.
const maxShownBytes = 128

// Shorten returns a name for logs and metrics. The platform sets no limit for names, so a long
// one is cut, and a hash of the whole keeps it distinct.
func Shorten(name string) string {
	if len(name) <= maxShownBytes {
		return name
	}
	suffix := fmt.Sprintf("~%016x", xxhash.Sum64String(name))
	return strings.ToValidUTF8(name[:maxShownBytes-len(suffix)], "") + suffix
}

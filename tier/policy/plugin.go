package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Random is a source of random numbers.
type Random interface {
	Float64() float64
	IntN(n int) int
}

var _ Random = (*rand.Rand)(nil)

// errNotRegistered reports a plug-in name that is not registered.
var errNotRegistered = errors.New("not registered")

// chooser scores a replica. The replica with the lowest score is chosen.
type chooser interface {
	// score is called with the fleet locked. It must not retain u.
	score(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64
}

// admission limits the expected work of a request to a share of the time that remains until
// its deadline.
type admission interface {
	// allowedWork returns how much of the remaining time the expected work of a request may
	// fill. worthPerCall is the worth per call of the request's class, highest the largest
	// of all classes.
	allowedWork(remaining time.Duration, worthPerCall, highest float64) time.Duration
}

// Plug-ins by name. They register themselves in init functions.
var (
	choosers   = map[string]chooser{}
	admissions = map[string]admission{}
)

// pluginByName returns a registered plug-in. kind names its kind in the error.
func pluginByName[T any](kind string, registered map[string]T, name string) (T, error) {
	p, ok := registered[name]
	if !ok {
		return p, fmt.Errorf("%s %q: %w", kind, name, errNotRegistered)
	}
	return p, nil
}

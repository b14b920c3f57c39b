package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Random is the source of random numbers, handed in.
type Random interface {
	Float64() float64
	IntN(n int) int
}

var _ Random = (*rand.Rand)(nil)

// errUnknown is wrapped when a plug-in is asked for that nobody registered.
var errNotRegistered = errors.New("not registered")

// chooser scores a replica; the lowest score is chosen.
type chooser interface {
	// score is called with the fleet locked. It must not keep u.
	score(now time.Duration, u *Upstream, p *LatencyPool, r Random) float64
}

// admission says how much of the time left may be spent by expected work.
type admission interface {
	// allow gives the part of slack that a request of this worth per cost may
	// count on, when the best class has the worth per cost top.
	allow(slack time.Duration, density, top float64) time.Duration
}

// Plug-ins by name; each file that has some adds them in its init function.
var (
	choosers   = map[string]chooser{}
	admissions = map[string]admission{}
)

func named[T any](kind string, registered map[string]T, name string) (T, error) {
	p, ok := registered[name]
	if !ok {
		return p, fmt.Errorf("%s %q: %w", kind, name, errNotRegistered)
	}
	return p, nil
}

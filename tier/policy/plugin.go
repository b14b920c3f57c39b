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
var errUnknown = errors.New("not registered")

// chooser scores a replica; the lowest score is chosen.
type chooser interface {
	// score is called with the fleet locked. It must not keep u.
	score(now time.Duration, u *Upstream, p *Pool, r Random) float64
}

// admission says how much of the time left may be spent by expected work.
type admission interface {
	// allow gives the part of slack that a request of this worth per cost may
	// count on, when the best class has the worth per cost top.
	allow(slack time.Duration, density, top float64) time.Duration
}

var (
	choosers   = map[string]chooser{}
	admissions = map[string]admission{}
)

// registerChooser makes a chooser known; it is called from init functions.
func registerChooser(name string, c chooser) { choosers[name] = c }

// registerAdmission makes a rule known; it is called from init functions.
func registerAdmission(name string, a admission) { admissions[name] = a }

// chooserNamed finds a registered chooser.
func chooserNamed(name string) (chooser, error) {
	c, ok := choosers[name]
	if !ok {
		return nil, fmt.Errorf("chooser %q: %w", name, errUnknown)
	}
	return c, nil
}

// admissionNamed finds a registered rule.
func admissionNamed(name string) (admission, error) {
	a, ok := admissions[name]
	if !ok {
		return nil, fmt.Errorf("admission %q: %w", name, errUnknown)
	}
	return a, nil
}

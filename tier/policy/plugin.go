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

// ErrUnknown is wrapped when a plug-in is asked for that nobody registered.
var ErrUnknown = errors.New("not registered")

// Chooser scores a replica; the lowest score is chosen.
type Chooser interface {
	// Score is called with the fleet locked. It must not keep u.
	Score(now time.Duration, u *Upstream, p *Pool, r Random) float64
}

// Admission says how much of the time left may be spent by expected work.
type Admission interface {
	// Allow gives the part of slack that a request of this worth per cost may
	// count on, when the best class has the worth per cost top.
	Allow(slack time.Duration, density, top float64) time.Duration
}

var (
	choosers   = map[string]Chooser{}
	admissions = map[string]Admission{}
)

// RegisterChooser makes a chooser known; it is called from init functions.
func RegisterChooser(name string, c Chooser) { choosers[name] = c }

// RegisterAdmission makes a rule known; it is called from init functions.
func RegisterAdmission(name string, a Admission) { admissions[name] = a }

// ChooserNamed finds a registered chooser.
func ChooserNamed(name string) (Chooser, error) {
	c, ok := choosers[name]
	if !ok {
		return nil, fmt.Errorf("chooser %q: %w", name, ErrUnknown)
	}
	return c, nil
}

// AdmissionNamed finds a registered rule.
func AdmissionNamed(name string) (Admission, error) {
	a, ok := admissions[name]
	if !ok {
		return nil, fmt.Errorf("admission %q: %w", name, ErrUnknown)
	}
	return a, nil
}

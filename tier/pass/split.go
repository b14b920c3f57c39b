package pass

import (
	"math/rand/v2"
	"slices"
	"sync"

	"loomgap/tier/config"
)

// splitters holds the splitter of each route with a split. It is safe for concurrent
// use; the zero value is ready.
type splitters struct {
	// byRoute holds a *splitter for each name of a route.
	byRoute sync.Map
}

// target returns the one group that a request of a route goes to.
func (s *splitters) target(r *config.Route) string {
	if len(r.Split) == 0 {
		return r.Group
	}
	old, ok := s.byRoute.Load(r.Name)
	if ok && old.(*splitter).same(r.Split) {
		return old.(*splitter).next()
	}
	n := newSplitter(r.Split)
	if ok {
		s.byRoute.CompareAndSwap(r.Name, old, n)
	} else if winner, loaded := s.byRoute.LoadOrStore(r.Name, n); loaded {
		n = winner.(*splitter)
	}
	return n.next()
}

// splitter divides the requests of a route between groups in proportion to their weights:
// each turn goes to the group that lags most behind its share. Drawing at random would
// deviate from the weights over short times. It is safe for concurrent use.
type splitter struct {
	split []config.Weighted

	mu sync.Mutex
	// lag is how far each group is behind its share, in units of weight; next leaves
	// the total unchanged.
	lag []float64
	// sum is that of the weights.
	sum float64
}

// newSplitter makes a splitter that begins anywhere in its round, so that many
// hosts do not all begin with the same group.
func newSplitter(split []config.Weighted) *splitter {
	s := &splitter{split: split, lag: make([]float64, len(split))}
	for _, w := range split {
		s.sum += w.Weight
	}
	for i := range s.lag {
		s.lag[i] = split[i].Weight * rand.Float64()
	}
	return s
}

// same reports whether the splitter divides as a split says.
func (s *splitter) same(split []config.Weighted) bool { return slices.Equal(s.split, split) }

// next returns the group whose turn it is. A turn belongs to its group: it is not
// given to another one that has more room.
func (s *splitter) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, w := range s.split {
		if w.Weight == 0 {
			continue
		}
		s.lag[i] += w.Weight
		if best < 0 || s.lag[i] > s.lag[best] {
			best = i
		}
	}
	s.lag[best] -= s.sum
	return s.split[best].Group
}

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
	mu sync.Mutex
	// byRoute holds the splitter of each route by name.
	byRoute map[string]*splitter
}

// target returns the one group that a request of a route goes to.
func (s *splitters) target(r *config.Route) string {
	if len(r.Split) == 0 {
		return r.Group
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = map[string]*splitter{}
	}
	n := s.byRoute[r.Name]
	if n == nil || !slices.Equal(n.split, r.Split) {
		n = newSplitter(r.Split)
		s.byRoute[r.Name] = n
	}
	return n.next()
}

// splitter divides the requests of a route between groups in proportion to their weights:
// each turn goes to the group that lags most behind its share. Drawing at random would
// deviate from the weights over short times.
type splitter struct {
	split []config.Weighted
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

// next returns the group whose turn it is. A turn belongs to its group: it is not
// given to another one that has more room.
func (s *splitter) next() string {
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

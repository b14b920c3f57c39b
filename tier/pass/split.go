package pass

import (
	"math/rand/v2"
	"slices"
	"sync"

	"loomgap/tier/config"
)

// splitter divides the requests of a route between groups in proportion to
// their weights: each turn goes to the group that lags most behind its part.
// Drawing at random would stray from the weights in short spans.
type splitter struct {
	split []config.Weighted

	mu sync.Mutex
	// due is how many turns each group lags behind; it adds up to 0.
	due []float64
	sum float64
}

// newSplitter makes a splitter that begins anywhere in its round, so that many
// hosts do not all begin with the same group.
func newSplitter(split []config.Weighted) *splitter {
	s := &splitter{split: split, due: make([]float64, len(split))}
	for _, w := range split {
		s.sum += w.Weight
	}
	for i := range s.due {
		s.due[i] = split[i].Weight * rand.Float64()
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
		s.due[i] += w.Weight
		if best < 0 || s.due[i] > s.due[best] {
			best = i
		}
	}
	s.due[best] -= s.sum
	return s.split[best].Group
}

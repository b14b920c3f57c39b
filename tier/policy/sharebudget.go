package policy

import "time"

// maxShareBudget is the most requests of a class that run one after the other from its
// budget.
const maxShareBudget = 2

// shareBudget gives a class of requests a share of the places that become free. Turns among
// the waiting requests do not: a class whose requests seldom wait, because they are refused
// at once, misses its turns, and one that waits in numbers gets every place while few others
// wait.
type shareBudget struct {
	// share is the share of the throughput, 0 to 1.
	share float64
	// left is the number of requests of the class that may run now; at least -1.
	left float64
	// earnedAt is when left was last increased.
	earnedAt time.Duration
}

// earn adds the share of the places that became free since the last time. throughput is
// their number in a second.
func (b *shareBudget) earn(now time.Duration, throughput float64) {
	b.left = min(b.left+b.share*throughput*(now-b.earnedAt).Seconds(), maxShareBudget)
	b.earnedAt = now
}

func (b *shareBudget) spend() { b.left = max(b.left-1, -1) }

func (b *shareBudget) available() bool { return b.left >= 1 }

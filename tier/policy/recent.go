package policy

import "time"

// recentSlots is into how many parts a window is divided, to tell what has left it.
const recentSlots = 10

// recent sums up what was counted within the last window, to the precision of a slot of
// it; what is older by up to a slot still counts. The zero value is empty.
type recent struct {
	// sums holds one sum a slot and one for the slot that is under way; last is the number
	// of the slot under way when something was last counted.
	sums [recentSlots + 1]float32
	last int64
}

// move empties the slots that have left the window.
func (r *recent) move(now, window time.Duration) (slot int64) {
	slot = int64(now / max(window/recentSlots, 1))
	for n := max(r.last+1, slot-recentSlots); n <= slot; n++ {
		r.sums[n%int64(len(r.sums))] = 0
	}
	r.last = max(r.last, slot)
	return slot
}

func (r *recent) add(now, window time.Duration, amount float64) {
	if window > 0 && amount > 0 {
		slot := r.move(now, window)
		r.sums[slot%int64(len(r.sums))] += float32(amount)
	}
}

// sum is the sum of all that may have been counted within the window.
func (r *recent) sum(now, window time.Duration) float64 {
	r.move(now, window)
	total := float32(0)
	for _, s := range r.sums {
		total += s
	}
	return float64(total)
}

package policy

import "time"

// recentSlots is into how many parts a window is divided, to tell what has left it.
const windowBuckets = 10

// recent sums up what was counted within the last window, to the precision of a slot of
// it; what is older by up to a slot still counts. The zero value is empty.
type windowedSum struct {
	// sums holds one sum a slot and one for the slot that is under way; last is the number
	// of the slot under way when something was last counted.
	buckets    [windowBuckets + 1]float32
	lastBucket int64
}

// move empties the slots that have left the window.
func (r *windowedSum) advance(now, window time.Duration) (slot int64) {
	slot = int64(now / max(window/windowBuckets, 1))
	for n := max(r.lastBucket+1, slot-windowBuckets); n <= slot; n++ {
		r.buckets[n%int64(len(r.buckets))] = 0
	}
	r.lastBucket = max(r.lastBucket, slot)
	return slot
}

func (r *windowedSum) add(now, window time.Duration, amount float64) {
	if window > 0 && amount > 0 {
		slot := r.advance(now, window)
		r.buckets[slot%int64(len(r.buckets))] += float32(amount)
	}
}

// sum is the sum of all that may have been counted within the window.
func (r *windowedSum) sum(now, window time.Duration) float64 {
	r.advance(now, window)
	total := float32(0)
	for _, s := range r.buckets {
		total += s
	}
	return float64(total)
}

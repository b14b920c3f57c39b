package policy

import "time"

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 10

// windowedSum sums the amounts added within a sliding window, with the precision of one
// bucket: amounts that are up to one bucket too old still count. The zero value is empty.
type windowedSum struct {
	// buckets holds one sum for each bucket of the window and one for the current bucket.
	// lastBucket is the number of the bucket that was current at the last call of advance.
	buckets    [windowBuckets + 1]float32
	lastBucket int64
}

// advance clears the buckets that have left the window and returns the current one.
func (w *windowedSum) advance(now, window time.Duration) (bucket int64) {
	bucket = int64(now / max(window/windowBuckets, 1))
	for n := max(w.lastBucket+1, bucket-windowBuckets); n <= bucket; n++ {
		w.buckets[n%int64(len(w.buckets))] = 0
	}
	w.lastBucket = max(w.lastBucket, bucket)
	return bucket
}

func (w *windowedSum) add(now, window time.Duration, amount float64) {
	if window > 0 && amount > 0 {
		bucket := w.advance(now, window)
		w.buckets[bucket%int64(len(w.buckets))] += float32(amount)
	}
}

// sum returns the sum of the amounts that may have been added within the window.
func (w *windowedSum) sum(now, window time.Duration) float64 {
	w.advance(now, window)
	total := float32(0)
	for _, s := range w.buckets {
		total += s
	}
	return float64(total)
}

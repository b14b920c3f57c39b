package policy

import "math"

// linkPerCore is the link, in Mbit/s, that carries as many upstream calls a
// second as one core works on: a call has 1.4 KB on the wire and takes 50 us.
const linkPerCore = 220

// Capacity is how much a host can carry, in thousandths of what a core with an
// unlimited link does: its core and its link work one after the other for each
// call, so their times add up. A link of 0 is unlimited.
func Capacity(cores, linkMbits float64) int {
	seconds := 1 / cores
	if linkMbits > 0 {
		seconds += linkPerCore / linkMbits
	}
	return max(int(math.Round(1000/seconds)), 1)
}

package pass

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestInboxes delivers items before, while and after an inbox is open.
func TestInboxes(t *testing.T) {
	var in inboxes[int]
	deliver := func(pushed int, known, taken bool) {
		t.Helper()
		k, ok := in.deliver("one", pushed)
		assert.Equal(t, k, known)
		assert.Equal(t, ok, taken)
	}
	deliver(1, false, false)
	pushed, release := in.open("one", 1)
	deliver(2, true, true)
	deliver(3, true, false)
	assert.Equal(t, <-pushed, 2)
	deliver(4, true, true)
	release()
	deliver(5, false, false)
}

// TestIDsDiffer checks that IDs are unique within and across processes.
func TestIDsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 2 {
		s := newIDSource()
		for range 100 {
			id := s.next()
			assert.Assert(t, !seen[id], id)
			seen[id] = true
		}
	}
}

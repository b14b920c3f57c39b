package pass

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// This file has what the exchanges with relays and coordinators share.

// stopBound is how long telling a host to stop may take.
const stopTimeout = time.Second

// notifyStop tells a host that the result of what it was sent is not wanted any more; the
// context of the request has ended by then.
func (e *engine) notifyStop(host, method string, message any) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return e.kernel.Peers.Notify(ctx, host, method, message)
}

// idBitsSpare is how many of 64 random bits the prefix of IDs does without: with 48
// left, two of 1,000 hosts draw the same once in 500 million times.
const idBitsDropped = 16

// idSource makes the IDs of what is sent to relays and coordinators. It is safe for
// concurrent use.
type idSource struct {
	// prefix begins the IDs of this process; no other process has it.
	prefix string
	count  atomic.Uint64
}

func newIDSource() idSource {
	return idSource{prefix: strconv.FormatUint(rand.Uint64()>>idBitsDropped, 36) + "-"}
}

// next returns an ID that nothing else sent by any host has.
func (s *idSource) next() string { return s.prefix + strconv.FormatUint(s.count.Add(1), 36) }

// inboxes deliver what other hosts push about something that they were sent: a batch or a
// request. It is safe for concurrent use; the zero value is ready.
type inboxes[T any] struct {
	registry[chan T]
}

// open returns what is pushed about an ID, of which so many may wait, until it is
// forgotten.
func (s *inboxes[T]) open(id string, backlog int) (pushed <-chan T, release func()) {
	c := make(chan T, backlog)
	s.add(id, c)
	return c, func() { s.drop(id) }
}

// deliver hands over what was pushed about an ID. known is false if the ID is not under way,
// taken if too much waits already.
func (s *inboxes[T]) deliver(id string, pushed T) (known, taken bool) {
	c := s.find(id)
	if c == nil {
		return false, false
	}
	select {
	case c <- pushed:
		return true, true
	default:
		return true, false
	}
}

// registry holds what is under way, by ID. It is safe for concurrent use; the zero value
// is ready.
type registry[T any] struct {
	// byID holds a T for each ID under way.
	byID sync.Map
}

func (s *registry[T]) add(id string, item T) { s.byID.Store(id, item) }

// find returns the zero value for an ID that ended or was never begun.
func (s *registry[T]) find(id string) T {
	item, _ := s.byID.Load(id)
	found, _ := item.(T)
	return found
}

func (s *registry[T]) drop(id string) { s.byID.Delete(id) }

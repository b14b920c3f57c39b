package pass

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// This file is shared by the relay and coordinator protocols.

// stopTimeout limits the call that tells a host to stop.
const stopTimeout = time.Second

// notifyStop tells a host that the result of a message is no longer wanted. It does not use
// the context of the request, which has ended by then.
func (e *engine) notifyStop(host, method string, message any) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return e.kernel.Peers.Notify(ctx, host, method, message)
}

// idBitsDropped is how many of the 64 random bits the prefix of IDs omits. The 48 bits left
// keep the IDs short, and two of 1,000 hosts draw the same ones once in 500 million times.
const idBitsDropped = 16

// idSource generates the IDs of messages to relays and coordinators. It is safe for
// concurrent use.
type idSource struct {
	// prefix is unique to this process.
	prefix string
	count  atomic.Uint64
}

func newIDSource() idSource {
	return idSource{prefix: strconv.FormatUint(rand.Uint64()>>idBitsDropped, 36) + "-"}
}

// next returns an ID that is unique across hosts.
func (s *idSource) next() string { return s.prefix + strconv.FormatUint(s.count.Add(1), 36) }

// inboxes holds one inbox for each batch or request that was sent to another host, for the
// messages that the host pushes about it. It is safe for concurrent use; the zero value is
// ready to use.
type inboxes[T any] struct {
	registry[chan T]
}

// open returns a channel of what is pushed about an ID, with a buffer of backlog items, and
// a function that closes the inbox.
func (s *inboxes[T]) open(id string, backlog int) (pushed <-chan T, release func()) {
	c := make(chan T, backlog)
	s.add(id, c)
	return c, func() { s.drop(id) }
}

// deliver passes on what was pushed about an ID. known is false if the ID is not in flight;
// taken is false if the buffer is full.
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

// registry holds items in flight by ID. It is safe for concurrent use; the zero value is
// ready to use.
type registry[T any] struct {
	// byID maps each ID to a T.
	byID sync.Map
}

func (s *registry[T]) add(id string, item T) { s.byID.Store(id, item) }

// find returns the item of an ID, or the zero value if there is none.
func (s *registry[T]) find(id string) T {
	item, _ := s.byID.Load(id)
	found, _ := item.(T)
	return found
}

func (s *registry[T]) drop(id string) { s.byID.Delete(id) }

package pass

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// handle serves a method of the protocol between hosts with a typed handler; what is
// the name of the message in the error for one that cannot be read.
func handle[T any](e *Engine, method, what string, serve func(ctx context.Context, in *T) (any, error)) {
	e.kernel.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		var in T
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, fmt.Errorf("bad %s: %w", what, err)
		}
		return serve(ctx, &in)
	})
}

// idBitsSpare is how many of 64 random bits the prefix of IDs does without: with 48
// left, two of 1,000 hosts draw the same once in 500 million times.
const idBitsSpare = 16

// idSource makes the IDs of batches and requests that other hosts carry out. It is safe
// for concurrent use.
type idSource struct {
	// prefix begins the IDs of this process; no other process has it.
	prefix string
	count  atomic.Uint64
}

func newIDSource() idSource {
	return idSource{prefix: strconv.FormatUint(rand.Uint64()>>idBitsSpare, 36) + "-"}
}

// next returns an ID that nothing else sent by any host has.
func (s *idSource) next() string { return s.prefix + strconv.FormatUint(s.count.Add(1), 36) }

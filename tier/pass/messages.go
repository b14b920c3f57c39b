package pass

import (
	"context"
	"encoding/json"
	"fmt"
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

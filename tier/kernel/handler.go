package kernel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Handler serves a method that other entry hosts call.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// PeerCaller calls a method of another entry host.
type PeerCaller interface {
	Call(ctx context.Context, host, method string, params, result any) error
	// Notify sends a one-way message to another entry host.
	Notify(ctx context.Context, host, method string, params any) error
	// Connect opens the connection to another entry host, if there is none, so that
	// the first call does not have to wait for it.
	Connect(ctx context.Context, host string) error
}

// Handle registers the handler of a method that other entry hosts call.
func (k *Kernel) Handle(method string, h Handler) { k.handlers.Store(method, h) }

// HandleMessage registers a typed handler. The error for a message that cannot be decoded
// calls the message what.
func HandleMessage[T any](k *Kernel, method, what string, serve func(ctx context.Context, in *T) (any, error)) {
	k.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		var in T
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, fmt.Errorf("bad %s: %w", what, err)
		}
		return serve(ctx, &in)
	})
}

// Handler returns the handler of a method; nil if there is none.
func (k *Kernel) Handler(method string) Handler {
	h, ok := k.handlers.Load(method)
	if !ok {
		return nil
	}
	return h.(Handler)
}

// errNoPush is returned by Push outside the handler of a call from another host.
var errNoPush = errors.New("no connection to push on: Push works only while serving a call from another host")

// pushKey is the context key of the function set by WithPush.
type pushKey struct{}

// WithPush returns a context for the handler of a call, in which Push uses the given
// function to send messages to the caller.
func WithPush(ctx context.Context, push func(method string, params any) error) context.Context {
	return context.WithValue(ctx, pushKey{}, push)
}

// Push sends a message to the caller of the method being served. The caller's handler of
// the given method receives it, possibly after the answer.
func Push(ctx context.Context, method string, params any) error {
	push, ok := ctx.Value(pushKey{}).(func(method string, params any) error)
	if !ok {
		return errNoPush
	}
	return push(method, params)
}

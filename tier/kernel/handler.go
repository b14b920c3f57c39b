package kernel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Handler serves one method that other entry hosts call.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// PeerCaller calls a method of another entry host.
type PeerCaller interface {
	Call(ctx context.Context, host, method string, params, result any) error
	// Notify sends another entry host a message that has no answer.
	Notify(ctx context.Context, host, method string, params any) error
	// Connect makes the connection to another entry host, if there is none, so that
	// the first call does not wait for it.
	Connect(ctx context.Context, host string) error
}

// Handle serves a method for other entry hosts.
func (k *Kernel) Handle(method string, h Handler) { k.handlers.Store(method, h) }

// HandleMessage serves a method with a typed handler; what is the name of the message in
// the error for one that cannot be read.
func HandleMessage[T any](k *Kernel, method, what string, serve func(ctx context.Context, in *T) (any, error)) {
	k.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		var in T
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, fmt.Errorf("bad %s: %w", what, err)
		}
		return serve(ctx, &in)
	})
}

// Handler finds the handler of a method; nil if there is none.
func (k *Kernel) Handler(method string) Handler {
	h, ok := k.handlers.Load(method)
	if !ok {
		return nil
	}
	return h.(Handler)
}

// errNoPush means that Push was called outside of a call from another host.
var errNoPush = errors.New("no connection to push on: push only while serving a call of another host")

// pushKey is the key under which a context has what WithPush gave it.
type pushKey struct{}

// WithPush gives the handler of a call a function by which Push sends its caller a
// message before the answer.
func WithPush(ctx context.Context, push func(method string, params any) error) context.Context {
	return context.WithValue(ctx, pushKey{}, push)
}

// Push sends the caller of the method that is being served a message, which the
// caller's handler of that other method gets. It may be handled after the answer.
func Push(ctx context.Context, method string, params any) error {
	push, ok := ctx.Value(pushKey{}).(func(method string, params any) error)
	if !ok {
		return errNoPush
	}
	return push(method, params)
}

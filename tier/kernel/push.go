package kernel

import (
	"context"
	"errors"
)

// errNoPush is a call that came without a connection to tell more on.
var errNoPush = errors.New("the call came without a way back")

// PushFunc tells the caller of a method something before the answer.
type PushFunc func(method string, params any) error

type pushKey struct{}

// WithPush gives the handler of a call a way to tell its caller something before
// the answer.
func WithPush(ctx context.Context, push PushFunc) context.Context {
	return context.WithValue(ctx, pushKey{}, push)
}

// Push tells the caller of the method that is being served something; its
// handler of another method gets it. It may be handled after the answer.
func Push(ctx context.Context, method string, params any) error {
	push, ok := ctx.Value(pushKey{}).(PushFunc)
	if !ok {
		return errNoPush
	}
	return push(method, params)
}

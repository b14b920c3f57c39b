package kernel

import (
	"context"
	"errors"
	"fmt"
)

// ErrNoPlugin is wrapped when no plug-in is registered under a name.
var ErrNoPlugin = errors.New("no such plug-in")

// Plugin is one stage of the daemon.
type Plugin interface {
	// Name returns the name of the stage for pipelines, logs and errors.
	Name() string
	// Default sets the defaults of settings that were left out.
	Default(s *Settings)
	// Skip reports whether the stage is not needed with these settings.
	Skip(s *Settings) bool
	// Run starts the stage and returns its cleanup function, which may be nil.
	Run(ctx context.Context, k *Kernel) (func(), error)
}

var plugins = map[string]Plugin{}

// Register registers a plug-in under its name. It must be called from an init function.
func Register(p Plugin) { plugins[p.Name()] = p }

// Pipeline returns the plug-ins with the given names, in that order.
func Pipeline(names []string) ([]Plugin, error) {
	var out []Plugin
	for _, n := range names {
		p, ok := plugins[n]
		if !ok {
			return nil, fmt.Errorf("plug-in %q: %w", n, ErrNoPlugin)
		}
		out = append(out, p)
	}
	return out, nil
}

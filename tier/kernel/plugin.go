package kernel

import (
	"context"
	"errors"
	"fmt"
)

// ErrNoPlugin is wrapped when a pipeline names a plug-in nobody registered.
var ErrNoPlugin = errors.New("no such plug-in")

// Plugin is one stage of the daemon.
type Plugin interface {
	// Name names the stage in logs and errors.
	Name() string
	// Default fills in settings that were left out.
	Default(s *Settings)
	// Skip reports whether the stage has nothing to do.
	Skip(s *Settings) bool
	// Run starts the stage and returns its clean-up, which may be nil.
	Run(ctx context.Context, k *Kernel) (func(), error)
}

var plugins = map[string]Plugin{}

// Register makes a plug-in known; it is called from init functions.
func Register(p Plugin) { plugins[p.Name()] = p }

// Pipeline finds plug-ins by name, in the order given.
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

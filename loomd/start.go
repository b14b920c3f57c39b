package main

import (
	"context"
	"fmt"
	"time"

	"loomgap/tier/kernel"

	// The plug-ins and adapters register themselves.
	_ "loomgap/platform"
	_ "loomgap/tier/entry"
	_ "loomgap/tier/pass"
	_ "loomgap/tier/peers"
)

// pipeline lists the stages of the daemon, in order of start; they are cleaned up in
// the opposite order. Each stage decides by the settings whether it has anything to
// do: with an adapter, Feed and Routes run in place of Platform and Entry.
var pipeline = []string{"Peers", "Platform", "Feed", "Operators", "Entry", "Routes"}

// runPipeline starts all stages and returns the clean-up of all.
func runPipeline(ctx context.Context, k *kernel.Kernel) (func(), error) {
	stages, err := kernel.Pipeline(pipeline)
	if err != nil {
		return nil, err
	}
	for _, p := range stages {
		if p.Default != nil {
			p.Default(&k.Settings)
		}
	}
	var cleanUps []func()
	cleanUp := func() {
		for i := len(cleanUps) - 1; i >= 0; i-- {
			cleanUps[i]()
		}
	}
	for _, p := range stages {
		c, err := logged(skipped(p.Run, p), p)(ctx, k)
		if err != nil {
			cleanUp()
			return nil, err
		}
		if c != nil {
			cleanUps = append(cleanUps, c)
		}
	}
	return cleanUp, nil
}

// run starts a stage and returns its clean-up; nil if it needs none.
type run func(context.Context, *kernel.Kernel) (func(), error)

// skipped leaves out a stage that has nothing to do.
func skipped(next run, p kernel.Plugin) run {
	return func(ctx context.Context, k *kernel.Kernel) (func(), error) {
		if p.Skip != nil && p.Skip(&k.Settings) {
			k.Log.Info().Str("Stage", p.Name).Msg("stage skipped")
			return nil, nil
		}
		return next(ctx, k)
	}
}

// logged logs a stage's start and names the stage in its error.
func logged(next run, p kernel.Plugin) run {
	return func(ctx context.Context, k *kernel.Kernel) (func(), error) {
		started := time.Now()
		c, err := next(ctx, k)
		if err != nil {
			return nil, fmt.Errorf("stage %s: %w", p.Name, err)
		}
		k.Log.Info().Str("Stage", p.Name).Dur("Took", time.Since(started)).Msg("stage started")
		return c, nil
	}
}

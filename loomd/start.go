package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"loomgap/tier/kernel"

	// These packages register their stages and adapters.
	_ "loomgap/platform"
	_ "loomgap/tier/entry"
	_ "loomgap/tier/pass"
	_ "loomgap/tier/peers"
)

// pipeline lists the stages of the daemon in start order; they are cleaned up in reverse
// order. A stage may be skipped depending on the settings: with an adapter, Feed and
// Routes run in place of Platform and Entry.
var pipeline = []string{"Peers", "Platform", "Feed", "Operators", "Entry", "Routes"}

// startPipeline starts all stages. The returned function cleans them up.
func startPipeline(ctx context.Context, k *kernel.Kernel) (func(), error) {
	stages, err := kernel.Pipeline(pipeline)
	if err != nil {
		return nil, err
	}
	for _, p := range stages {
		p.Default(&k.Settings)
	}
	var cleanUps []func()
	cleanUp := func() {
		for _, c := range slices.Backward(cleanUps) {
			c()
		}
	}
	for _, p := range stages {
		c, err := startStage(ctx, k, p)
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

// startStage starts a stage unless the settings skip it. It returns the stage's cleanup
// function, nil if there is none.
func startStage(ctx context.Context, k *kernel.Kernel, p kernel.Plugin) (func(), error) {
	started := time.Now()
	var cleanUp func()
	if p.Skip(&k.Settings) {
		k.Log.Info().Str("Stage", p.Name()).Msg("stage skipped")
	} else {
		var err error
		if cleanUp, err = p.Run(ctx, k); err != nil {
			return nil, fmt.Errorf("stage %s: %w", p.Name(), err)
		}
	}
	k.Log.Info().Str("Stage", p.Name()).Dur("Took", time.Since(started)).Msg("stage started")
	return cleanUp, nil
}

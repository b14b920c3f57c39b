package main

import (
	"os"
	"os/signal"
	"syscall"

	"loomgap/tier/kernel"
)

// stopSignals returns the signals that begin a planned stop, SIGTERM and SIGINT.
// They are taken from the call on, so that none is lost while the host starts.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// waitForStop waits for a signal or a drain command, and returns once the host takes
// no more requests. Those in flight go on: the clean-ups of the stages wait for them,
// for StopBound of the settings at the most.
func waitForStop(k *kernel.Kernel, signals <-chan os.Signal) {
	select {
	case <-signals:
		k.SetPhase(kernel.PhaseDraining)
		k.Stop()
	case <-k.Stopping():
	}
	k.Log.Info().Dur("Settle", k.Settings.Settle).Msg("planned stop begins")
	k.Settle()
}

package main

import (
	"os"
	"os/signal"
	"syscall"

	"loomgap/tier/kernel"
)

// stopSignals returns a channel of the signals that request a planned stop, SIGTERM and
// SIGINT. It is called before the host starts, so that no signal is missed during the
// start.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// waitForStop waits for a signal or a drain command and returns once the host accepts no
// more requests. Requests in flight continue: the cleanup of the stages waits for them,
// up to the setting StopBound.
func waitForStop(k *kernel.Kernel, signals <-chan os.Signal) {
	select {
	case <-signals:
		k.SetPhase(kernel.PhaseDraining)
		k.Stop()
	case <-k.Stopping():
	}
	k.Log.Info().Dur("Settle", k.Settings.Settle).Msg("planned stop started")
	k.Settle()
}

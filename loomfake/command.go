package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
)

var errNotLoopback = errors.New("stand-ins use loopback addresses only: give an address of 127.0.0.0/8 or [::1]")

// logged makes a command of a function: it logs the error and turns it into an exit
// status.
func withExitStatus(run func(context.Context) error) func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	return func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
		err := run(ctx)
		if err == nil {
			return subcommands.ExitSuccess
		}
		log := zerolog.New(os.Stderr).With().Timestamp().Logger()
		log.Error().Err(err).Msg("stand-in not run")
		return subcommands.ExitFailure
	}
}

func listenLoopback(addr netip.AddrPort) (net.Listener, error) {
	if !addr.Addr().IsLoopback() {
		return nil, errNotLoopback
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w: free the address or give another", err)
	}
	return l, nil
}

// Bounds of the stand-ins' connections: far above what a test needs.
const (
	// headerBound is how long the head of a request may take to arrive.
	readHeaderTimeout = time.Minute
	// idleBound is how long a connection may wait for the next request.
	idleTimeout = 2 * time.Minute
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// serveUntilStopped serves until a signal or the longest life.
func serveUntilStopped(l net.Listener, h http.Handler, maxLifetime time.Duration) error {
	s := newServer(h)
	go func() { _ = s.Serve(l) }()
	waitForStop(maxLifetime)
	return s.Close()
}

// waitForStop waits for a signal, or for the longest life.
func waitForStop(maxLifetime time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxLifetime):
	}
}

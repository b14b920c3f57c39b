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

var errNotLoopback = errors.New("stand-ins listen on loopback addresses only: use an address in 127.0.0.0/8 or [::1]")

// withExitStatus adapts a function to a command: it logs the function's error and
// returns the exit status.
func withExitStatus(run func(context.Context) error) func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	return func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
		err := run(ctx)
		if err == nil {
			return subcommands.ExitSuccess
		}
		log := zerolog.New(os.Stderr).With().Timestamp().Logger()
		log.Error().Err(err).Msg("failed to run command")
		return subcommands.ExitFailure
	}
}

func listenLoopback(addr netip.AddrPort) (net.Listener, error) {
	if !addr.Addr().IsLoopback() {
		return nil, errNotLoopback
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w (free the address or use another)", err)
	}
	return l, nil
}

// Timeouts of the stand-ins' HTTP servers. They are long enough never to expire
// during a test.
const (
	readHeaderTimeout = time.Minute
	idleTimeout       = 2 * time.Minute
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// serveUntilStopped serves until SIGTERM or SIGINT arrives or maxLifetime has passed.
func serveUntilStopped(l net.Listener, h http.Handler, maxLifetime time.Duration) error {
	s := newServer(h)
	go func() { _ = s.Serve(l) }()
	waitForStop(maxLifetime)
	return s.Close()
}

// waitForStop waits for SIGTERM or SIGINT, at most for maxLifetime.
func waitForStop(maxLifetime time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxLifetime):
	}
}

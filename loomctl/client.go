package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	goahttp "goa.design/goa/v3/http"

	"loomgap/tier/config"
	entrygen "loomgap/tier/gen/entry"
	entryclient "loomgap/tier/gen/http/entry/client"
	opsclient "loomgap/tier/gen/http/ops/client"
	opsgen "loomgap/tier/gen/ops"
	"loomgap/tier/prog"
)

// envPrefix is the prefix of the environment variables of flags: -Host can be set as
// LOOMCTL_HOST.
const envPrefix = "LOOMCTL_"

// Output formats, the values of -Format.
const (
	formatText = "Text"
	formatJSON = "JSON"
)

const (
	// maxReplyHeadBytes limits the status line and the headers of a host's reply, and
	// maxReplyBytes its body, which may be the status of a large fleet.
	maxReplyHeadBytes = 64 << 10
	maxReplyBytes     = 64 << 20
)

// connection holds the flags shared by all commands that talk to a host.
type connection struct {
	// host is the address of an entry host for callers.
	host netip.AddrPort
	// operate is the address of an entry host for operators.
	operate netip.AddrPort
	// timeout limits the duration of the whole command.
	timeout time.Duration
	// format is formatText or formatJSON after validate has succeeded.
	format string
}

func (c *connection) registerFlags(f *flag.FlagSet) {
	f.TextVar(&c.host, "Host", netip.MustParseAddrPort("127.0.0.1:7400"), "`IP:port` of an entry host for callers")
	f.TextVar(&c.operate, "Operate", netip.MustParseAddrPort("127.0.0.1:7402"), "`IP:port` of an entry host for operators")
	f.DurationVar(&c.timeout, "Timeout", 10*time.Second, "maximum duration of the command")
	f.StringVar(&c.format, "Format", formatText, "output format: Text or JSON")
}

// hostCommand adds the flags of the connection to a command and runs it with the timeout
// in its context.
func (c *connection) hostCommand(d prog.Command) prog.Command {
	flags, run := d.Flags, d.Run
	d.Flags = func(f *flag.FlagSet) {
		c.registerFlags(f)
		if flags != nil {
			flags(f)
		}
	}
	d.Run = func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
		if err := c.validate(f); err != nil {
			return usage(err.Error())
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return run(ctx, f)
	}
	return d
}

// validate sets flags from the environment and returns an error for an invalid value.
func (c *connection) validate(f *flag.FlagSet) error {
	var bad *config.VariableError
	if err := config.SetFlagsFromEnv(f, envPrefix, os.LookupEnv); errors.As(err, &bad) {
		return fmt.Errorf("invalid environment: %w (correct the %s variable)", bad.Err, envPrefix)
	}
	if c.format != formatText && c.format != formatJSON {
		return fmt.Errorf("invalid -Format %q (use Text or JSON)", c.format)
	}
	return nil
}

func (c *connection) doer() goahttp.Doer {
	t := &http.Transport{MaxResponseHeaderBytes: maxReplyHeadBytes}
	return &http.Client{Timeout: c.timeout, Transport: limitedReplies{t}}
}

// limitedReplies limits the bodies of replies.
type limitedReplies struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (l limitedReplies) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	return resp, nil
}

func (c *connection) entry() *entrygen.Client {
	h := entryclient.NewClient("http", c.host.String(), c.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return entrygen.NewClient(h.Ask(), h.Ticket(), h.Order())
}

func (c *connection) ops() *opsgen.Client {
	h := opsclient.NewClient("http", c.operate.String(), c.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return opsgen.NewClient(h.Status(), h.Document(), h.Ready(), h.Drain())
}

// hostError returns an error with the kind and message of a fault reported by a host. It
// returns other errors unchanged.
func hostError(err error) error {
	var f *entrygen.Fault
	if errors.As(err, &f) {
		return fmt.Errorf("%s: %s", f.Kind, f.Message)
	}
	return err
}

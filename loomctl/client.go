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

// envPrefix begins the environment variable of each flag: -Host is
// LOOMCTL_HOST.
const envPrefix = "LOOMCTL_"

// Forms of the output, as -Format names them.
const (
	formatText = "Text"
	formatJSON = "JSON"
)

// connection holds the flags that all commands to a host share.
type connection struct {
	// host is the callers' address of an entry host, operate the operators'.
	host    netip.AddrPort
	operate netip.AddrPort
	// timeout bounds the whole command.
	timeout time.Duration
	// format is formatText or formatJSON once check has passed.
	format string
}

func (c *connection) bind(f *flag.FlagSet) {
	f.TextVar(&c.host, "Host", netip.MustParseAddrPort("127.0.0.1:7400"), "callers' `IP:port` of an entry host")
	f.TextVar(&c.operate, "Operate", netip.MustParseAddrPort("127.0.0.1:7402"), "operators' `IP:port` of an entry host")
	f.DurationVar(&c.timeout, "Timeout", 10*time.Second, "longest wait for the host")
	f.StringVar(&c.format, "Format", formatText, "Text or JSON")
}

// hostCommand adds the flags of the connection to a command. What it runs has the time
// limit in its context.
func (c *connection) hostCommand(d prog.Command) prog.Command {
	flags, run := d.Flags, d.Run
	d.Flags = func(f *flag.FlagSet) {
		c.bind(f)
		if flags != nil {
			flags(f)
		}
	}
	d.Run = func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
		if err := c.check(f); err != nil {
			return usage(err.Error())
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return run(ctx, f)
	}
	return d
}

// check fills in the environment and finds wrong values.
func (c *connection) check(f *flag.FlagSet) error {
	var bad *config.VariableError
	if err := config.SetFlagsFromEnv(f, envPrefix, os.LookupEnv); errors.As(err, &bad) {
		return fmt.Errorf("environment: %w: correct the %s variable", bad.Err, envPrefix)
	}
	if c.format != formatText && c.format != formatJSON {
		return fmt.Errorf("-Format %q: use Text or JSON", c.format)
	}
	return nil
}

func (c *connection) doer() goahttp.Doer { return &http.Client{Timeout: c.timeout} }

func (c *connection) entry() *entrygen.Client {
	h := entryclient.NewClient("http", c.host.String(), c.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return entrygen.NewClient(h.Ask(), h.Ticket(), h.Order())
}

func (c *connection) ops() *opsgen.Client {
	h := opsclient.NewClient("http", c.operate.String(), c.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return opsgen.NewClient(h.Status(), h.Document(), h.Ready(), h.Drain())
}

// explain returns the kind and message of a typed error of a host, else the error
// itself.
func explain(err error) error {
	var f *entrygen.Fault
	if errors.As(err, &f) {
		return fmt.Errorf("%s: %s", f.Kind, f.Message)
	}
	return err
}

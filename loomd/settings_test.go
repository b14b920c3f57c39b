package main

import (
	"errors"
	"flag"
	"io"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
	"loomgap/tier/policy"
)

var goodFlags = []string{
	"-Host", "H1", "-Hall", "Quito1", "-Listen", "127.0.0.1:7400", "-Operate", "127.0.0.1:7402",
	"-Peer", "127.0.0.1:7401", "-Platform", "127.0.0.1:7300",
}

func settings(args []string) (kernel.Settings, error) {
	var s kernel.Settings
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	registerFlags(f, &s)
	if err := f.Parse(args); err != nil {
		return s, err
	}
	if err := setFlagsFromEnvironment(f, ""); err != nil {
		return s, err
	}
	return s, validateSettings(&s)
}

func TestSettings(t *testing.T) {
	tests := []struct {
		name  string
		extra []string
		env   map[string]string
		flag  string
	}{
		{name: "good"},
		{name: "from the environment", env: map[string]string{"LOOMD_SETTLE": "3s"}},
		{name: "bad environment", env: map[string]string{"LOOMD_BEAT": "soon"}, flag: "Beat"},
		{name: "no host", extra: []string{"-Host", ""}, flag: "Host"},
		{name: "beat too short", extra: []string{"-Beat", "1ms"}, flag: "Beat"},
		{name: "tickets too long", extra: []string{"-TicketLife", "48h"}, flag: "TicketLife"},
		{name: "trace ratio", extra: []string{"-TraceRatio", "2"}, flag: "TraceRatio"},
		{name: "settles for less than it must", extra: []string{"-Settle", "2s", "-SettleMost", "1s"}, flag: "SettleMost"},
		{name: "asked too often", extra: []string{"-SettleAsks", "-1"}, flag: "SettleAsks"},
		{name: "regions", extra: []string{"-Regions", "H1=East,H2=West"}},
		{name: "region without a hall", env: map[string]string{"LOOMD_REGIONS": "East"}, flag: "Regions"},
		{name: "cold factor", extra: []string{"-ColdFactor", "-1"}, flag: "ColdFactor"},
		{name: "cold slack", extra: []string{"-ColdSlack", "-1"}, flag: "ColdSlack"},
		{name: "unknown overload control", env: map[string]string{"LOOMD_OVERLOAD": "shortage"}, flag: "Overload"},
		{name: "empty overload control", env: map[string]string{"LOOMD_OVERLOAD": ""}, flag: "Overload"},
		{name: "stop bound", extra: []string{"-StopBound", "0s"}, flag: "StopBound"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for n, v := range tt.env {
				t.Setenv(n, v)
			}
			s, err := settings(append(append([]string{}, goodFlags...), tt.extra...))
			if tt.flag == "" {
				assert.NilError(t, err)
				assert.Assert(t, tt.env == nil || s.Settle == 3*time.Second)
				return
			}
			var typed *settingError
			assert.Assert(t, errors.As(err, &typed), "%v", err)
			assert.Equal(t, typed.Flag, tt.flag)
			assert.Assert(t, typed.Remedy != "")
			assert.ErrorIs(t, err, errInvalidSetting)
		})
	}
}

// TestOverloadControl requires that only the words of the setting are accepted: a misspelt
// one must not start a host without overload control.
func TestOverloadControl(t *testing.T) {
	s, err := settings(goodFlags)
	assert.NilError(t, err)
	assert.Equal(t, s.Overload, policy.OverloadNone)
	for _, c := range []policy.OverloadControl{policy.OverloadNone, policy.OverloadShortage} {
		s, err := settings(append(slices.Clone(goodFlags), "-Overload", string(c)))
		assert.NilError(t, err)
		assert.Equal(t, s.Overload, c)
	}
	_, err = settings(append(slices.Clone(goodFlags), "-Overload", "On"))
	assert.ErrorContains(t, err, `unknown overload control "On": use None or Shortage`)
}

func TestLaterProcessHasLargerIncarnation(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, incarnation(now) < incarnation(now.Add(time.Millisecond)))
}

func TestPipelineIsRegistered(t *testing.T) {
	_, err := kernel.Pipeline(pipeline)
	assert.NilError(t, err)
}

package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// fullDocument returns a valid document with two elements of most kinds.
func fullDocument(t *testing.T) *Document {
	t.Helper()
	d, err := Decode(validDocument(t))
	assert.NilError(t, err)
	d.Classes = append(d.Classes, DefaultClass())
	d.Classes[1].Name = "Second"
	d.Hosts = append(d.Hosts, Host{Name: "H2", Hall: "Quito2", Peer: netip.MustParseAddrPort("[::1]:7402")})
	d.Services = append(d.Services, Service{Name: "Empty", KeySpace: 1, Shards: []Shard{{Name: "E", To: 1, Replicas: []string{"U1"}}}})
	d.Groups = []Group{
		{Name: "A", Connections: 1, HealthPath: "/ok", Warmup: Duration(time.Second), ColdRate: 1.5}, {Name: "B", Connections: 2},
	}
	limit := Duration(time.Second)
	d.Routes = []Route{
		{
			Name: "R1", HostName: "x.example", Prefix: "/a/", Repeatable: true, MaxAttempts: 2, TimeLimit: limit, Objective: limit,
			Priority: 1, Gather: &Gather{Groups: []string{"A", "B"}, Top: 5, Coverage: 0.5}, Homes: []string{"East", "West"},
		},
		{
			Name: "R2", HostName: "x.example", Prefix: "/b/", MaxAttempts: 1, TimeLimit: limit, Objective: limit,
			Split: []WeightedGroup{{Group: "A", Weight: 1}, {Group: "B", Weight: 2}},
		},
	}
	d.Limits = Limits{Header: 1, Body: 2, HeaderTime: limit, Idle: limit}
	return d
}

func TestDocumentFormat(t *testing.T) {
	var out strings.Builder
	for _, d := range []*Document{{}, fullDocument(t), {Limits: Limits{Body: 1}}, {Groups: []Group{{Name: "A"}}}} {
		assert.Assert(t, d.Based == 0)
		text, err := Encode(d)
		assert.NilError(t, err)
		out.Write(text)
	}
	golden.Assert(t, out.String(), "documents.golden")
}

// TestCheckErrorTexts checks the text of each error of Check.
func TestCheckErrorTexts(t *testing.T) {
	changes := []func(d *Document){
		func(d *Document) { d.Based = 3 },
		func(d *Document) { d.Classes[1].Name = "9" },
		func(d *Document) { d.Classes[1].Name = "Search" },
		func(d *Document) { d.Classes[1].Deadline = 0 },
		func(d *Document) { d.Classes[1].MaxDeadline = 1 },
		func(d *Document) { d.Classes[1].Margin = -1 },
		func(d *Document) { d.Classes[1].Worth = 0 },
		func(d *Document) { d.Classes[1].Coverage = 2 },
		func(d *Document) { d.Classes[1].Patience = -1 },
		func(d *Document) { d.Classes[1].Hedge = "Now" },
		func(d *Document) { d.Classes[1].HedgeQuantile = 0.5 },
		func(d *Document) { d.Classes[1].HedgeBudget = 1 },
		func(d *Document) { d.Classes[1].Choice = "Best" },
		func(d *Document) { d.Classes[1].Admission = "All" },
		func(d *Document) { d.Classes[1].MaxInFlight = 0 },
		func(d *Document) { d.Hosts[1].Name = "" },
		func(d *Document) { d.Hosts[1].Name = "H1" },
		func(d *Document) { d.Hosts[1].Hall, d.Hosts[1].Peer = "", netip.AddrPort{} },
		func(d *Document) { d.Hosts[1].Peer = netip.AddrPort{} },
		func(d *Document) { d.Hosts[1].Peer = netip.MustParseAddrPort("127.0.0.1:0") },
		func(d *Document) { d.Upstreams[1].Name = "U1" },
		func(d *Document) { d.Upstreams[1].Hall, d.Upstreams[1].Slots = "-", 0 },
		func(d *Document) { d.Upstreams[1].Address = netip.AddrPort{} },
		func(d *Document) { d.Upstreams[1].Slots = maxSlots + 1 },
		func(d *Document) { d.Upstreams[1].Connections = 1 },
		func(d *Document) { d.Upstreams[1].Address = d.Upstreams[0].Address },
		func(d *Document) { d.Services[1].Name = "Orders" },
		func(d *Document) { d.Services[0].KeySpace = 0 },
		func(d *Document) { d.Services[0].Shards[1].Name = "S1" },
		func(d *Document) { d.Services[0].Shards[0].From, d.Services[0].Shards[0].To = 10, 20 },
		func(d *Document) { d.Services[0].Shards[1].To = 10 },
		func(d *Document) { d.Services[0].Shards[1].From = 9 },
		func(d *Document) { d.Services[0].Shards[1].From = 11 },
		func(d *Document) { d.Services[0].KeySpace = 21 },
		func(d *Document) { d.Services[0].Shards[1].Replicas = nil },
		func(d *Document) { d.Services[0].Shards[1].Replicas[0] = "U9" },
		func(d *Document) { d.Services[0].Shards[0].Replicas[1] = "U1" },
		func(d *Document) { d.Groups[1].Name = "A" },
		func(d *Document) { d.Groups[1].Connections, d.Routes[1].Name = 0, "R1" },
		func(d *Document) { d.Groups[1].Connections, d.Routes[1].HostName = 0, "" },
		func(d *Document) { d.Groups[1].Warmup = -1 },
		func(d *Document) { d.Groups[1].ColdRate = -1 },
		func(d *Document) { d.Routes[1].HostName = "" },
		func(d *Document) { d.Routes[1].Prefix = "/b" },
		func(d *Document) { d.Routes[1].MaxAttempts = 0 },
		func(d *Document) { d.Routes[1].TimeLimit = 0 },
		func(d *Document) { d.Routes[1].Objective = 0 },
		func(d *Document) { d.Routes[1].Group = "A" },
		func(d *Document) { d.Routes[1].Split = nil },
		func(d *Document) { d.Routes[1].Split[0].Weight = -1 },
		func(d *Document) { d.Routes[1].Split[0].Weight, d.Routes[1].Split[1].Weight = 0, 0 },
		func(d *Document) { d.Routes[0].Gather.Top = 0 },
		func(d *Document) { d.Routes[0].Gather.Coverage = 2 },
		func(d *Document) { d.Routes[0].Gather.Groups = nil },
		func(d *Document) { d.Routes[0].Repeatable = false },
		func(d *Document) { d.Routes[0].Gather.Groups[1] = "C" },
		func(d *Document) { d.Routes[0].Gather.Groups[1] = "A" },
		func(d *Document) { d.Routes[0].Homes[1] = "" },
		func(d *Document) { d.Routes[0].Homes[1] = "East" },
		func(d *Document) { d.Routes[1].Prefix = "/a/" },
	}
	var out strings.Builder
	assert.NilError(t, Check(fullDocument(t), 1))
	for _, change := range changes {
		d := fullDocument(t)
		change(d)
		fmt.Fprintln(&out, Check(d, 1))
	}
	golden.Assert(t, out.String(), "faults.golden")
}

// TestDecodeErrorTexts omits problem texts of the JSON library, which differ
// from one process to another.
func TestDecodeErrorTexts(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"", " \n", "[]", strings.Repeat(" ", MaxBytes+1), "{\n\"Based\": }", `{"Based": 0, "Based": 1}`, "{\n\n\"Basis\": 0}",
		"{\"Classes\": [\n{\"Deadline\": 5}]}", `{"Classes": [{"Deadline": "5"}]}`, `{"Hosts": 1}`, `{"Based": -1}`, `{} {}`, `{`,
	} {
		_, err := Decode([]byte(text))
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		fmt.Fprintln(&out, e.Kind, e.Field, e.Line, e.Remedy)
	}
	for _, text := range []string{"", " \n", "[]", strings.Repeat(" ", MaxBytes+1)} {
		_, err := Decode([]byte(text))
		fmt.Fprintln(&out, err)
	}
	fmt.Fprintln(&out, digest(nil), digest([]byte("text")))
	golden.Assert(t, out.String(), "syntax.golden")
}

// encoded returns a value in the encoding that hosts send.
func encoded(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	assert.NilError(t, err)
	return string(text)
}

func TestDirectoryFormat(t *testing.T) {
	var none *Directory
	empty, _ := none.With(&DirectoryChange{Revision: 1})
	some, _ := empty.With(&DirectoryChange{
		Revision: 9, Evacuated: []Evacuation{{Hall: "Q", Revision: 2}}, Removed: []Removal{{Name: "Z", Revision: 3}}, Listed: []Listing{
			{Name: "B", Group: "G", Hall: "Q", Revision: 4}, {Name: "A", Group: "G", Hall: "P", Revision: 5}, {Name: "C", Revision: 6},
		},
	})
	var out strings.Builder
	lone := Listing{Name: "A"}
	for _, d := range []*Directory{none, empty, some} {
		l, found := d.Find("A")
		fmt.Fprintln(&out, encoded(t, d.Whole()), encoded(t, d.All()), encoded(t, d.Group("G")), encoded(t, l), found, d.Size(), d.UpstreamsPerHall(),
			d.Digest(), d.Evacuated("Q"), encoded(t, d.EvacuatedHalls()),
			encoded(t, d.ImpliedRemovals(&DirectoryChange{Revision: 9, Listed: []Listing{lone, {Name: "B"}}})),
			encoded(t, d.ImpliedResumptions(&DirectoryChange{Revision: 9})))
		for _, old := range []*Directory{none, empty, some} {
			change := d.Since(old)
			slices.SortFunc(change.Listed, byName) // a change is in no order
			fmt.Fprintln(&out, encoded(t, change))
		}
	}
	golden.Assert(t, out.String(), "directories.golden")
}

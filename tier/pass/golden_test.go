package pass

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/query"
)

// messages are the messages between hosts, with every field set.
var messages = []any{
	&batchRequest{
		ID: "b-1", Route: "Find", RequestID: "r-1", Method: "POST", Head: "POST / HTTP/1.1\r\n", Body: []byte("body"),
		Upstreams: []string{"U1", "U2"}, Top: 50, TotalParts: 25, FirstMillis: 40, DeadlineMillis: 900, Rank: 2, ObjectiveMillis: 250, Loads: true,
		ReportMillis: 20, Trace: "00-trace",
	},
	&batchReply{
		ID: "b-1",
		Ended: []callReport{
			{Index: 1, Stamp: "stamp", TookMicros: 1500},
			{Index: 2, Outcome: string(policy.CallStalled), TookMicros: 7},
		},
		Records: []byte("0123456789abcdef"), OmittedID: 2, Due: true, ProgressSent: 3,
		Conditions: []policy.Condition{{Upstream: "U1", Slowness: 4, FaultPercent: 30}}, HeldMicros: 2500,
	},
	&callReport{Index: 1, Stamp: "stamp", Outcome: string(policy.CallOK), TookMicros: 1500, Load: []int{2, 5, 2}, QueuedMicros: 700},
	&batchStop{ID: "b-1", CallerGone: true},
	&recordsRequest{ID: "b-1", OmittedID: 2},
	&recordsReply{Records: []byte("0123456789abcdef")},
	&coordinateRequest{
		ID: "f-1", RequestID: "r-1", HostName: "shop.example", Path: "/find/x", Route: 1 << 63, Method: "POST",
		Head: "POST / HTTP/1.1\r\n", Body: []byte("body"), Caller: netip.MustParseAddr("192.0.2.1"),
		SpentMicros: 1500, LeftMillis: 900, Trace: "00-trace", MayDecline: true, SpentBeforeMicros: 2500,
	},
	&coordinateReply{
		Declined: declineNotBegun, Status: 200, Outcome: outcomePartial, Header: map[string]string{"X-Missing": "1"},
		Body: []byte("body"), HeldMicros: 2500, Room: &roomReport{InFlight: 5, Places: 6, Waiting: 7},
	},
	&coordinateHeartbeat{ID: "f-1", Room: &roomReport{InFlight: 5, Places: 6, Waiting: 7}},
	&roomReport{InFlight: 5, Places: 6, Waiting: 7},
	&coordinateID{ID: "f-1"},
}

// TestMessagesBetweenHosts pins the JSON of each message, with every field set and with
// none, and checks that it decodes to the same value. Hosts of different versions must
// understand each other.
func TestMessagesBetweenHosts(t *testing.T) {
	var b strings.Builder
	for _, full := range messages {
		kind := reflect.TypeOf(full).Elem()
		for i := range kind.NumField() {
			assert.Assert(t, !reflect.ValueOf(full).Elem().Field(i).IsZero(), "%s.%s is not set", kind.Name(), kind.Field(i).Name)
		}
		for _, message := range []any{full, reflect.New(kind).Interface()} {
			text, err := json.Marshal(message)
			assert.NilError(t, err)
			fmt.Fprintf(&b, "%s\n", text)
			back := reflect.New(kind).Interface()
			assert.NilError(t, json.Unmarshal(text, back))
			assert.Assert(t, reflect.DeepEqual(back, message), "%s", text)
		}
	}
	golden.Assert(t, b.String(), "messages.golden")
}

// TestMethodsBetweenHosts pins the names of the methods and checks that each has a handler.
func TestMethodsBetweenHosts(t *testing.T) {
	methods := map[string]string{
		methodBatch: "Gather", methodBatchProgress: "GatherProgress", methodBatchStop: "GatherStop", methodRecords: "GatherRecords",
		methodCoordinate: "Forward", methodCoordinateHeartbeat: "ForwardSign", methodCoordinateBegin: "ForwardBegin", methodCoordinateStop: "ForwardStop",
	}
	h := newHost(t, hostConfig{name: "H1", hall: "A"})
	for got, want := range methods {
		assert.Equal(t, got, want)
		assert.Assert(t, h.kernel.Handler(want) != nil, want)
	}
}

// TestOutcomeNames pins the values that appear in logs, metrics and messages.
func TestOutcomeNames(t *testing.T) {
	assert.DeepEqual(t, []outcome{
		outcomeServed, outcomePartial, outcomeFailed, outcomeNotRun, outcomeUnknown, outcomeLate, outcomeNoRoute,
		outcomeInvalid, outcomeCancelled, outcomeBelowCoverage, outcomeTooLarge,
	}, []outcome{
		"Served", "Partial", "Failed", "NotRun", "Unknown", "Late", "NoRoute",
		"Invalid", "GivenUp", "BelowCoverage", "TooLarge",
	})
	assert.DeepEqual(t, []declineReason{declineStopping, declineRoute, declineNotBegun, declineBusy}, []declineReason{"Stopping", "Route", "NotBegun", "Busy"})
}

// observation collects the responses and log lines of some requests.
type observation struct {
	responses strings.Builder
	// logs is the set of log messages with the names of their fields.
	logs map[string]bool
}

// addResponse adds the status, headers and body of a response.
func (o *observation) addResponse(name string, r result) {
	body := r.body
	if strings.HasPrefix(r.header.Get("Content-Type"), "application/octet-stream") {
		body = fmt.Sprint(len(body), " bytes")
	}
	if r.header.Get(names.Parts) != "" {
		// The order of the stamps varies.
		r.header.Set(names.Parts, fmt.Sprint(len(sortedStamps(r)), " stamps"))
	}
	var headers []string
	for _, n := range slices.Sorted(maps.Keys(r.header)) {
		if n != "Date" && n != "Retry-After" {
			n += "=" + r.header.Get(n)
		}
		headers = append(headers, n)
	}
	fmt.Fprintf(&o.responses, "%s: %d %q\n  %s\n", name, r.status, body, strings.Join(headers, "\n  "))
}

// addLog adds the lines of a log.
func (o *observation) addLog(t *testing.T, log *lockedBuffer) {
	for _, text := range strings.Split(strings.TrimSpace(log.String()), "\n") {
		var line map[string]any
		assert.NilError(t, json.Unmarshal([]byte(text), &line))
		if line["RequestID"] == nil {
			continue
		}
		message := fmt.Sprint(line["message"])
		if outcome := line["Outcome"]; outcome != nil && message != "call ended" {
			message += " " + fmt.Sprint(outcome)
		}
		delete(line, "message")
		o.logs[message+": "+strings.Join(slices.Sorted(maps.Keys(line)), " ")] = true
	}
}

// observeSingle sends requests to one group that end with each outcome.
func (o *observation) observeSingle(t *testing.T) {
	var log lockedBuffer
	h := newHost(t, hostConfig{name: "H1", hall: "A", log: &log})
	o.addResponse("no configuration", h.send(http.MethodGet, "/read/", "early", 2000, ""))
	h.applyDocument(singleDoc())
	o.addResponse("no directory", h.send(http.MethodGet, "/read/", "alone", 2000, ""))
	u := newFakeUpstream(t, "U1", good("well"))
	h.listUpstream("Orders", "A", u, false)
	o.addResponse("no upstream of the group", h.send(http.MethodGet, "/read/deep/", "deep", 2000, ""))
	send := func(name string, reply replyFunc) {
		u.mu.Lock()
		u.reply = reply
		u.mu.Unlock()
		o.addResponse(name, h.send(http.MethodPost, "/place/", name, 2000, "b"))
	}
	send("served", good("well"))
	send("failed", fail(500, false))
	send("shed", fail(503, true))
	send("promise-without-word", fail(503, false))
	send("reset", reset)
	o.addResponse("no route", h.send(http.MethodPost, "/none/", "no-route", 2000, "b"))
	o.addResponse("no ID", h.send(http.MethodPost, "/place/", "", 2000, "b"))
	o.addResponse("bad deadline", h.send(http.MethodPost, "/place/", "bad", 0, "b"))
	o.addResponse("too large", h.send(http.MethodPost, "/place/", "large", 2000, strings.Repeat("b", 1001)))
	h.evacuate("A")
	up := h.kernel.Fleet.Find("U1")
	assert.Assert(t, !h.engine.admits(h.kernel.Now(), &call{route: "Read", id: "barred"}, up))
	o.addLog(t, &log)
}

// longObjectiveDoc returns gatherDoc with an objective that a busy machine meets, so that
// responses include all available parts.
func longObjectiveDoc(coverage float64, top int) config.Document {
	d := gatherDoc(coverage, top)
	d.Routes[0].TimeLimit, d.Routes[0].Objective = 20000*millisecond, 10000*millisecond
	return d
}

// observeForwarded forwards a gather to a coordinator in each of its states.
func (o *observation) observeForwarded(t *testing.T) {
	soon := heartbeatTimeouts{first: time.Millisecond, next: testTimeout}
	cases := []struct {
		name   string
		change func(f *forwardSetup)
	}{
		{"forwarded", func(*forwardSetup) {}},
		{"forwarded, cut off", func(f *forwardSetup) { f.network.unreachable["Strong"] = true }},
		{"forwarded, frozen", func(f *forwardSetup) {
			f.network.unresponsive["Strong"] = true
			f.weak.engine.coordinate.heartbeat = soon
		}},
		{"forwarded, not told to begin", func(f *forwardSetup) { f.network.failingMethods = map[string]bool{methodCoordinateBegin: true} }},
		{"forwarded, stopping", func(f *forwardSetup) { f.strong.kernel.SetPhase(kernel.PhaseDraining) }},
		{"forwarded, refused", func(f *forwardSetup) {
			f.strong.do(func(s *kernel.State) { s.ApplyDirectoryChange(&config.DirectoryChange{Revision: 1000, Whole: true}) })
		}},
		{"forwarded, lost", func(f *forwardSetup) {
			for _, us := range f.upstreams {
				for _, u := range us {
					u.reply = hang
				}
			}
			f.network.pushesLeft = 1
			f.weak.engine.coordinate.heartbeat.next = 300 * time.Millisecond
		}},
	}
	for _, c := range cases {
		var log lockedBuffer
		f := newForwardSetupWithLog(t, replyWithPart, &log)
		f.weak.applyDocument(longObjectiveDoc(0.8, 15))
		f.strong.applyDocument(longObjectiveDoc(0.8, 15))
		c.change(f)
		o.addResponse(c.name, f.weak.send(http.MethodGet, "/find/x", "one", 15000, ""))
		o.addLog(t, &log)
	}
}

// observeRelayed has a host of another hall make the calls of a gather.
func (o *observation) observeRelayed(t *testing.T) {
	cases := []struct {
		name   string
		change func(w *network)
	}{
		{"relayed", func(*network) {}},
		{"relayed, cut off", func(w *network) { w.unreachable["Far"] = true }},
		{"relayed, records cut off", func(w *network) { w.failingMethods = map[string]bool{methodRecords: true} }},
	}
	for _, c := range cases {
		var log lockedBuffer
		w := newNetwork()
		h := newHost(t, hostConfig{name: "H1", hall: "A", peers: w, log: &log})
		far := newHost(t, hostConfig{name: "Far", hall: "B", peers: w})
		w.hosts["Far"] = far
		c.change(w)
		for s := range shards {
			hall, text := "A", shardRecords(s)
			if s >= shards/2 {
				hall, text = "B", strings.ReplaceAll(shardRecords(s), ".", "z")
			}
			if s >= shards/2 && w.failingMethods != nil {
				// The records of this hall sort before all others.
				text = regexp.MustCompile(".{16}").ReplaceAllStringFunc(text, func(r string) string { return "z" + r[1:] })
			}
			h.listUpstream(fmt.Sprint("S", s), hall, newFakeUpstream(t, fmt.Sprint("U", s), good(text)), false)
		}
		d := longObjectiveDoc(0.4, 25)
		h.applyDocument(d)
		far.share(h, d)
		h.addMember(far)
		o.addResponse(c.name, h.send(http.MethodGet, "/find/x", "one", 15000, ""))
		o.addLog(t, &log)
	}
}

// TestResponsesLogsAndMetrics pins the responses to callers with their headers, the fields
// of the log lines of requests, and the metrics.
func TestResponsesLogsAndMetrics(t *testing.T) {
	o := &observation{logs: map[string]bool{}}
	o.observeSingle(t)
	o.observeForwarded(t)
	o.observeRelayed(t)
	golden.Assert(t, o.responses.String(), "answers.golden")
	golden.Assert(t, strings.Join(slices.Sorted(maps.Keys(o.logs)), "\n")+"\n", "logs.golden")

	label := regexp.MustCompile(`="[^"]*"`)
	of := regexp.MustCompile(`^loomgap_(routed|carried|relayed|calls_barred)_`)
	seen := map[string]bool{}
	for _, name := range metrics.ListMetricNames() {
		if of.MatchString(name) {
			seen[label.ReplaceAllString(name, "")] = true
		}
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(seen)), []string{
		"loomgap_calls_barred_total{Reason}", "loomgap_carried_requests_total", "loomgap_relayed_calls_total",
		"loomgap_routed_seconds{Route,Outcome}", "loomgap_routed_total{Route,Outcome}",
	})
	assert.Assert(t, slices.Contains(metrics.ListMetricNames(), `loomgap_calls_barred_total{Reason="`+string(query.ReasonEvacuated)+`"}`))
}

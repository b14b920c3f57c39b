package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

// scenarioCommands are the commands of scenarios besides those of testscript.
var scenarioCommands = map[string]command{
	// tier HOSTS SHARDS [flags of loomfake upstream]: starts the platform, the upstreams,
	// the links and the hosts. The environment variable DOCUMENT holds flags of loomfake
	// document.
	"tier": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		hosts, shards := atoi(ts, args[0]), atoi(ts, args[1])
		s.env = daemonEnv(ts)
		s.documentFlags = strings.Fields(ts.Getenv("DOCUMENT"))
		return s.startTier(hosts, shards, args[2:])
	}),
	// host N [flags of loomd]: starts entry host N.
	"host": scenarioCommand(1, func(s *scenario, ts *testscript.TestScript, args []string) error {
		n := atoi(ts, args[0])
		if err := s.startHost(n, args[1:]...); err != nil {
			return err
		}
		return s.awaitReady(n)
	}),
	// daemon NAME: starts hosts with that program from now on.
	"daemon": scenarioCommand(1, func(s *scenario, _ *testscript.TestScript, args []string) error {
		s.daemon = args[0]
		return nil
	}),
	// memory MB NAME...: checks that no process of those has taken more resident memory so far.
	"memory": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		for _, name := range args[1:] {
			peak, err := peakResidentMB(s.processes[name].command.Process.Pid)
			if err != nil {
				return err
			}
			ts.Logf("%s had %d MB at most", name, peak)
			if peak > atoi(ts, args[0]) {
				return fmt.Errorf("%s had %d MB", name, peak)
			}
		}
		return nil
	}),
	// signal NAME STOP|CONT|KILL|TERM: signals a process. KILL and TERM wait for its end.
	"signal": scenarioCommand(2, func(s *scenario, _ *testscript.TestScript, args []string) error {
		return s.signal(args[0], args[1])
	}),
	// fake U3|L1|P JSON: sets faults of an upstream, the link to a host, or the platform.
	"fake": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		at, n := s.platformAddress(), 0
		if args[0] != "P" {
			n = atoi(ts, args[0][1:])
		}
		switch args[0][0] {
		case 'U':
			at = s.upstreamAddress(n)
		case 'L':
			at = s.linkAdminAddress(n)
		}
		return call(http.MethodPost, at+"/Fake", args[1], nil)
	}),
	// live NAME STATE: sets an entry of the platform's live list.
	"live": scenarioCommand(2, func(s *scenario, _ *testscript.TestScript, args []string) error {
		return call(http.MethodPost, s.platformAddress()+"/SetLive", fmt.Sprintf(`{"Name":%q,"State":%q}`, args[0], args[1]), nil)
	}),
	// restore JSON: restores the platform from a backup.
	"restore": scenarioCommand(1, func(s *scenario, _ *testscript.TestScript, args []string) error {
		return call(http.MethodPost, s.platformAddress()+"/Restore", args[0], nil)
	}),
	// publish FILE: publishes a document.
	"publish": scenarioCommand(1, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return call(http.MethodPost, s.platformAddress()+"/Publish", ts.ReadFile(args[0]), nil)
	}),
	// revision R N...: waits until revision R is active at hosts N.
	"revision": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return s.awaitRevision(uint64(atoi(ts, args[0])), atoiAll(ts, args[1:]))
	}),
	// members N HOST STATE: waits until host N lists HOST in STATE.
	"members": scenarioCommand(3, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return waitUntil("member "+args[1]+" "+args[2], func() bool { return s.memberState(atoi(ts, args[0]), args[1]) == args[2] })
	}),
	// orders CLIENTS EACH N...: each client places EACH orders at hosts N in the
	// background. EACH 0 means until finish.
	"orders": scenarioCommand(3, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return s.runInBackground(atoi(ts, args[1]) == 0, s.placeOrders(atoi(ts, args[0]), atoi(ts, args[1]), atoiAll(ts, args[2:])))
	}),
	// counts CLIENTS EACH N...: each client counts the records EACH times at hosts N in
	// the background. EACH 0 means until finish.
	"counts": scenarioCommand(3, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return s.runInBackground(atoi(ts, args[1]) == 0, s.countRecords(atoi(ts, args[0]), atoi(ts, args[1]), atoiAll(ts, args[2:])))
	}),
	// finish OUTCOME[=N]...: waits for the background clients and checks their history
	// and the number of these outcomes.
	"finish": scenarioCommand(0, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return s.finish(ts, args)
	}),
	// sleep D: sleeps for the duration D.
	"sleep": scenarioCommand(1, func(_ *scenario, _ *testscript.TestScript, args []string) error {
		d, err := time.ParseDuration(args[0])
		time.Sleep(d)
		return err
	}),
	// balancer: makes clients use only ready hosts from now on.
	"balancer": scenarioCommand(0, func(s *scenario, _ *testscript.TestScript, _ []string) error {
		return s.startBalancer()
	}),
	// refused N TEXT: waits until host N reports a refused document with TEXT.
	"refused": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return waitUntil("refusal of "+args[1], func() bool {
			st, err := s.status(atoi(ts, args[0]))
			return err == nil && strings.Contains(st.Refused, args[1])
		})
	}),
	// post N PATH STATUS TEXT BODY: posts BODY to host N and checks that it answers with
	// STATUS and a body that contains TEXT. A BODY of the form COUNT*TEXT repeats TEXT.
	"post": scenarioCommand(5, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return s.post(atoi(ts, args[0]), args[1], atoi(ts, args[2]), args[3], args[4])
	}),
	// ticket N NAME: stores a ticket minted by host N in NAME.
	"ticket": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		var t ticketBody
		err := call(http.MethodPost, s.callerAddress(atoi(ts, args[0]))+"/tickets", "", &t)
		ts.Setenv(args[1], t.Ticket)
		return err
	}),
	// ran TICKET N: checks that the upstreams ran the order N times.
	"ran": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		runs, err := s.sumRuns()
		if err == nil && runs[args[0]] != atoi(ts, args[1]) {
			err = fmt.Errorf("%s ran %d times, want %s", args[0], runs[args[0]], args[1])
		}
		return err
	}),
	// monitor N...: monitors the revisions of hosts N from now on; finish fails if one
	// has decreased.
	"monitor": scenarioCommand(1, func(s *scenario, ts *testscript.TestScript, args []string) error {
		for _, n := range atoiAll(ts, args) {
			go s.monitorRevision(n)
		}
		return nil
	}),
	// watchers MIN MAX N...: waits until MIN to MAX of hosts N watch the platform.
	"watchers": scenarioCommand(3, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return waitUntil("watchers", func() bool {
			n := s.countWatchers(atoiAll(ts, args[2:]))
			return n >= atoi(ts, args[0]) && n <= atoi(ts, args[1])
		})
	}),
	// callsabove U3 N: waits until an upstream has received more than N calls.
	"callsabove": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		at, minCalls := s.upstreamAddress(atoi(ts, strings.TrimPrefix(args[0], "U"))), atoi(ts, args[1])
		for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			var r runsReply
			if err := call(http.MethodGet, at+"/Runs", nil, &r); err != nil {
				return err
			}
			if r.Arrived > minCalls {
				return nil
			}
		}
		return fmt.Errorf("no call came to %s within %s", args[0], maxWait)
	}),
	// calls U3 NAME: stores in NAME how many calls an upstream has received.
	"calls": scenarioCommand(2, func(s *scenario, ts *testscript.TestScript, args []string) error {
		var r runsReply
		err := call(http.MethodGet, s.upstreamAddress(atoi(ts, strings.TrimPrefix(args[0], "U")))+"/Runs", nil, &r)
		ts.Setenv(args[1], strconv.Itoa(r.Arrived))
		return err
	}),
}

// maxWait limits waits for events that must happen but have no time limit.
const maxWait = 30 * time.Second

// scenarioCommand returns a command with at least minArgs arguments. If the command fails,
// it prints the logs.
func scenarioCommand(minArgs int, f func(*scenario, *testscript.TestScript, []string) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < minArgs {
			ts.Fatalf("usage: see scenarioCommands")
		}
		s := ts.Value(scenarioKey{}).(*scenario)
		if err := f(s, ts, args); err != nil {
			s.printLogs(ts)
			ts.Fatalf("%v", err)
		}
	}
}

// printLogs prints the last lines of the log of each process.
func (s *scenario) printLogs(ts *testscript.TestScript) {
	const last = 15
	for name := range s.processes {
		text, _ := os.ReadFile(s.logPath(name))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		ts.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-last):], "\n"))
	}
}

func atoi(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

func atoiAll(ts *testscript.TestScript, args []string) []int {
	var out []int
	for _, a := range args {
		out = append(out, atoi(ts, a))
	}
	return out
}

// daemonEnv returns the environment of the programs, with the daemon settings that a
// scenario has set.
func daemonEnv(ts *testscript.TestScript) []string {
	out := os.Environ()
	for _, n := range []string{"LOOMD_BEAT", "LOOMD_WATCHWAIT", "LOOMD_SETTLE", "LOOMD_SETTLEMOST", "LOOMD_TICKETLIFE", "LOOMD_LEAVINGHOLD"} {
		if v := ts.Getenv(n); v != "" {
			out = append(out, n+"="+v)
		}
	}
	return out
}

// startTier starts the platform, the upstreams, the links and the hosts, and waits until
// the hosts are ready.
func (s *scenario) startTier(hosts, shards int, upstreamFlags []string) error {
	s.shards = shards
	document := filepath.Join(s.dir, "document.json")
	args := []string{
		"document", "-Hosts", strconv.Itoa(max(hosts, 3)), "-Shards", strconv.Itoa(shards),
		"-PeerPort", strconv.Itoa(s.port + 13), "-UpstreamPort", strconv.Itoa(s.port + 100),
		"-Deadline", "1s", "-WideDeadline", "1s", "-Patience", "500ms",
	}
	c := exec.Command(filepath.Join(programs, "loomfake"), append(args, s.documentFlags...)...)
	text, err := c.Output()
	if err != nil {
		return err
	}
	if err := os.WriteFile(document, text, 0o600); err != nil {
		return err
	}
	if err := s.startProcess("platform", "loomfake", "platform", "-Listen", s.platformAddress(), "-File", document, "-Life", "5m"); err != nil {
		return err
	}
	args = append([]string{"loomfake", "upstream", "-Listen", s.upstreamAddress(1), "-Count", strconv.Itoa(shards), "-Slots", "4", "-Connections", "100", "-Life", "5m"}, upstreamFlags...)
	if err := s.startProcess("upstreams", args...); err != nil {
		return err
	}
	for i := 1; i <= hosts; i++ {
		if err := s.startLink(i); err != nil {
			return err
		}
		if err := s.startHost(i); err != nil {
			return err
		}
	}
	for i := 1; i <= hosts; i++ {
		if err := s.awaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) signal(name, which string) error {
	p := s.processes[name]
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	all := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM}
	if err := p.command.Process.Signal(all[which]); err != nil {
		return err
	}
	if which == "KILL" || which == "TERM" {
		<-p.done
	}
	return nil
}

func (s *scenario) awaitRevision(r uint64, hosts []int) error {
	for _, n := range hosts {
		err := waitUntil(fmt.Sprintf("revision %d at H%d", r, n), func() bool {
			st, err := s.status(n)
			return err == nil && st.Revision == r
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) countWatchers(hosts []int) int {
	n := 0
	for _, h := range hosts {
		if st, err := s.status(h); err == nil && st.Watching {
			n++
		}
	}
	return n
}

func (s *scenario) post(host int, path string, code int, text, body string) error {
	if size, unit, ok := strings.Cut(body, "*"); ok {
		if n, err := strconv.Atoi(size); err == nil {
			body = strings.Repeat(unit, n)
		}
	}
	reply, err := httpClient.Post("http://"+s.callerAddress(host)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	got, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode != code || !strings.Contains(string(got), text) {
		return fmt.Errorf("%s: %s: want %d and %q", reply.Status, got, code, text)
	}
	return nil
}

// monitorRevision records a problem if the revision of a ready host decreases.
func (s *scenario) monitorRevision(n int) {
	highest := uint64(0)
	for s.t.Context().Err() == nil {
		st, err := s.status(n)
		if err == nil && st.State == "Ready" {
			if st.Revision < highest {
				s.history.addProblem("host H%d went from revision %d back to %d", n, highest, st.Revision)
			}
			highest = max(highest, st.Revision)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *scenario) memberState(host int, member string) string {
	st, err := s.status(host)
	if err != nil {
		return ""
	}
	for _, m := range st.Members {
		if m.Name == member {
			return m.State
		}
	}
	return ""
}

// startBalancer starts the stand-in for the platform's load balancer.
func (s *scenario) startBalancer() error {
	s.balancer = &balancer{client: httpClient, probeTimeout: balancerProbeTimeout}
	for i := 1; i <= 3; i++ {
		listen, errListen := netip.ParseAddrPort(s.callerAddress(i))
		operate, errOperate := netip.ParseAddrPort(s.operatorAddress(i))
		if errListen != nil || errOperate != nil {
			return errors.Join(errListen, errOperate)
		}
		s.balancer.hosts = append(s.balancer.hosts, listen)
		s.balancer.operate = append(s.balancer.operate, operate)
	}
	s.balancer.ready.Store(&s.balancer.hosts)
	go s.balancer.run(s.t.Context())
	return nil
}

// pickHost returns the address of the host for a request.
func (s *scenario) pickHost(hosts []int, n int) string {
	if s.balancer != nil {
		return s.balancer.next().String()
	}
	return s.callerAddress(hosts[n%len(hosts)])
}

// runInBackground runs clients concurrently with the scenario; finish waits for them.
func (s *scenario) runInBackground(untilFinish bool, run func(stop <-chan struct{}) error) error {
	s.untilFinish = untilFinish
	s.clientsDone, s.stopClients = make(chan error, 1), make(chan struct{})
	done, stop := s.clientsDone, s.stopClients
	go func() { done <- run(stop) }()
	return nil
}

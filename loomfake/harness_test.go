package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
)

// scenarioKey is the key of the scenario in the testscript environment.
type scenarioKey struct{}

// scenario is the state of a running scenario: its processes and its clients.
type scenario struct {
	t *testing.T
	// port is the first of the scenario's block of ports.
	port   int
	dir    string
	shards int
	// daemon is the name of the daemon's program; empty for the one with the race detector.
	daemon string
	// env is the environment of the processes.
	env []string
	// documentFlags are flags of loomfake document.
	documentFlags []string
	processes     map[string]*process
	history       *history
	// balancer selects ready hosts; nil if clients use all hosts.
	balancer *balancer
	// clientsDone receives the result of the background clients, nil if there are none;
	// closing stopClients stops them.
	clientsDone chan error
	stopClients chan struct{}
	// untilFinish is true if the clients run until stopClients is closed.
	untilFinish bool
}

// process is a running program; done is closed when it ends.
type process struct {
	args    []string
	command *exec.Cmd
	done    chan struct{}
}

func (s *scenario) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+offset) }

func (s *scenario) platformAddress() string      { return s.address(0) }
func (s *scenario) callerAddress(i int) string   { return s.address(10 * i) }
func (s *scenario) operatorAddress(i int) string { return s.address(10*i + 2) }
func (s *scenario) upstreamAddress(i int) string { return s.address(100 + i - 1) }
func (s *scenario) logPath(name string) string   { return filepath.Join(s.dir, name+".log") }

// startProcess starts a program, whose output goes to the log of that name.
func (s *scenario) startProcess(name string, args ...string) error {
	f, err := os.OpenFile(s.logPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	c.Stdout, c.Stderr = f, f
	c.Env = s.env
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{args: args, command: c, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		_ = f.Close()
		close(p.done)
	}()
	s.processes[name] = p
	return nil
}

func (s *scenario) stopAll() {
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// startLink starts the link through which other hosts connect to host i.
func (s *scenario) startLink(i int) error {
	return s.startProcess(fmt.Sprintf("L%d", i), "loomfake", "link", "-Listen", s.address(10*i+3), "-To", s.address(10*i+1), "-Admin", s.linkAdminAddress(i), "-Life", "5m")
}

func (s *scenario) linkAdminAddress(i int) string { return s.address(10*i + 4) }

// startHost starts entry host i.
func (s *scenario) startHost(i int, more ...string) error {
	args := []string{
		cmp.Or(s.daemon, "loomd"), "serve", "-Host", fmt.Sprintf("H%d", i), "-Hall", defaultHall, "-Listen", s.callerAddress(i),
		"-Peer", s.address(10*i + 1), "-Operate", s.operatorAddress(i), "-Platform", s.platformAddress(), "-Level", "debug",
	}
	for j := 1; j <= 9; j++ {
		if j != i {
			args = append(args, "-Seeds", s.address(10*j+3))
			break
		}
	}
	return s.startProcess(fmt.Sprintf("H%d", i), append(args, more...)...)
}

// waitUntil polls until a condition holds, and returns an error after a timeout.
func waitUntil(what string, condition func() bool) error {
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: timed out after %s", what, timeout)
}

var httpClient = &http.Client{Timeout: 2 * time.Second}

// call sends a request with a JSON body and decodes the JSON reply. A string is sent
// unencoded. A status of 400 or above is an error, except 503.
func call(method, url string, in, out any) error {
	var body io.Reader
	if text, ok := in.(string); ok {
		body = strings.NewReader(text)
	} else if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequest(method, "http://"+url, body)
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	var p callProgress
	reply, err := httpClient.Do(p.watch(r))
	if err != nil {
		return fmt.Errorf("%w (%s)", err, &p)
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode >= http.StatusBadRequest && reply.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("%s: %s", reply.Status, text)
	}
	if out == nil || len(text) == 0 {
		return nil
	}
	return json.Unmarshal(text, out)
}

// callProgress records how far a call came, to tell a host that takes no connections from one that
// does not answer.
type callProgress struct {
	mu    sync.Mutex
	began time.Time
	steps []string
}

// watch returns the request of the call, whose progress is recorded from now on.
func (p *callProgress) watch(r *http.Request) *http.Request {
	p.began = time.Now()
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			p.note("connection of %s, in use before: %t", i.Conn.LocalAddr(), i.Reused)
		},
		WroteRequest:         func(i httptrace.WroteRequestInfo) { p.note("request sent, error: %v", i.Err) },
		GotFirstResponseByte: func() { p.note("answer began") },
	}))
}

func (p *callProgress) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps = append(p.steps, fmt.Sprintf(format, args...)+" after "+time.Since(p.began).String())
}

func (p *callProgress) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.steps) == 0 {
		return "no connection"
	}
	return strings.Join(p.steps, "; ")
}

// hostStatus holds the fields of a host's status that scenarios use.
type hostStatus struct {
	State    string
	Revision uint64
	Digest   string
	Refused  string
	Watching bool
	Members  []struct{ Name, State string }
}

func (s *scenario) status(i int) (hostStatus, error) {
	var out hostStatus
	err := call(http.MethodGet, s.operatorAddress(i)+"/status", nil, &out)
	return out, err
}

func (s *scenario) awaitReady(i int) error {
	return waitUntil(fmt.Sprintf("host H%d ready", i), func() bool {
		st, err := s.status(i)
		return err == nil && st.State == "Ready"
	})
}

// sumRuns returns how often each order ran on all upstreams.
func (s *scenario) sumRuns() (map[string]int, error) {
	out := map[string]int{}
	for i := 1; i <= s.shards; i++ {
		var r runsReply
		if err := call(http.MethodGet, s.upstreamAddress(i)+"/Runs", nil, &r); err != nil {
			return nil, err
		}
		for _, x := range r.Runs {
			out[x.RequestID] += x.Runs
		}
	}
	return out, nil
}

// peakResidentMB returns the largest resident memory that a process has had, in MB.
func peakResidentMB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int
	_, err = fmt.Sscan(after, &kilobytes)
	return kilobytes >> 10, err
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseLimit is the longest that a case may take.
const caseLimit = 115 * time.Second

// inTouch is contactMs of the small site.
const inTouch = 4 * time.Second

// world holds what a case has started.
type world struct {
	repository string
	dir        string
	// trouble is false if the case is to be played without its disruption.
	trouble bool
	started time.Time
	store   *store

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	hosts  []*host
	// backends are those that were started.
	backends []*backend
	used     map[string]bool
}

func newWorld(repository, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		repository: repository, dir: dir, trouble: os.Getenv("TROUBLE") != troubleNone, started: time.Now(),
		record: bufio.NewWriter(f), file: f, used: map[string]bool{},
	}
	w.store, err = newStore()
	if err != nil {
		return nil, err
	}
	// An interrupted case must not leave processes behind.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	// A case that hangs must end within its time, too.
	time.AfterFunc(caseLimit, func() {
		fmt.Fprintln(os.Stderr, "stand: the case takes too long")
		w.close()
		os.Exit(exitNotRun)
	})
	w.logf("case begins, disruption %v", w.trouble)
	return w, nil
}

// logf adds a line to the record, with the time since the case began.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// verdictf adds a line to the record and prints it.
func (w *world) verdictf(format string, args ...any) {
	w.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	hosts := w.hosts
	w.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	w.store.close()
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	_ = os.RemoveAll(w.dir)
}

// freeIP returns a loopback address that this case has not used yet. Each machine and each
// backend has an address of its own, so that fixed ports do not collide.
func (w *world) freeIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		if !w.used[ip] {
			w.used[ip] = true
			return ip
		}
	}
}

// freePort returns a free port of an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// host is one machine of the system with its process.
type host struct {
	world                     *world
	name, zone, ip            string
	front, readiness, control string
	settings                  string
	mu                        sync.Mutex
	process                   *exec.Cmd
	exited                    chan struct{}
	log                       *os.File
}

// zones are the zones of the small site with their regions.
var zones = map[string]any{"quito-hall": "sierra", "guayaquil-hall": "costa", "cuenca-hall": "austro"}

// addHosts prepares machines, one for each zone named, and writes their settings files.
func (w *world) addHosts(zoneNames ...string) ([]*host, error) {
	var out []*host
	var seeds []string
	for i, zone := range zoneNames {
		h := &host{world: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: w.freeIP()}
		for _, at := range []*string{&h.front, &h.readiness, &h.control} {
			port, err := freePort(h.ip)
			if err != nil {
				return nil, err
			}
			*at = fmt.Sprintf("%s:%d", h.ip, port)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
		out = append(out, h)
	}
	template, err := os.ReadFile(filepath.Join(w.repository, "deploy", "settings.env"))
	if err != nil {
		return nil, err
	}
	for _, h := range out {
		text, err := fill(string(template), h.fields(seeds))
		if err != nil {
			return nil, err
		}
		h.settings = filepath.Join(w.dir, h.name+".toml")
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, out...)
	w.mu.Unlock()
	return out, nil
}

// fields are the platform's settings of a machine, as the example in DEPLOY.md has them.
func (h *host) fields(seeds []string) map[string]any {
	list := make([]any, 0, len(seeds))
	for _, s := range seeds {
		list = append(list, s)
	}
	return map[string]any{
		"nodeName": h.name, "zone": h.zone, "region": zones[h.zone], "ip": h.ip, "seeds": list, "zones": zones,
		"listenAddrs": map[string]any{"front": h.front, "readiness": h.readiness, "control": h.control},
		"limits":      map[string]any{"cpuShare": 0.4, "linkMbps": 1000.0},
		"bounds": map[string]any{
			"retryBudgetRatio": 0.2, "budgetSlack": 54, "retryWindowS": 10,
		},
		"platform": map[string]any{"address": h.world.store.address},
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(h.world.repository, "target", "loomd"), "serve", "-Settings", h.settings)
	cmd.Dir = h.world.repository
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited, h.log = cmd, exited, log
	h.mu.Unlock()
	h.world.logf("%s started", h.name)
	go func() {
		err := cmd.Wait()
		h.world.logf("%s ended: %v", h.name, err)
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startAll starts processes and waits until all are ready.
func (w *world) startAll(hosts []*host) error {
	for _, h := range hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %w", h.name, errTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Hosts learn of each other within some heartbeats.
	time.Sleep(3 * time.Second)
	w.logf("all machines are ready")
	return nil
}

var errTimeout = errors.New("no success in time")

// ready asks the readiness address, with the path that deploy/wire.toml names.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.readiness + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return errors.New("not started")
	}
	h.world.logf("%s gets %v", h.name, s)
	return h.process.Process.Signal(s)
}

func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.process, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// logLines returns the lines of a host's log that contain a text.
func (h *host) logLines(part string) []string {
	text, err := os.ReadFile(filepath.Join(h.world.dir, h.name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.Contains(line, part) {
			out = append(out, line)
		}
	}
	return out
}

// hasRun reports whether a backend has run a request.
func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	all := w.backends
	w.mu.Unlock()
	for _, b := range all {
		b.mu.Lock()
		n := b.runs[id]
		b.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

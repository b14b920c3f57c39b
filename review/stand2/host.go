package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine with a process of the daemon.
type host struct {
	w                                    *world
	name, zone, ip                       string
	front, readiness, control, storeAddr string
	settingsFile                         string
	mu                                   sync.Mutex
	cmd                                  *exec.Cmd
	exited                               chan struct{}
	// reading is whether the process last logged that it reads the store.
	reading bool
}

// addHost adds a machine that is not started yet.
func (w *world) addHost(name, zone string) *host {
	n := len(w.hosts)
	last := 11 + n
	h := &host{w: w, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", w.net24, last)}
	h.front = fmt.Sprintf("%s:%d", h.ip, w.freePort(last))
	h.readiness = fmt.Sprintf("%s:%d", h.ip, w.freePort(last))
	h.control = fmt.Sprintf("%s:%d", h.ip, w.freePort(last))
	h.storeAddr = w.store.serve(name, 100+n)
	w.hosts = append(w.hosts, h)
	return h
}

// fields are those of the platform's settings file that the template uses, as in the example
// of the pages for a small deployment.
func (h *host) fields() map[string]any {
	zones, seeds := map[string]any{}, []any{}
	for i, o := range h.w.hosts {
		zones[o.zone] = "region-" + o.zone
		if i < 3 {
			seeds = append(seeds, o.control)
		}
	}
	return map[string]any{
		"nodeName": h.name, "zone": h.zone, "ip": h.ip, "zones": zones, "seeds": seeds,
		"listenAddrs": map[string]any{"front": h.front, "readiness": h.readiness, "control": h.control},
		"platform":    map[string]any{"address": h.storeAddr, "valueBytes": 1048576},
		"limits":      map[string]any{"cpuShare": 0.4, "memoryMb": 284, "linkMbps": 1000.0},
		"bounds":      map[string]any{"retryBudgetRatio": 0.2, "budgetSlack": 54, "retryWindowS": 10},
	}
}

// start starts the process with the command and the template of the deploy file.
func (h *host) start() {
	h.settingsFile = filepath.Join(h.w.temp, h.name+".toml")
	template, err := os.ReadFile(filepath.Join(h.w.root, "deploy", "settings.env"))
	if err != nil {
		cannotRun("read template: %v", err)
	}
	if err := os.WriteFile(h.settingsFile, []byte(fill(string(template), h.fields())), 0o600); err != nil {
		cannotRun("write settings: %v", err)
	}
	cmd := exec.Command(filepath.Join(h.w.root, "target", "loomd"), "serve", "-Settings", h.settingsFile)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannotRun("pipe: %v", err)
	}
	if err := cmd.Start(); err != nil {
		cannotRun("start daemon: %v", err)
	}
	h.w.note("daemon started", "machine", h.name, "pid", cmd.Process.Pid)
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		h.readLog(bufio.NewScanner(out))
		err := cmd.Wait()
		h.w.note("daemon ended", "machine", h.name, "state", fmt.Sprint(err))
		close(exited)
	}()
}

// logged are the log lines that go into the record.
var logged = regexp.MustCompile(`reader role changed|available|directory changed|document activated|planned stop|settle period|panic|stopping|host ready|process was paused`)

func (h *host) readLog(lines *bufio.Scanner) {
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		if !logged.MatchString(text) {
			continue
		}
		var line struct {
			Message string `json:"message"`
			Reads   *bool
		}
		if json.Unmarshal([]byte(text), &line) == nil && line.Reads != nil {
			h.mu.Lock()
			h.reading = *line.Reads
			h.mu.Unlock()
		}
		h.w.note("log of "+h.name, "line", text)
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exited == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (h *host) kill() {
	if !h.running() {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// balancer asks the machines whether they are ready, as the platform does.
type balancer struct {
	mu     sync.Mutex
	misses map[*host]int
	in     map[*host]bool
}

func (w *world) startBalancer() {
	b := &balancer{misses: map[*host]int{}, in: map[*host]bool{}}
	w.balancer = b
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for _, h := range w.hosts {
		go func() {
			for {
				ok := false
				if r, err := client.Get("http://" + h.readiness + "/ready"); err == nil {
					ok = r.StatusCode == http.StatusOK
					_ = r.Body.Close()
				}
				b.mu.Lock()
				if ok {
					b.misses[h], b.in[h] = 0, true
				} else if b.misses[h]++; b.misses[h] >= 2 {
					b.in[h] = false
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
}

// pick returns a machine that is in for a consumer of a zone; nil if there is none. Consumers of a
// zone without one get those of the others.
func (b *balancer) pick(all []*host, zone string, consumer int) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, in []*host
	for _, h := range all {
		if !b.in[h] {
			continue
		}
		in = append(in, h)
		if h.zone == zone {
			near = append(near, h)
		}
	}
	if len(near) > 0 {
		in = near
	}
	if len(in) == 0 {
		return nil
	}
	// Neighbours of a zone have numbers that differ by the number of zones.
	return in[(consumer/2)%len(in)]
}

// awaitReady waits until all machines are in.
func (w *world) awaitReady(limit time.Duration) {
	until := w.now() + limit
	for w.now() < until {
		n := 0
		w.balancer.mu.Lock()
		for _, h := range w.hosts {
			if w.balancer.in[h] {
				n++
			}
		}
		w.balancer.mu.Unlock()
		if n == len(w.hosts) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("machines are not ready after %v", limit)
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills a template of the platform, as far as the project's template needs it.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		v := lookUp(fields, m[1])
		if v == nil {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(v))
	})
	return gap.ReplaceAllStringFunc(text, func(s string) string {
		switch v := lookUp(fields, gap.FindStringSubmatch(s)[1]).(type) {
		case nil:
			return ""
		case []any:
			var parts []string
			for _, x := range v {
				parts = append(parts, fmt.Sprint(x))
			}
			return strings.Join(parts, ",")
		case map[string]any:
			out, _ := json.Marshal(v)
			return string(out)
		default:
			return fmt.Sprint(v)
		}
	})
}

func lookUp(fields map[string]any, path string) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = m[name]
	}
	return v
}

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLimit is the limit of a process in the settings of the small site: 284 MB.
	memoryLimit = 284 << 20
	// memoryPoll is how often the platform looks at the memory of a process.
	memoryPoll = 10 * time.Millisecond
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// lossesAllowed is the number of LOST: more than three times.
	lossesAllowed = 3
	// endsAllowed and endedMachines are the numbers of Fault: three times, on two machines
	// at least.
	endsAllowed   = 3
	endedMachines = 2

	// The disruption: one of two backends of a service sends bytes that are no answer in
	// place of a part of its answers, for a while, again and again.
	garbageShare = 0.04
	garbageLasts = 5 * time.Second
	garbagePause = 2 * time.Second

	memoryLasts = 50 * time.Second
)

// end is an end of a process by itself.
type end struct {
	host string
	at   time.Time
}

// memoryGuard kills processes above the memory limit, and starts them again.
type memoryGuard struct {
	world *world
	stop  chan struct{}
	all   sync.WaitGroup
	mu    sync.Mutex
	ends  []end
	peak  map[string]int
}

func (g *memoryGuard) watch(h *host) {
	tick := time.NewTicker(memoryPoll)
	defer tick.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
		}
		used := h.residentBytes()
		g.mu.Lock()
		g.peak[h.name] = max(g.peak[h.name], used)
		g.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		g.world.logf("%s uses %d MB, above its limit of %d MB: the platform kills it", h.name, used>>20, memoryLimit>>20)
		g.mu.Lock()
		g.ends = append(g.ends, end{host: h.name, at: time.Now()})
		g.mu.Unlock()
		_ = h.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			g.world.logf("%s does not start again: %v", h.name, err)
			return
		}
	}
}

// residentBytes returns the resident memory of the process; 0 if it does not run.
func (h *host) residentBytes() int {
	h.mu.Lock()
	cmd := h.process
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// playMemory sends orders to a service with one faulty backend, and look-ups to a service
// whose backends are sound.
func playMemory(w *world) (broken bool, err error) {
	began := time.Now()
	faulty := func() bool {
		return w.trouble && time.Since(began)%(garbageLasts+garbagePause) < garbageLasts && rand.Float64() < garbageShare
	}
	orderRoute := unsafeRoute{service: "kafi81c", prefix: "/timi402/"}
	lookup := unsafeRoute{service: "dano80d", prefix: "/bapu561/"}
	for i, zone := range []string{"quito-hall", "guayaquil-hall"} {
		b := &backend{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: orderRoute.service, zone: zone, slots: 4, queue: 16, work: around(60 * time.Millisecond), body: doneBody,
		}
		if i == 0 {
			b.garbage = faulty
		}
		if err := w.startBackend(b); err != nil {
			return false, err
		}
	}
	for i, zone := range []string{"quito-hall", "guayaquil-hall", "cuenca-hall"} {
		b := &backend{
			id: fmt.Sprintf("i-02d9e6b%d", i), service: lookup.service, zone: zone, slots: 16, queue: 16, work: around(400 * time.Millisecond), body: doneBody,
		}
		if err := w.startBackend(b); err != nil {
			return false, err
		}
	}
	if err := w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			singleRoute("r-s4qmv29", "unsafe", orderRoute, unsafeTimeout),
			singleRoute("r-zqghvik", "safe", lookup, unsafeTimeout),
		},
		"services": []any{serviceConfig(orderRoute.service, 100), serviceConfig(lookup.service, 100)},
		"limits":   limitsConfig(),
	}); err != nil {
		return false, err
	}
	hosts, err := w.addHosts("quito-hall", "guayaquil-hall", "cuenca-hall")
	if err != nil {
		return false, err
	}
	if err := w.startAll(hosts); err != nil {
		return false, err
	}
	// From now on, all machines are in touch.
	time.Sleep(inTouch)
	began = time.Now()
	g := &memoryGuard{world: w, stop: make(chan struct{}), peak: map[string]int{}}
	t := &lookups{world: w, began: began, lost: map[string][]time.Time{}, by: map[int]int{}}
	for h, to := range hosts {
		g.all.Go(func() { g.watch(to) })
		for n := range 4 {
			t.all.Go(func() { t.consume(to, "POST", orderRoute, fmt.Sprintf("%x%x0", h, n), false) })
		}
		for n := range 10 {
			t.all.Go(func() { t.consume(to, "GET", lookup, fmt.Sprintf("%x%x1", h, n), true) })
		}
	}
	t.all.Wait()
	close(g.stop)
	g.all.Wait()
	return checkMemory(w, g, t), nil
}

// lookups sends requests on kept connections and notes those of the sound service whose
// connection ended without an answer.
type lookups struct {
	world *world
	began time.Time
	all   sync.WaitGroup
	mu    sync.Mutex
	lost  map[string][]time.Time
	by    map[int]int
}

func (t *lookups) consume(to *host, method string, r unsafeRoute, prefix string, sound bool) {
	c := &consumer{to: to.front}
	defer c.close()
	for i := 0; time.Since(t.began) < memoryLasts; i++ {
		id := fmt.Sprintf("%s%06x", prefix, i)
		kept := c.conn != nil
		body := ""
		if method == "POST" {
			body = "order " + id
		}
		t.world.logf("consumer sends %s to %s", id, to.name)
		out := c.send(method, hostName, r.prefix+"2f", id, unsafeTimeout, body)
		t.world.logf("%s answers %s with %d %s", to.name, id, out.status, errText(out.err))
		t.mu.Lock()
		t.by[out.status]++
		if sound && kept && out.status == 0 && t.world.hasRun(id) {
			t.lost[to.name] = append(t.lost[to.name], time.Now())
		}
		t.mu.Unlock()
		time.Sleep(time.Duration(rand.Int64N(int64(100 * time.Millisecond))))
	}
}

// checkMemory checks LOST for the first end of each machine: until then it was in touch. It
// tells of Fault, too.
func checkMemory(w *world, g *memoryGuard, t *lookups) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first, machines := map[string]time.Time{}, map[string]int{}
	for _, e := range g.ends {
		machines[e.host]++
		if first[e.host].IsZero() {
			first[e.host] = e.at
		}
	}
	lostBroken := false
	for h, at := range first {
		n := 0
		for _, lost := range t.lost[h] {
			if lost.Sub(at).Abs() < time.Second {
				n++
			}
		}
		w.verdictf("%s: ended by itself %d times; at the first end, %d requests passed on to sound backends were cut", h, machines[h], n)
		lostBroken = lostBroken || n > lossesAllowed
	}
	for h, used := range g.peak {
		w.verdictf("%s: peak memory %d MB of %d MB", h, used>>20, memoryLimit>>20)
	}
	fault := len(g.ends) >= endsAllowed && len(machines) >= endedMachines
	w.verdictf("answers by status %v; processes ended by themselves %d times on %d of %d machines", t.by, len(g.ends), len(machines), len(w.hosts))
	w.verdictf("LOST broken: %v (Fault broken, too: %v)", lostBroken, fault)
	return lostBroken
}

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["twice"] = playTwice }

const hostName = "pupu76.example"

// The disruption: half of the backends, one of each service, send part of their answers a
// second time, late, for a while, again and again.
const (
	surplusShare = 0.04
	surplusLasts = 5 * time.Second
	surplusPause = 2 * time.Second
)

// The services and backends of the small site: 20 services with two backends each.
const (
	serviceCount   = 20
	serviceConns   = 26
	backendSlots   = 2
	backendQueue   = 4
	workMean       = 10 * time.Millisecond
	unsafeTimeout  = 6 * time.Second
	trafficLasts   = 75 * time.Second
	rushesPerSec   = 3.0
	requestsInRush = 14
	// consumersPerMachine bounds the requests that wait at one machine.
	consumersPerMachine = 400
)

// unsafeRoute is a route to one service.
type unsafeRoute struct{ service, prefix string }

// playTwice sends requests that may run at most once. Several of one service come at the same
// moment, to all machines, so that both backends of the service are full for a moment.
func playTwice(w *world) (broken bool, err error) {
	began := time.Now()
	faulty := func() bool {
		return w.trouble && time.Since(began)%(surplusLasts+surplusPause) < surplusLasts && rand.Float64() < surplusShare
	}
	var (
		routes   []unsafeRoute
		listed   []any
		services []any
	)
	for i := range serviceCount {
		r := unsafeRoute{service: fmt.Sprintf("kafi%02dc", i), prefix: fmt.Sprintf("/timi4%02d/", i)}
		routes = append(routes, r)
		listed = append(listed, singleRoute(fmt.Sprintf("r-s4qmv%02d", i), "unsafe", r, unsafeTimeout))
		services = append(services, serviceConfig(r.service, serviceConns))
		for j, zone := range []string{"quito-hall", "guayaquil-hall"} {
			b := &backend{
				id: fmt.Sprintf("i-7f3a%02d%d", i, j), service: r.service, zone: zone, slots: backendSlots, queue: backendQueue,
				work: around(workMean), body: doneBody,
			}
			if j == i%2 {
				b.surplus = faulty
			}
			if err := w.startBackend(b); err != nil {
				return false, err
			}
		}
	}
	if err := w.store.put("op/config", map[string]any{"version": 7, "routes": listed, "services": services, "limits": limitsConfig()}); err != nil {
		return false, err
	}
	hosts, err := w.addHosts(siteZones...)
	if err != nil {
		return false, err
	}
	if err := w.startAll(hosts); err != nil {
		return false, err
	}
	began = time.Now()
	t := &orders{world: w, began: began, hosts: hosts, free: map[string]chan *consumer{}, answers: map[string]int{}}
	for _, h := range hosts {
		t.free[h.name] = make(chan *consumer, consumersPerMachine)
		for range consumersPerMachine {
			t.free[h.name] <- &consumer{to: h.front}
		}
	}
	for i, r := range routes {
		t.all.Go(func() { t.sendTo(r, fmt.Sprintf("%02x", i)) })
	}
	t.all.Wait()
	time.Sleep(time.Second)
	return checkOnce(w, t.answers), nil
}

// siteZones has the zone of each machine of the small site.
var siteZones = []string{"quito-hall", "quito-hall", "quito-hall", "guayaquil-hall", "guayaquil-hall", "cuenca-hall", "cuenca-hall"}

func singleRoute(name, kind string, r unsafeRoute, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": r.prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 600, "priority": 2, "service": r.service, "maxAttempts": 2,
	}
}

func serviceConfig(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false}
}

func limitsConfig() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

func around(mean time.Duration) func() time.Duration {
	return func() time.Duration { return mean/2 + time.Duration(rand.Int64N(int64(mean))) }
}

func doneBody(r *received) []byte { return []byte("done " + r.id + "\n") }

// orders sends requests and keeps the status of each answer by request ID.
type orders struct {
	world *world
	began time.Time
	hosts []*host
	// free holds the kept connections to each machine that no request uses.
	free    map[string]chan *consumer
	all     sync.WaitGroup
	mu      sync.Mutex
	answers map[string]int
}

// sendTo sends the requests of a route: some at the same moment, to the machines in turn.
func (t *orders) sendTo(r unsafeRoute, prefix string) {
	for n := 0; time.Since(t.began) < trafficLasts; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rushesPerSec * float64(time.Second)))
		for k := range requestsInRush {
			to := t.hosts[(n+k)%len(t.hosts)]
			id := fmt.Sprintf("%s%02x%06x", prefix, k, n)
			t.all.Go(func() {
				c := <-t.free[to.name]
				defer func() { t.free[to.name] <- c }()
				t.send(c, to, r, id)
			})
		}
	}
}

func (t *orders) send(c *consumer, to *host, r unsafeRoute, id string) {
	t.world.logf("consumer sends %s to %s", id, to.name)
	out := c.send("POST", hostName, r.prefix+"2f", id, unsafeTimeout, "order "+id)
	t.world.logf("%s answers %s with %d %s", to.name, id, out.status, errText(out.err))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[id] = out.status
}

// checkOnce checks TWICE and REFUSED as RULES.md has them.
func checkOnce(w *world, answers map[string]int) bool {
	runs, by := map[string]int{}, map[int]int{}
	shed, doubled := int64(0), int64(0)
	for _, b := range w.backends {
		b.mu.Lock()
		for id, n := range b.runs {
			runs[id] += n
		}
		b.mu.Unlock()
		shed, doubled = shed+b.shed.Load(), doubled+b.doubled.Load()
	}
	twice, refused := 0, 0
	for id, status := range answers {
		by[status]++
		if runs[id] > 1 {
			twice++
			w.verdictf("TWICE: %s ran %d times, and was answered with %d", id, runs[id], status)
		}
		if runs[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			refused++
			w.verdictf("REFUSED: %s ran %d times, and was answered with %d", id, runs[id], status)
		}
	}
	w.verdictf("%d requests, answers by status %v; backends ran %d, rejected %d, sent %d answers a second time", len(answers), by, len(runs), shed, doubled)
	w.verdictf("TWICE broken by %d requests, REFUSED by %d", twice, refused)
	return twice+refused > 0
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

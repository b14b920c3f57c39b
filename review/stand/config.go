package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["config"] = playConfig }

const (
	// configApply is configApplyMs of the small site.
	configApply = 3 * time.Second
	// valueBytes is the limit of the store's values, as the settings have it.
	valueBytes = 1 << 20
	// recoverAfter is recoverS of the small site, and recoverShare the share in RECOVER.
	recoverAfter = 12 * time.Second
	recoverShare = 0.25
	// killedFor is how long the processes are down after the last fault.
	killedFor = time.Second
	// probes is how often each machine is asked after a version is due.
	probes = 10
)

// version is one configuration of the operator.
type version struct {
	number int
	// change says what the version changes besides the service.
	change string
	// service is the service that the version moves the route to.
	service string
	// timeout is the time-out of a second route.
	timeout time.Duration
	// bytes is the size that further routes fill the configuration up to; 0 for none.
	bytes int
}

// playConfig moves a route from service to service, in versions that also change a
// time-out, use a new name, or grow by many routes.
func playConfig(w *world) (broken bool, err error) {
	long, name, size := 15*time.Minute, "3d-lens-lab", valueBytes-2000
	if !w.trouble {
		long, name, size = 15*time.Second, "lens-lab-3d", valueBytes*9/10
	}
	versions := []version{
		{number: 7, change: "the first configuration", service: "kafi81c", timeout: 6 * time.Second},
		{number: 9, change: fmt.Sprintf("a time-out of %v for another route", long), service: "dano80d", timeout: long},
		{number: 12, change: "only the service", service: "kafi81c", timeout: 6 * time.Second},
		{number: 13, change: fmt.Sprintf("a service with the new name %q", name), service: name, timeout: 6 * time.Second},
		{number: 17, change: "only the service", service: "kafi81c", timeout: 6 * time.Second},
		{number: 18, change: fmt.Sprintf("routes, to a value of about %d bytes", size), service: "dano80d", timeout: 6 * time.Second, bytes: size},
	}
	for i, s := range []string{"kafi81c", "dano80d", name} {
		b := &backend{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: s, zone: "quito-hall", slots: 4, queue: 16, work: around(workMean),
			body: func(*received) []byte { return []byte(s + "\n") },
		}
		if err := w.startBackend(b); err != nil {
			return false, err
		}
	}
	if err := w.publish(versions[0]); err != nil {
		return false, err
	}
	hosts, err := w.addHosts("quito-hall", "guayaquil-hall", "cuenca-hall")
	if err != nil {
		return false, err
	}
	if err := w.startAll(hosts); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	for _, v := range versions[1:] {
		if err := w.publish(v); err != nil {
			return false, err
		}
		time.Sleep(configApply + 500*time.Millisecond)
		broken = w.checkVersion(hosts, v) || broken
	}
	w.verdictf("CONFIG broken: %v", broken)
	w.checkRecovery(hosts)
	return broken, nil
}

// publish writes a version to the store.
func (w *world) publish(v version) error {
	route := func(name, prefix, service string, timeout time.Duration) map[string]any {
		return singleRoute(name, "safe", unsafeRoute{prefix: prefix, service: service}, timeout)
	}
	routes := []any{
		route("r-s4qmv29", "/timi402/", v.service, 6*time.Second),
		route("r-zqghvik", "/bapu561/", "kafi81c", v.timeout),
	}
	listed := []any{serviceConfig("kafi81c", 100)}
	if v.service != "kafi81c" {
		listed = append(listed, serviceConfig(v.service, 100))
	}
	encode := func() ([]byte, error) {
		return json.Marshal(map[string]any{"version": v.number, "routes": routes, "services": listed, "limits": limitsConfig()})
	}
	text, err := encode()
	if err != nil {
		return err
	}
	one, err := json.Marshal(route("r-00000", "/00000/", "kafi81c", 6*time.Second))
	if err != nil {
		return err
	}
	for n := 0; len(text)+(n+1)*(len(one)+1) <= v.bytes; n++ {
		routes = append(routes, route(fmt.Sprintf("r-%05d", n), fmt.Sprintf("/%05d/", n), "kafi81c", 6*time.Second))
	}
	if text, err = encode(); err != nil {
		return err
	}
	if len(text) > valueBytes {
		return fmt.Errorf("version %d has %d bytes, more than the store takes", v.number, len(text))
	}
	w.store.putBytes("op/config", text)
	w.logf("the store takes version %d with %d routes in %d bytes: %s", v.number, len(routes), len(text), v.change)
	return nil
}

// checkVersion sends requests to each machine after a version is due, and reports whether
// one was handled as only an older version allows.
func (w *world) checkVersion(hosts []*host, v version) (broken bool) {
	for h, to := range hosts {
		c := &consumer{to: to.front}
		wrong, last := 0, ""
		for i := range probes {
			id := fmt.Sprintf("%02x%02x%04x", v.number, h, i)
			out := c.send("GET", hostName, "/timi402/2f", id, 6*time.Second, "")
			by := strings.TrimSpace(string(out.body))
			w.logf("%s answers %s with %d %s %s", to.name, id, out.status, by, errText(out.err))
			if out.status == 200 && by != v.service || out.status == 404 {
				wrong++
				last = fmt.Sprintf("%d from %s", out.status, by)
			}
		}
		c.close()
		if wrong > 0 {
			broken = true
			w.verdictf("CONFIG: version %d (%s) was due, but %s handled %d of %d requests as only an older one allows, last with %s",
				v.number, v.change, to.name, wrong, probes, last)
		}
	}
	if !broken {
		w.verdictf("version %d (%s) is in force", v.number, v.change)
	}
	for _, to := range hosts {
		for _, line := range to.logLines("document refused") {
			w.logf("log of %s: %s", to.name, line)
		}
	}
	return broken
}

// checkRecovery kills all processes, and tells whether RECOVER is broken, too: less than a
// quarter of the requests sent later than recoverS after the machines are back is served.
func (w *world) checkRecovery(hosts []*host) {
	for _, h := range hosts {
		h.kill()
	}
	time.Sleep(killedFor)
	for _, h := range hosts {
		if err := h.start(); err != nil {
			w.verdictf("%s does not start: %v", h.name, err)
		}
	}
	time.Sleep(recoverAfter + 500*time.Millisecond)
	served, sent, statuses := 0, 0, map[int]int{}
	for n, to := range hosts {
		c := &consumer{to: to.front}
		for i := range probes {
			out := c.send("GET", hostName, "/timi402/2f", fmt.Sprintf("ff%02x%04x", n, i), 6*time.Second, "")
			sent++
			statuses[out.status]++
			if out.status == 200 {
				served++
			}
		}
		c.close()
	}
	broken := float64(served) < recoverShare*float64(sent)
	w.verdictf("all processes were killed and started again; %v later %d of %d requests are served, answers by status %v; RECOVER broken, too: %v",
		recoverAfter, served, sent, statuses, broken)
}

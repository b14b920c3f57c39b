package main

import (
	"fmt"
	"time"
)

func init() { cases["leave"] = caseLeave }

const (
	leaveNear = "arima-hall"
	leaveFar  = "ilemela-hall"
	// leaveFirst is the machine of the zone that learns first what the store publishes, and
	// leaveNext the one that takes over from it.
	leaveFirst = "front-arima-hall-1"
	leaveNext  = "front-arima-hall-2"
	// leaveRefused is how long the store turns leaveNext away after the start.
	leaveRefused = 5 * time.Second
	// leaveLossAt is when leaveFirst loses power, for leaveDark, and leaveAt when the backend
	// leaves.
	leaveLossAt = 16 * time.Second
	leaveDark   = 3500 * time.Millisecond
	leaveAt     = leaveLossAt + 50*time.Millisecond
	// leaveServesOn is how long the backend serves on after the store has taken its leave: drainMs
	// and a little longer.
	leaveServesOn = 3400 * time.Millisecond
	leaveEnd      = 22 * time.Second
)

// caseLeave plays a backend that leaves while a machine is without power. With trouble, the store
// had turned away the machine that takes over, for the first seconds after its start.
func caseLeave(w *world) bool {
	w.store = newStore(w)
	w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": "shop.example", "pathPrefix": "/orders/", "kind": "unsafe", "timeoutMs": 6000, "targetLatencyMs": 600,
			"priority": 2, "service": "lab", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "lab", "healthPath": "/health", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	leaving := w.addBackend("lab", leaveNear, 4, 160*time.Millisecond)
	w.addBackend("lab", leaveNear, 4, 160*time.Millisecond)
	w.addBackend("lab", leaveFar, 4, 160*time.Millisecond)
	w.addBackend("lab", leaveFar, 4, 160*time.Millisecond)
	for _, zone := range []string{leaveFar, leaveNear} {
		for n := range 2 {
			w.addHost(fmt.Sprintf("front-%s-%d", zone, n+1), zone)
		}
	}
	if w.trouble {
		w.store.setMode(leaveNext, storeBusy)
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.startBalancer()
	w.sleepUntil(leaveRefused)
	w.store.setMode(leaveNext, storeServes)
	w.awaitReady(10 * time.Second)
	w.sleepUntil(10 * time.Second)
	l := &load{
		w: w, method: "POST", hostName: "shop.example", target: func(n int) string { return fmt.Sprintf("/orders/%d", n) }, body: "two lenses",
		timeLimit: 6 * time.Second, perSecond: 60, consumers: 24, zones: []string{leaveFar, leaveNear},
	}
	go l.run(leaveEnd)
	w.sleepUntil(leaveLossAt)
	first := w.host(leaveFirst)
	first.kill()
	w.say("machine loses power", "machine", first.name)
	w.sleepUntil(leaveAt)
	gone := leaving.leave()
	w.say("backend leaves, the store has taken it", "backend", leaving.id)
	go func() {
		w.sleepUntil(leaveLossAt + leaveDark)
		first.start()
	}()
	w.sleepUntil(gone + leaveServesOn)
	leaving.end()
	w.say("backend ends")
	w.sleepUntil(leaveEnd)
	l.done.Wait()
	return judgeLeave(w, leaving, gone, l)
}

// judgeLeave checks the rule DRAIN: no request reaches the backend later than drainMs after the
// store has acknowledged that it is gone.
func judgeLeave(w *world, b *backend, gone time.Duration, l *load) bool {
	late, lost := 0, 0
	for _, a := range b.got() {
		if a.At <= gone+w.drain {
			continue
		}
		late++
		w.say("request reaches a backend that is gone", "id", a.ID, "after", (a.At - gone).Seconds())
		for _, s := range l.sent {
			if s.ID == a.ID && s.Status != 200 {
				lost++
				w.say("its order is lost", "id", s.ID, "status", s.Status, "error", s.Err)
			}
		}
	}
	w.say("result", "late", late, "lost", lost, "sent", len(l.sent))
	return late == 0
}

package main

import (
	"fmt"
	"time"
)

func init() { cases["refused"] = caseRefused }

// refusedNames are the machines that the store turns away, a third of all. They are those that would
// read it one after the other.
var refusedNames = []string{"front-hall-a-2", "front-hall-a-1", "front-hall-a-5"}

const (
	refusedZone     = "hall-a"
	refusedMachines = 9
	// refusedAt is when the store begins to turn the machines away, for refusedFor.
	refusedAt  = 14 * time.Second
	refusedFor = 9 * time.Second
	// refusedChangeAt is when the operator moves the route to another service.
	refusedChangeAt = refusedAt + 2*time.Second
	refusedEnd      = refusedAt + refusedFor + 2*time.Second
)

// refusedConfig is the configuration with the route at one of the two services.
func refusedConfig(version int, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-stock", "host": "shop.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": 6000, "targetLatencyMs": 600,
			"priority": 2, "service": service, "maxAttempts": 2,
		}},
		"services": []any{
			map[string]any{"name": "old-stock", "healthPath": "/health", "maxConns": 100},
			map[string]any{"name": "new-stock", "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	}
}

// caseRefused plays a store that turns away a third of the machines and serves the others.
// Meanwhile the operator moves a route to another service.
func caseRefused(w *world) bool {
	w.store = newStore(w)
	w.store.put("op/config", refusedConfig(7, "old-stock"))
	var old []*backend
	for range 3 {
		old = append(old, w.addBackend("old-stock", refusedZone, 4, 60*time.Millisecond))
		w.addBackend("new-stock", refusedZone, 4, 60*time.Millisecond)
	}
	for n := range refusedMachines {
		w.addHost(fmt.Sprintf("front-%s-%d", refusedZone, n+1), refusedZone)
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.startBalancer()
	w.awaitReady(10 * time.Second)
	w.sleepUntil(10 * time.Second)
	l := &load{
		w: w, method: "GET", hostName: "shop.example", target: func(n int) string { return fmt.Sprintf("/stock/%d", n) },
		timeLimit: 6 * time.Second, perSecond: 45, consumers: 36,
	}
	go l.run(refusedEnd)
	w.sleepUntil(refusedAt)
	refused := map[string]bool{}
	for _, name := range refusedNames {
		if w.trouble {
			refused[name] = true
			w.store.setMode(name, storeBusy)
		}
	}
	w.say("store turns machines away", "count", len(refused), "of", len(w.hosts))
	w.sleepUntil(refusedChangeAt)
	acked := w.store.put("op/config", refusedConfig(9, "new-stock"))
	w.say("store has taken version 9")
	w.sleepUntil(refusedAt + refusedFor)
	for m := range refused {
		w.store.setMode(m, storeServes)
	}
	w.say("store serves all machines")
	l.done.Wait()
	w.sleepUntil(refusedEnd + time.Second)
	return judgeRefused(w, old, acked, refused, l)
}

// judgeRefused checks the rule CONFIG: no request that was sent later than configApplyMs after the
// ack of the version, to a machine that the store never turned away, runs at the old service.
func judgeRefused(w *world, old []*backend, acked time.Duration, refused map[string]bool, l *load) bool {
	sent := map[string]*sentRequest{}
	for _, s := range l.sent {
		sent[s.ID] = s
	}
	stale, after := 0, 0
	byMachine := map[string]int{}
	for _, s := range l.sent {
		if s.SentAt > acked+w.configApply && !refused[s.Host] {
			after++
		}
	}
	for _, b := range old {
		for _, a := range b.got() {
			s := sent[a.ID]
			if s == nil || !a.Ran || refused[s.Host] || s.SentAt <= acked+w.configApply {
				continue
			}
			stale++
			byMachine[s.Host]++
			w.note("request is run by the old service", "id", a.ID, "machine", s.Host, "sentAfterAck", (s.SentAt - acked).Seconds())
		}
	}
	w.say("result", "sent later than configApplyMs to machines in touch", after, "of these run by the old service", stale, "by machine", byMachine)
	return stale == 0
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["eightbit"] = caseEightBit }

const (
	shiftFrom = "kurasini-hall"
	shiftTo   = "ilemela-hall"
	shards    = 6
	// shiftAt is when a share of the consumers moves to the other zone, for shiftFor.
	shiftAt    = 14 * time.Second
	shiftFor   = 7500 * time.Millisecond
	shiftShare = 0.65
	shiftEnd   = 24 * time.Second
	// eightBitConsumers send a search each, every eightBitGap.
	eightBitConsumers = 20
	eightBitGap       = 500 * time.Millisecond
)

// search is a request as its consumer wrote it.
type search struct{ ID, Target, Zone string }

// caseEightBit plays consumers whose request ids have a letter of Latin-1, as a header value may. With
// trouble, a share of them moves to the other zone.
func caseEightBit(w *world) bool {
	w.store = newStore(w)
	var groups []any
	for i := range shards {
		groups = append(groups, fmt.Sprintf("field-log-%d", i))
	}
	w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-birds", "host": "birds.example", "pathPrefix": "/birds/", "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 120,
			"priority": 1, "gather": groups, "maxAttempts": 2, "topK": 10, "minCoverage": 0.89,
		}},
		"services": []any{},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	for i := range shards {
		for n := range 2 {
			b := w.addBackend(fmt.Sprintf("field-log-%d", i), shiftFrom, 2, 7*time.Millisecond)
			b.records = [][]byte{fmt.Appendf(nil, "%016d", 10*i+n)}
		}
	}
	for _, zone := range []string{shiftFrom, shiftTo} {
		for n := range 2 {
			w.addHost(fmt.Sprintf("front-%s-%d", zone, n+1), zone)
		}
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.startBalancer()
	w.awaitReady(10 * time.Second)
	w.sleepUntil(10 * time.Second)
	var (
		mu   sync.Mutex
		sent = map[string]search{}
		all  sync.WaitGroup
	)
	for c := range eightBitConsumers {
		all.Go(func() {
			for n := 0; w.now() < shiftEnd; n++ {
				// RFC 9110, section 5.5: a field value may hold obs-text, which is opaque data.
				s := search{ID: fmt.Sprintf("c%02d-%04d-pe\xf1a", c, n), Target: fmt.Sprintf("/birds/%d/%d", c, n), Zone: shiftFrom}
				if now := w.now(); w.trouble && float64(c) < shiftShare*eightBitConsumers && now >= shiftAt && now < shiftAt+shiftFor {
					s.Zone = shiftTo
				}
				mu.Lock()
				sent[s.ID] = s
				mu.Unlock()
				w.ask(c, s)
				time.Sleep(eightBitGap)
			}
		})
	}
	w.sleepUntil(shiftAt)
	if w.trouble {
		w.say("consumers move", "share", shiftShare, "to", shiftTo)
	}
	all.Wait()
	return judgeEightBit(w, sent)
}

// ask sends a search on a connection of its own and records the answer.
func (w *world) ask(consumer int, s search) {
	status, parts := "none", ""
	defer func() {
		w.note("consumer has its answer", "id", quoted(s.ID), "target", quoted(s.Target), "zone", s.Zone, "status", status, "parts", parts)
	}()
	h := w.balancer.pick(w.hosts, s.Zone, consumer)
	if h == nil {
		return
	}
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: birds.example\r\nLoomgap-Request-Id: %s\r\nLoomgap-Deadline-Ms: 800\r\n\r\n", s.Target, s.ID)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	status, parts = r.Status, strings.Join(r.Header.Values("Loomgap-Part-Stamps"), ", ")
}

func quoted(s string) string { return fmt.Sprintf("%+q", s) }

// judgeEightBit checks the rule UNASKED: each request that a backend runs has an id that a consumer
// sent, and the path and query that the consumer sent with it.
func judgeEightBit(w *world, sent map[string]search) bool {
	runs, foreign, changed := 0, 0, 0
	for _, b := range w.backends {
		for _, a := range b.got() {
			if !a.Ran {
				continue
			}
			runs++
			s, known := sent[a.ID]
			switch {
			case !known:
				foreign++
				w.note("backend runs a request whose id no consumer sent", "backend", b.id, "id", quoted(a.ID), "target", quoted(a.Target))
			case s.Target != a.Target:
				changed++
				w.note("backend runs a request with its query changed", "backend", b.id, "id", quoted(a.ID), "target", quoted(a.Target), "sent", quoted(s.Target))
			}
		}
	}
	w.say("result", "sent", len(sent), "runs", runs, "with an id that no consumer sent", foreign, "with the query changed", changed)
	return foreign+changed == 0
}

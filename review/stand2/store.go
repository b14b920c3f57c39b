package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store treats one machine.
type storeMode int

const (
	storeServes storeMode = iota
	// storeBusy answers 503: nothing was done.
	storeBusy
	// storeResets resets connections.
	storeResets
	// storeSilent gives no answer.
	storeSilent
)

// maxPage is the number of items of a page.
const maxPage = 500

type item struct {
	Key      string `json:"tlsKey"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

// store is the platform's metadata store. Each machine reaches it at an address of its own, so
// that it can be turned away alone.
type store struct {
	w       *world
	history time.Duration

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	modes     map[string]storeMode
	// watching counts the watches of each machine that wait.
	lastWatch map[string]time.Duration
	servers   []*http.Server
}

func newStore(w *world) *store {
	return &store{
		w: w, history: 20 * time.Second, revision: 1, items: map[string]item{}, changed: make(chan struct{}),
		modes: map[string]storeMode{}, lastWatch: map[string]time.Duration{},
	}
}

// serve returns the address at which a machine reaches the store.
func (s *store) serve(machine string, last int) string {
	l := s.w.listen(last)
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.handle(machine, rw, r) })}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String()
}

func (s *store) close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

func (s *store) setMode(machine string, m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[machine] = m
	s.wake()
}

// wake wakes all watches; s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an entry and returns the time of the ack.
func (s *store) put(key string, value any) time.Duration {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(text), Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	s.wake()
	s.mu.Unlock()
	return s.w.now()
}

// remove removes an entry and returns the time of the ack.
func (s *store) remove(key string) time.Duration {
	s.mu.Lock()
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.revision++
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
		s.wake()
	}
	s.mu.Unlock()
	return s.w.now()
}

func (s *store) handle(machine string, rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.modes[machine]
	s.mu.Unlock()
	if s.refuse(mode, rw, r) {
		s.w.note("store turns a call away", "machine", machine, "call", r.URL.Path)
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.w.note("store is read", "machine", machine, "stale", r.URL.Query().Get("serializable"))
		s.readRange(rw, r)
	case "/-/kv-watch":
		s.mu.Lock()
		s.lastWatch[machine] = s.w.now()
		s.mu.Unlock()
		s.watch(machine, rw, r)
	default:
		http.NotFound(rw, r)
	}
}

// refuse treats a call as the mode says, and reports whether it is refused.
func (s *store) refuse(m storeMode, rw http.ResponseWriter, r *http.Request) bool {
	switch m {
	case storeBusy:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	case storeResets:
		if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return true
	case storeSilent:
		<-r.Context().Done()
		return true
	}
	return false
}

func (s *store) readRange(rw http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := []item{}
	for _, k := range keys[:min(len(keys), maxPage)] {
		page = append(page, s.items[k])
	}
	writeJSON(rw, map[string]any{"items": page, "hasMore": len(keys) > maxPage, "asOf": s.revision})
}

func (s *store) watch(machine string, rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if m := s.modes[machine]; m != storeServes {
			s.mu.Unlock()
			s.refuse(m, rw, r)
			return
		}
		s.forgetOld()
		if after < s.forgotten {
			s.mu.Unlock()
			rw.WriteHeader(http.StatusGone)
			return
		}
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			writeJSON(rw, map[string]any{"events": found, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(rw, map[string]any{"events": found, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// forgetOld forgets the history that is older than the limit; s.mu must be held.
func (s *store) forgetOld() {
	n := 0
	for n < len(s.events) && time.Since(s.events[n].at) > s.history {
		s.forgotten = s.events[n].Revision
		n++
	}
	s.events = s.events[n:]
}

// reader returns the machine that watched last.
func (s *store) reader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, last := "", time.Duration(-1)
	for m, at := range s.lastWatch {
		if at > last {
			name, last = m, at
		}
	}
	return name
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}

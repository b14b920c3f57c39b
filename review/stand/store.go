package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store, as far as PROTOCOL.md lets the system
// use it: ranges and watches. All reads are linearizable.
type store struct {
	address  string
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	// events holds all changes in order; the store forgets none.
	events []item
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type item struct {
	Key      string `json:"tlsKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), listener: l, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an entry and returns once the store has taken it.
func (s *store) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.putBytes(key, text)
	return nil
}

func (s *store) putBytes(key string, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.changedWith(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.changedWith(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) changedWith(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("tlsKey")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	answer(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("pathPrefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items    []item `json:"items"`
		More     bool   `json:"hasMore"`
		Revision uint64 `json:"asOf"`
	}{Items: []item{}, Revision: s.revision}
	size := 0
	for _, k := range keys {
		if len(page.Items) > 0 && (len(page.Items) == pageItems || size+len(s.items[k].Value) > pageBytes) {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[k])
		size += len(s.items[k].Value)
	}
	s.mu.Unlock()
	answer(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("pathPrefix")
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: no revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil || wait < 0 || wait > 30000 {
		http.Error(w, "waitMs: out of range", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := struct {
			Events   []item `json:"events"`
			Revision uint64 `json:"asOf"`
		}{Events: []item{}, Revision: s.revision}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			answer(w, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
}

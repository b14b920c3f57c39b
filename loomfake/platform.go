package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"loomgap/tier/config"
	"loomgap/tier/prog"
	"loomgap/tier/wire"
)

// platformCommand runs a stand-in for the platform's service.
type platformCommand struct {
	listen      netip.AddrPort
	file        string
	maxLifetime time.Duration
}

func newPlatformCommand() prog.Command {
	c := &platformCommand{}
	return prog.Command{
		Name: "platform", Synopsis: "run a stand-in for the platform's service",
		Usage: "loomfake platform -Listen IP:PORT [-File DOCUMENT]\n" +
			"POST /Publish publishes a document, POST /Fake sets faults, POST /SetLive sets an entry of the live list,\n" +
			"POST /Restore restores the platform from a backup.\n",
		Flags: c.flags, Run: withExitStatus(c.run),
	}
}

func (c *platformCommand) flags(f *flag.FlagSet) {
	f.TextVar(&c.listen, "Listen", netip.MustParseAddrPort("127.0.0.1:7300"), "`IP:port` to listen on")
	f.StringVar(&c.file, "File", "", "`file` of the first document")
	f.DurationVar(&c.maxLifetime, "Life", time.Hour, "maximum lifetime of the process")
}

func (c *platformCommand) run(context.Context) error {
	p := newPlatformServer()
	if c.file != "" {
		text, err := os.ReadFile(c.file)
		if err != nil {
			return fmt.Errorf("read first document: %w", err)
		}
		p.publish(string(text))
	}
	l, err := listenLoopback(c.listen)
	if err != nil {
		return err
	}
	return serveUntilStopped(l, p.handler(), c.maxLifetime)
}

// platformFaults are the faults of the platform, which POST /Fake sets.
type platformFaults struct {
	// Down refuses all reads.
	Down bool
	// Serve is the older revision to serve; 0 means the newest.
	Serve uint64
	// LiveLag is how long a changed entry of the live list is reported as live.
	LiveLag config.Duration
}

// restoreRequest restores the platform from a backup.
type restoreRequest struct {
	// Revision is the newest document in the backup, Live its live list.
	Revision uint64
	Live     []wire.LiveEntry `json:",omitzero"`
}

// platformServer is a stand-in for the platform's service.
type platformServer struct {
	// mu guards the fields below.
	mu sync.Mutex
	// era starts at 1 and grows with each restore; eraFrom is the first revision
	// published in it.
	era, eraFrom uint64
	// documents are the published documents; revision N is at index N-1.
	documents []string
	// live is the live list by upstream name, liveVersion the number of its changes.
	live        map[string]liveRecord
	liveVersion uint64
	faults      platformFaults
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// liveRecord is an entry of the live list, with the time of its last change.
type liveRecord struct {
	state     wire.LiveState
	changedAt time.Time
}

// Limits of the stand-in.
const (
	// pollInterval is how often a waiting read checks again, since the end of a LiveLag
	// does not notify it.
	pollInterval = 200 * time.Millisecond
	// maxDocumentBytes exceeds the limit of the hosts, so that a document can be published
	// that hosts refuse for its size.
	maxDocumentBytes = 4 * config.MaxBytes
)

func newPlatformServer() *platformServer {
	return &platformServer{era: 1, eraFrom: 1, live: map[string]liveRecord{}, changed: make(chan struct{})}
}

func (p *platformServer) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+wire.PathDocument, p.longPoll(p.currentDocument))
	m.HandleFunc("GET "+wire.PathLive, p.longPoll(p.liveList))
	m.HandleFunc("POST /Publish", p.onPublish)
	m.HandleFunc("POST /Fake", setterHandler(p.setFaults))
	m.HandleFunc("POST /SetLive", setterHandler(p.setLive))
	m.HandleFunc("POST /Restore", setterHandler(p.restore))
	return m
}

func (p *platformServer) publish(text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents = append(p.documents, text)
	p.notifyReaders()
	return uint64(len(p.documents))
}

// notifyReaders wakes the waiting reads. It must be called with mu locked.
func (p *platformServer) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// restore rolls the documents and the live list back to a backup, and begins the next
// era.
func (p *platformServer) restore(r restoreRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents = p.documents[:min(r.Revision, uint64(len(p.documents)))]
	p.era, p.eraFrom = p.era+1, uint64(len(p.documents))+1
	p.live, p.liveVersion = map[string]liveRecord{}, uint64(len(r.Live))
	for _, e := range r.Live {
		p.live[e.Name] = liveRecord{state: e.State}
	}
	p.notifyReaders()
}

// longPoll serves a value and its version. It replies when the version exceeds After,
// when the request names another Era, or after WaitMillis. A missing or malformed
// parameter counts as 0; an Era of 0 counts as the current one.
func (p *platformServer) longPoll(get func() (uint64, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("After"), 10, 64)
		wait, _ := strconv.ParseInt(r.FormValue("WaitMillis"), 10, 64)
		era, _ := strconv.ParseUint(r.FormValue("Era"), 10, 64)
		deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			p.mu.Lock()
			down, changed := p.faults.Down, p.changed
			otherEra := era > 0 && era != p.era
			version, v := get()
			p.mu.Unlock()
			if down {
				http.Error(w, "down", http.StatusServiceUnavailable)
				return
			}
			if version > after || otherEra || !time.Now().Before(deadline) {
				writeJSON(w, http.StatusOK, v)
				return
			}
			select {
			case <-changed:
			case <-time.After(min(time.Until(deadline), pollInterval)):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// currentDocument returns the revision and the document to serve. It must be called with
// mu locked.
func (p *platformServer) currentDocument() (uint64, any) {
	revision := uint64(len(p.documents))
	if p.faults.Serve > 0 && p.faults.Serve < revision {
		revision = p.faults.Serve
	}
	if revision == 0 {
		return 0, wire.DocumentReply{Era: p.era, EraFrom: p.eraFrom}
	}
	return revision, wire.DocumentReply{Era: p.era, EraFrom: p.eraFrom, Revision: revision, Text: p.documents[revision-1]}
}

// liveList returns the version of the live list and the list. It must be called with mu
// locked.
func (p *platformServer) liveList() (uint64, any) {
	out := wire.LiveReply{Era: p.era, Version: p.liveVersion}
	for name, l := range p.live {
		state := l.state
		if time.Since(l.changedAt) < time.Duration(p.faults.LiveLag) {
			state = wire.LiveLive
		}
		out.Entries = append(out.Entries, wire.LiveEntry{Name: name, State: state})
	}
	return p.liveVersion, out
}

func (p *platformServer) onPublish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, wire.DocumentReply{Revision: p.publish(string(text))})
}

func (p *platformServer) setFaults(f platformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyReaders()
}

func (p *platformServer) setLive(e wire.LiveEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.liveVersion++
	p.live[e.Name] = liveRecord{state: e.State, changedAt: time.Now()}
	p.notifyReaders()
}

// jsonHandler returns a handler that decodes the request body as JSON before it calls
// serve.
func jsonHandler[T any](serve func(http.ResponseWriter, *http.Request, *T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := wire.Decode(r.Body, wire.MaxBodyBytes, &v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		serve(w, r, &v)
	}
}

// setterHandler returns a handler that passes the posted JSON value to set and echoes it.
func setterHandler[T any](set func(T)) http.HandlerFunc {
	return jsonHandler(func(w http.ResponseWriter, _ *http.Request, v *T) {
		set(*v)
		writeJSON(w, http.StatusOK, v)
	})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(code)
	_, _ = w.Write(text)
}

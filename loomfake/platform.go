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

// platformCommand runs the stand-in of the platform's service.
type platformCommand struct {
	listen netip.AddrPort
	file   string
	life   time.Duration
}

func newPlatformCommand() prog.Command {
	c := &platformCommand{}
	return prog.Command{
		Name: "platform", Synopsis: "run a stand-in of the platform's service",
		Usage: "loomfake platform -Listen IP:PORT [-File DOCUMENT]\n" +
			"POST /Publish publishes a document, POST /Fake sets faults, POST /SetLive a line of the live list,\n" +
			"POST /Restore has it come back from a copy.\n",
		Flags: c.flags, Run: logged(c.run),
	}
}

func (c *platformCommand) flags(f *flag.FlagSet) {
	f.TextVar(&c.listen, "Listen", netip.MustParseAddrPort("127.0.0.1:7300"), "`IP:port` to serve at")
	f.StringVar(&c.file, "File", "", "`file` of the first document")
	f.DurationVar(&c.life, "Life", time.Hour, "longest life of the process")
}

func (c *platformCommand) run(context.Context) error {
	p := newPublisher()
	if c.file != "" {
		text, err := os.ReadFile(c.file)
		if err != nil {
			return fmt.Errorf("first document: %w", err)
		}
		p.publish(string(text))
	}
	l, err := listen(c.listen)
	if err != nil {
		return err
	}
	return serveUntilStopped(l, p.handler(), c.life)
}

type platformFaults struct {
	// Down refuses every read.
	Down bool
	// Serve serves this older revision; 0 serves the newest.
	Serve uint64
	// LiveLag delays changes of the live list.
	LiveLag config.Duration
}

// restoring has the platform come back from a copy of itself.
type restoring struct {
	// Revision is up to which document the copy was made, Live the live list of then.
	Revision uint64
	Live     []wire.LiveEntry `json:",omitzero"`
}

type publisher struct {
	// mu guards what follows.
	mu sync.Mutex
	// era counts the returns from a copy, from 1; eraFrom is the first revision that it
	// gives out.
	era, eraFrom uint64
	// documents are those published so far; the index is the revision less 1.
	documents []string
	// live is the live list by name, version the count of its changes.
	live    map[string]liveLine
	version uint64
	faults  platformFaults
	// changed is closed, and made anew, whenever anything changes.
	changed chan struct{}
}

// liveLine is the state of an upstream, and since when it is in the list.
type liveLine struct {
	state wire.LiveState
	at    time.Time
}

// Bounds of the stand-in.
const (
	// lookEvery is the longest time between two looks of a waiting read, so that a
	// line that LiveLag delays is seen.
	lookEvery = 200 * time.Millisecond
	// maxDocument is the size in bytes of the largest document taken; larger ones
	// than a host accepts may be published, to see them refused.
	maxDocument = 4 * config.MaxBytes
)

func newPublisher() *publisher {
	return &publisher{era: 1, eraFrom: 1, live: map[string]liveLine{}, changed: make(chan struct{})}
}

func (p *publisher) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+wire.PathDocument, p.read(p.document))
	m.HandleFunc("GET "+wire.PathLive, p.read(p.list))
	m.HandleFunc("POST /Publish", p.onPublish)
	m.HandleFunc("POST /Fake", posted(p.setFaults))
	m.HandleFunc("POST /SetLive", posted(p.setLive))
	m.HandleFunc("POST /Restore", posted(p.restore))
	return m
}

func (p *publisher) publish(text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents = append(p.documents, text)
	p.wake()
	return uint64(len(p.documents))
}

// wake lets waiting reads look again. It needs mu.
func (p *publisher) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// restore has the documents and the live list be those of a copy, and begins the next era.
func (p *publisher) restore(r restoring) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents = p.documents[:min(r.Revision, uint64(len(p.documents)))]
	p.era, p.eraFrom = p.era+1, uint64(len(p.documents))+1
	p.live, p.version = map[string]liveLine{}, uint64(len(r.Live))
	for _, e := range r.Live {
		p.live[e.Name] = liveLine{state: e.State}
	}
	p.wake()
}

// read serves a long poll: it answers when the number rises above After, when After is of
// another Era, or when WaitMillis have passed. A number that is missing or wrong counts
// as 0, and an era that is missing as this one.
func (p *publisher) read(get func() (uint64, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("After"), 10, 64)
		wait, _ := strconv.ParseInt(r.FormValue("WaitMillis"), 10, 64)
		era, _ := strconv.ParseUint(r.FormValue("Era"), 10, 64)
		end := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			p.mu.Lock()
			down, changed := p.faults.Down, p.changed
			another := era > 0 && era != p.era
			n, v := get()
			p.mu.Unlock()
			if down {
				http.Error(w, "down", http.StatusServiceUnavailable)
				return
			}
			if n > after || another || !time.Now().Before(end) {
				write(w, http.StatusOK, v)
				return
			}
			select {
			case <-changed:
			case <-time.After(min(time.Until(end), lookEvery)):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// document returns the revision and the document to serve. It needs mu.
func (p *publisher) document() (uint64, any) {
	n := uint64(len(p.documents))
	if p.faults.Serve > 0 && p.faults.Serve < n {
		n = p.faults.Serve
	}
	if n == 0 {
		return 0, wire.DocumentReply{Era: p.era, EraFrom: p.eraFrom}
	}
	return n, wire.DocumentReply{Era: p.era, EraFrom: p.eraFrom, Revision: n, Text: p.documents[n-1]}
}

// list returns the version of the live list and the list. It needs mu.
func (p *publisher) list() (uint64, any) {
	out := wire.LiveReply{Era: p.era, Version: p.version}
	for n, l := range p.live {
		state := l.state
		if time.Since(l.at) < time.Duration(p.faults.LiveLag) {
			state = wire.LiveLive
		}
		out.Entries = append(out.Entries, wire.LiveEntry{Name: n, State: state})
	}
	return p.version, out
}

func (p *publisher) onPublish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxDocument))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write(w, http.StatusOK, wire.DocumentReply{Revision: p.publish(string(text))})
}

func (p *publisher) setFaults(f platformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

func (p *publisher) setLive(e wire.LiveEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.live[e.Name] = liveLine{state: e.State, at: time.Now()}
	p.wake()
}

// decoded serves requests whose body is a value as JSON.
func decoded[T any](serve func(http.ResponseWriter, *http.Request, *T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := wire.Decode(r.Body, wire.MaxBodyBytes, &v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		serve(w, r, &v)
	}
}

// posted serves a value that is posted as JSON: it is set, and sent back.
func posted[T any](set func(T)) http.HandlerFunc {
	return decoded(func(w http.ResponseWriter, _ *http.Request, v *T) {
		set(*v)
		write(w, http.StatusOK, v)
	})
}

func write(w http.ResponseWriter, code int, v any) {
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

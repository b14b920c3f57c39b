// Command rig plays the script cases of the review: it starts the daemon as the deploy file
// says, and stands in for the platform's store, the balancer, the backends and the consumers.
// Everything listens on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// errSetup marks a case that could not run.
type errSetup struct{ text string }

func (e errSetup) Error() string { return e.text }

// cannotRun ends the case with exit code 2.
func cannotRun(format string, args ...any) { panic(errSetup{fmt.Sprintf(format, args...)}) }

// world holds what a case started. Times are since its start.
type world struct {
	root    string
	temp    string
	started time.Time
	trouble bool
	// net24 is the loopback network of the case, such as 127.31.7.
	net24 string
	// bounds of the deployment, as in the settings of a small one.
	drain, contact, configApply time.Duration

	mu     sync.Mutex
	record *os.File

	store    *store
	hosts    []*host
	backends []*backend
	balancer *balancer
}

func newWorld(root, record string) *world {
	f, err := os.Create(record)
	if err != nil {
		cannotRun("create record: %v", err)
	}
	temp, err := os.MkdirTemp("", "rig-")
	if err != nil {
		cannotRun("create temporary folder: %v", err)
	}
	return &world{
		root: root, temp: temp, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: f, net24: pickNetwork(),
		drain: 3 * time.Second, contact: 4 * time.Second, configApply: 3 * time.Second,
	}
}

// pickNetwork returns a loopback network in which the metrics port of the deploy file is free.
func pickNetwork() string {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", n+".11:9100")
		if err == nil {
			_ = l.Close()
			return n
		}
	}
	cannotRun("no free loopback network")
	return ""
}

func (w *world) now() time.Duration { return time.Since(w.started) }

// sleepUntil sleeps until a time since the start of the case.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// note writes a line to the record.
func (w *world) note(what string, fields ...any) {
	line := fmt.Sprintf("%9.3f %s", w.now().Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		text, _ := json.Marshal(fields[i+1])
		line += fmt.Sprintf(" %v=%s", fields[i], text)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintln(w.record, line)
}

// say is note, and prints the line.
func (w *world) say(what string, fields ...any) {
	w.note(what, fields...)
	line := fmt.Sprintf("%7.2f %s", w.now().Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		line += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	fmt.Println(line)
}

// end stops everything that the case started.
func (w *world) end() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, b := range w.backends {
		b.end()
	}
	if w.store != nil {
		w.store.close()
	}
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// listen listens on a free port of an address in the case's network.
func (w *world) listen(last int) net.Listener {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net24, last))
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// freePort returns a port that is free on an address of the case's network.
func (w *world) freePort(last int) int {
	l := w.listen(last)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

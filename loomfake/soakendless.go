package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"loomgap/platform"
)

// Endless responses of a soak.
const (
	// soakEndlessShare is the share of the requests that a faulty upstream answers without an end.
	soakEndlessShare = 0.2
	// soakEndlessBytes limits one endless response, so that a daemon without limits does not use up
	// the memory of the machine.
	soakEndlessBytes = 64 << 20
	soakEndlessBlock = 16 << 10
	// maxEndlessInterval is the longest time between the starts of two faults.
	maxEndlessInterval = time.Second
	// soakMemoryMB is the memory of a daemon, that of the smallest host.
	soakMemoryMB = 160
	// soakMemoryInterval is the time between two readings of the daemons' resident memory.
	soakMemoryInterval = 20 * time.Millisecond
)

// endlessForm is a form of a response that does not end.
type endlessForm struct {
	name string
	// begin is the beginning of the response, in which {head} stands for the headers of a valid one;
	// repeat follows again and again. If repeat is empty, nothing follows until the daemon closes.
	begin, repeat string
}

// endlessForms are the forms that a soak draws from.
var endlessForms = []endlessForm{
	{"upstream without line end", "", "x"},
	{"upstream with endless headers", "{head}", "X-More: 1\r\n"},
	{"upstream with endless interim responses", "", "HTTP/1.1 103 X\r\nX-More: 1\r\n\r\n"},
	{"upstream with endless body", "{head}\r\n", "x"},
	{"upstream with endless chunks", "{head}Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"upstream with endless short chunks", "{head}Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"upstream with too long a body", "{head}Content-Length: 100000000\r\n\r\n", "x"},
	{"upstream that stops in a body", "{head}Content-Length: 8000000\r\n\r\n" + strings.Repeat("x", 1<<20), ""},
	{"upstream that stops in a head", "{head}X-More: ", ""},
}

// injectEndless lets random upstreams send endless responses until ctx ends. Like injectOverload it
// has a random source of its own.
func (s *soak) injectEndless(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	for ctx.Err() == nil {
		form := &endlessForms[random.IntN(len(endlessForms))]
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxExtraFaultDuration)))
		pause := time.Duration(random.Int64N(int64(maxEndlessInterval)))
		s.mu.Lock()
		u := s.upstreams[random.IntN(len(s.upstreams))]
		s.injected[form.name]++
		s.mu.Unlock()
		u.setEndless(form)
		time.AfterFunc(duration, func() { u.setEndless(nil) })
		sleepContext(ctx, pause)
	}
}

func (u *soakUpstream) setEndless(form *endlessForm) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endless = form
}

// serveEndless sends a response in a form that does not end, until the daemon closes the connection.
func (u *soakUpstream) serveEndless(w http.ResponseWriter, r *http.Request, form *endlessForm) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	h := platform.Headers
	id := r.Header.Get(h.RequestID)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", h.RequestID, id, h.Stamp, u.Stamp(id))
	writeEndless(c, strings.ReplaceAll(form.begin, "{head}", head), form.repeat, soakEndlessBytes)
}

// writeEndless writes a text, and another one again and again up to a limit. It returns when the peer
// closes the connection.
func writeEndless(c net.Conn, begin, repeat string, limit int) {
	_, err := io.WriteString(c, begin)
	if repeat != "" {
		block := []byte(strings.Repeat(repeat, 1+soakEndlessBlock/len(repeat)))
		for n := 0; err == nil && n < limit; n += len(block) {
			_, err = c.Write(block)
		}
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, c) // ends when the peer closes
	}
}

// watchMemory records the largest resident memory of each host's daemons until ctx ends.
func (s *soak) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range s.hosts {
			h.mu.Lock()
			pid := h.process.Process.Pid
			h.mu.Unlock()
			resident, err := residentBytes(pid)
			if err != nil {
				continue // the daemon has just ended
			}
			h.mu.Lock()
			h.peakMemory = max(h.peakMemory, resident)
			h.mu.Unlock()
		}
		sleepContext(ctx, soakMemoryInterval)
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, io.ErrUnexpectedEOF
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// checkMemory checks that no daemon was above the memory that it was told.
func (c *checker) checkMemory() {
	for _, h := range c.soak.hosts {
		if h.peakMemory > 0 && c.soak.ChecksMemory {
			c.expect("memory", h.peakMemory <= soakMemoryMB<<20, "%s had %d MB", h.name, h.peakMemory>>20)
		}
	}
}

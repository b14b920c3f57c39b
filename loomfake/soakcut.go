package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"loomgap/platform"
)

// Cut answers of a soak: an upstream that is stopped while it answers, so that its connections close.
const (
	// soakCutShare is the share of the requests that such an upstream answers in part.
	soakCutShare = 0.2
	// maxCutInterval is the longest time between the starts of two faults.
	maxCutInterval = 2 * time.Second
)

// cutFramings are the heads of cut answers, in which %s stands for the headers of a valid one and %d for
// the length of the whole body.
var cutFramings = []string{
	"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sX-Length: %d\r\n\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\n%sX-Length: %d\r\n\r\n",
	"HTTP/1.0 200 OK\r\n%sX-Length: %d\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\n\r\n",
}

// injectCuts lets random upstreams cut answers off until ctx ends. Like injectEndless it has a random
// source of its own.
func (s *soak) injectCuts(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 3))
	for ctx.Err() == nil {
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxExtraFaultDuration)))
		pause := time.Duration(random.Int64N(int64(maxCutInterval)))
		s.mu.Lock()
		u := s.upstreams[random.IntN(len(s.upstreams))]
		s.injected["upstream that is stopped while it answers"]++
		s.mu.Unlock()
		u.setCuts(true)
		time.AfterFunc(duration, func() { u.setCuts(false) })
		sleepContext(ctx, pause)
	}
}

func (u *soakUpstream) setCuts(cuts bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cuts = cuts
}

// serveCut sends an answer up to any of its bytes, and closes the connection.
func (u *soakUpstream) serveCut(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	h := platform.Headers
	id := r.Header.Get(h.RequestID)
	headers := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", h.RequestID, id, h.Stamp, u.Stamp(id))
	text := fmt.Sprintf(cutFramings[rand.IntN(len(cutFramings))], headers, len(u.Body)) + u.Body
	_, _ = io.WriteString(c, text[:rand.IntN(len(text))])
}

package pass

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/kernel"
)

// takes returns a reply as of a sound upstream that works for a time.
func takes(work time.Duration) replyFunc {
	return func(u *fakeUpstream, c net.Conn, r *http.Request) bool {
		time.Sleep(work)
		return good("done")(u, c, r)
	}
}

// stop stops the host as a signal does, and returns once its server has ended.
func (h *host) stop() {
	h.kernel.SetPhase(kernel.PhaseDraining)
	h.kernel.Stop()
	h.kernel.Settle()
	shutDown(h.kernel, h.server.Config)
}

// TestPlannedStopCutsNoRequest guards against requests that may not be repeated and that a stopping
// host takes, passes on and cuts without an answer, because they take longer than it has left.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const (
		settle    = 1400 * time.Millisecond
		stopBound = 1200 * time.Millisecond
		timeLimit = 4 * time.Second
		interval  = 40 * time.Millisecond
	)
	for _, work := range []time.Duration{0, 600, 1000, 1300, 1600, 2200, 3000} {
		work *= time.Millisecond
		for _, slowBody := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow bodies %t", work, slowBody), func(t *testing.T) {
				t.Parallel()
				h := newHost(t, hostConfig{name: "H1", hall: "A", settle: settle, stopBound: stopBound})
				h.applyDocument(singleDoc())
				var us []*fakeUpstream
				for i := range 30 {
					us = append(us, newFakeUpstream(t, fmt.Sprint("U", i), takes(work)))
					h.listUpstream("Orders", "A", us[i], false)
				}
				seen := func(id string) (n int) {
					for _, u := range us {
						n += u.seen(id)
					}
					return n
				}
				ask := func(id string) result {
					ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
					defer cancel()
					return h.sendReader(ctx, http.MethodPost, "/place/", id, int(timeLimit.Milliseconds()), bodyOf(slowBody))
				}
				assert.Equal(t, ask("first").status, http.StatusOK)
				var all sync.WaitGroup
				stopped := make(chan struct{})
				began := time.Now()
				go func() {
					h.stop()
					close(stopped)
				}()
				served := make(chan time.Duration, 100)
				for n := 0; time.Since(began) < settle-interval; n++ {
					all.Go(func() {
						id, sent := fmt.Sprint("n", n), time.Now()
						r := ask(id)
						ran := seen(id)
						assert.Check(t, ran <= 1, "%s ran %d times", id, ran)
						switch {
						case r.err == nil && r.status == http.StatusOK:
							served <- sent.Sub(began)
						case ran > 0:
							t.Errorf("sent %s after the stop began: it ran, and the caller got %d, %v", sent.Sub(began), r.status, r.err)
						default:
							assert.Check(t, r.err == nil && r.status == http.StatusServiceUnavailable, "%d, %v", r.status, r.err)
							after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
							assert.Check(t, err == nil && after < 1, "another host takes it at once")
							assert.Check(t, r.header.Get("Connection") == "close" || r.closed, "the caller must ask another host")
							assert.Check(t, time.Since(sent) < bodyTime(slowBody)+time.Second/2, "refused after %s", time.Since(sent))
						}
					})
					time.Sleep(interval)
				}
				all.Wait()
				<-stopped
				assert.Check(t, time.Since(began) <= settle+stopBound+time.Second/2)
				close(served)
				last := time.Duration(-1)
				for at := range served {
					last = max(last, at)
				}
				// What can be finished is still taken: with a margin of a quarter and some time to respond.
				want := min(settle-2*interval, settle+stopBound-work*5/4-bodyTime(slowBody)) - time.Second/4
				assert.Check(t, last >= want, "the last request that was served was sent after %s, want %s", last, want)
			})
		}
	}
}

// slowBodyParts and slowBodyPause are how the slow bodies of the test come.
const (
	slowBodyParts = 4
	slowBodyPause = 50 * time.Millisecond
)

func bodyTime(slow bool) time.Duration {
	if slow {
		return slowBodyParts * slowBodyPause
	}
	return 0
}

// bodyOf returns a body that comes at once, or slowly.
func bodyOf(slow bool) io.Reader {
	if !slow {
		return strings.NewReader("order")
	}
	r, w := io.Pipe()
	go func() {
		for range slowBodyParts {
			time.Sleep(slowBodyPause)
			_, _ = io.WriteString(w, "o")
		}
		_ = w.Close()
	}()
	return r
}

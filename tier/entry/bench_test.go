package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/query"
	"loomgap/tier/wire"
)

// serverEnv makes the test binary serve parts in another process, so that only the caller's
// CPU time is measured.
const serverEnv = "LOOMGAP_BENCH_SERVER"

func TestMain(m *testing.M) {
	if at := os.Getenv(serverEnv); at != "" {
		serveParts(at)
		return
	}
	os.Exit(m.Run())
}

func serveParts(at string) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in wire.PartRequest
		if wire.Decode(r.Body, wire.MaxBodyBytes, &in) != nil {
			return
		}
		text, _ := wire.Encode(wire.PartReply{Identity: in.Identity, Snapshot: in.Snapshot, UpstreamInfo: wire.UpstreamInfo{Oldest: 1, Newest: 1}, Count: 7})
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write(text)
	})
	_ = http.ListenAndServe(at, h) //nolint:gosec // loopback, for a benchmark
}

const benchAddress = "127.0.0.1:19871"

func startServer(b *testing.B) {
	b.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), serverEnv+"="+benchAddress)
	assert.NilError(b, c.Start())
	b.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	for range 100 {
		if r, err := http.Get("http://" + benchAddress); err == nil {
			_ = r.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatal("no server")
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measureCPU(b *testing.B, one func()) {
	b.Helper()
	one()
	b.ResetTimer()
	started := cpuTime()
	for range b.N {
		one()
	}
	b.ReportMetric(float64(cpuTime()-started)/float64(b.N)/1e3, "cpu-us/op")
}

func benchRequest() wire.PartRequest {
	return wire.PartRequest{
		Identity: wire.Identity{RequestID: "H1-18ed705c791cc212192c-1", Attempt: 1, Shard: "S1", MapRevision: 1},
		Service:  "Orders", To: 42, Snapshot: 1, DeadlineMillis: 300,
		Question: query.Question{Verb: "count", Where: []query.Condition{{Field: "Status", Operator: "=", Value: "Ready"}}},
	}
}

// BenchmarkUpstreamCall compares the CPU time of a classified call with that of a plain HTTP
// call of the same body, both for the calling process only.
func BenchmarkUpstreamCall(b *testing.B) {
	startServer(b)
	at := netip.MustParseAddrPort(benchAddress)
	request := benchRequest()
	body, err := wire.Encode(&request)
	assert.NilError(b, err)
	b.Run("bare", func(b *testing.B) {
		client := &http.Client{}
		measureCPU(b, func() {
			r, err := http.NewRequest(http.MethodPost, "http://"+benchAddress+wire.PathPart, bytes.NewReader(body))
			assert.NilError(b, err)
			r.Header.Set("Content-Type", "application/json")
			answer, err := client.Do(r)
			assert.NilError(b, err)
			_, err = io.ReadAll(answer.Body)
			assert.NilError(b, err)
			assert.NilError(b, answer.Body.Close())
		})
	})
	b.Run("tier", func(b *testing.B) {
		c := newClient(&config.Upstream{Address: at}, 4, nil)
		defer c.close()
		header := http.Header{"Content-Type": {"application/json"}}
		measureCPU(b, func() {
			text, err := wire.Encode(&request)
			assert.NilError(b, err)
			r := c.do(context.Background(), wire.PathPart, header, text, wire.MaxReplyBytes)
			o, _ := classify(&r, request.Identity, 1)
			assert.Equal(b, string(o), "OK")
		})
	})
}

// BenchmarkPart measures the CPU time of encoding one request and classifying one reply: the
// cost of a call without its connection.
func BenchmarkPart(b *testing.B) {
	request := benchRequest()
	answer, err := wire.Encode(wire.PartReply{Identity: request.Identity, Snapshot: 1, UpstreamInfo: wire.UpstreamInfo{Oldest: 1, Newest: 1}, Count: 7})
	assert.NilError(b, err)
	measureCPU(b, func() {
		_, err := wire.Encode(&request)
		assert.NilError(b, err)
		r := reply{status: http.StatusOK, body: answer, reached: true}
		o, _ := classify(&r, request.Identity, 1)
		assert.Equal(b, string(o), "OK")
	})
}

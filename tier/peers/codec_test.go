package peers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"loomgap/tier/kernel"
	"loomgap/tier/kernel/memory"
	"loomgap/tier/wire"
)

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255, '{'})
	f.Add([]byte{0, 0, 0, 9, '{', '"'})
	f.Fuzz(func(t *testing.T, text []byte) {
		var v struct{ Method string }
		err := frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(text)), &v)
		if len(text) >= lengthBytes && text[0] > 0 {
			assert.ErrorIs(t, err, wire.ErrTooLarge)
		}
	})
}

// TestFramesUseTheDictionary checks that text of the dictionary shortens a frame, and that the
// frame can be read back.
func TestFramesUseTheDictionary(t *testing.T) {
	message := map[string]any{"jsonrpc": "2.0", "method": "GatherRest", "params": map[string]any{"ID": "x7-1"}}
	text, err := json.Marshal(message)
	assert.NilError(t, err)
	var frame bytes.Buffer
	assert.NilError(t, frameCodec{}.WriteObject(&frame, message))
	assert.Assert(t, frame.Len() < len(text)*2/3, "%d bytes for %d", frame.Len(), len(text))
	var back map[string]any
	assert.NilError(t, frameCodec{}.ReadObject(bufio.NewReader(&frame), &back))
	assert.DeepEqual(t, back, message)
}

// longFrame returns a frame with a message of n bytes that compress well.
func longFrame(t *testing.T, n int) []byte {
	var frame bytes.Buffer
	message := map[string]string{"jsonrpc": "2.0", "method": "Unknown", "params": strings.Repeat("x", n)}
	assert.NilError(t, frameCodec{minLimit: 2 * n}.WriteObject(&frame, message))
	return frame.Bytes()
}

// TestFramesOfManyPeersFitTheSmallestHost guards against peers whose messages each keep their limit,
// and take a host above its memory together: a few bytes unpack to a whole text.
func TestFramesOfManyPeersFitTheSmallestHost(t *testing.T) {
	const connections = 64
	defer kernel.LimitHeap(&kernel.Settings{MemoryMB: memory.HostMB})()
	_, n, at := newTestNode(t)
	frame := longFrame(t, 4<<20)
	peak := memory.PeakHeap(func() {
		var all sync.WaitGroup
		for range connections {
			all.Go(func() {
				c, err := net.Dial("tcp", at.String())
				assert.Check(t, err)
				defer c.Close()
				for range 4 {
					if _, err := c.Write(frame); err != nil {
						return // the host has closed the connection
					}
				}
				assert.Check(t, c.(*net.TCPConn).CloseWrite())
				_, _ = io.Copy(io.Discard, c)
			})
		}
		all.Wait()
	})
	t.Logf("peak heap %d MB", peak>>20)
	assert.Assert(t, peak < memory.HostBytes*3/4, "%d MB", peak>>20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := n.frames.Used(); used != 0 {
			return poll.Continue("%d bytes in use", used)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestUnfinishedFrameEndsItsConnection guards against a peer that stops within a message and holds its
// memory for good.
func TestUnfinishedFrameEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, peer := net.Pipe()
		defer peer.Close()
		go func() { _, _ = peer.Write([]byte{0, 1, 0, 0, 'x'}) }()
		var v any
		var reported error
		c := frameCodec{conn: host, account: kernel.NewByteBudget(1<<20, 1).Account(), rejected: func(err error) { reported = err }}
		err := c.ReadObject(bufio.NewReader(host), &v)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.ErrorIs(t, reported, os.ErrDeadlineExceeded)
	})
}

// TestCutFrameIsNoMessage guards against a message between hosts that was cut and is taken for a whole one.
func TestCutFrameIsNoMessage(t *testing.T) {
	for _, size := range []int{0, 100, 4 * smallFrameBytes} {
		text := make([]byte, size)
		for i := range text {
			text[i] = 'a' + byte(rand.IntN(26))
		}
		var frame bytes.Buffer
		assert.NilError(t, frameCodec{}.WriteObject(&frame, string(text)))
		step := max(frame.Len()/1000, 1)
		for cut := 0; cut < frame.Len(); cut += step {
			var back string
			err := frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(frame.Bytes()[:cut])), &back)
			assert.Assert(t, err != nil, "cut after %d of %d bytes", cut, frame.Len())
		}
	}
}

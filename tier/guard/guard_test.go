package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testLimits are the limits of the doors of tests.
var testLimits = Limits{HeadBytes: 16 << 10, HeadTime: 300 * time.Millisecond, BodyTime: time.Second, IdleTime: 400 * time.Millisecond}

// stand is a server behind a door.
type stand struct {
	t       *testing.T
	guard   *Guard
	door    *Door
	address string
	// limits are in force.
	limits atomic.Pointer[Limits]
}

// set changes the limits in force.
func (s *stand) set(change func(*Limits)) {
	next := *s.limits.Load()
	change(&next)
	s.limits.Store(&next)
}

func newStand(t *testing.T, c Config, d DoorConfig, h http.HandlerFunc) *stand {
	c.Log = zerolog.Nop()
	if c.Memory == 0 {
		c.Memory = 4 << 20
	}
	if c.Cores == 0 {
		c.Cores = 1
	}
	if c.Connections == 0 {
		c.Connections = 100
	}
	s := &stand{t: t, guard: New(c)}
	s.limits.Store(&testLimits)
	d.Name, d.Limits = t.Name(), func() Limits { return *s.limits.Load() }
	if d.Reserve == 0 {
		d.Reserve = 10
	}
	d.ConnectionBytes = 8 << 10
	s.door = s.guard.NewDoor(d)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if h == nil {
		h = func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
		}
	}
	s.serve(s.door.Wrap(l), h)
	return s
}

// serve serves the connections of a listener; clients come to the last one.
func (s *stand) serve(l net.Listener, h http.HandlerFunc) {
	s.address = l.Addr().String()
	server := s.door.Server(h)
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

// client is a connection to a stand.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *stand) dial() *client {
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{Conn: c, t: s.t, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// answer reads one answer; its status is 0 if the connection ends before.
func (c *client) answer() (status int, body string, header http.Header) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	assert.NilError(c.t, err)
	return r.StatusCode, string(text), r.Header
}

func (c *client) expect(status int) http.Header {
	c.t.Helper()
	got, _, header := c.answer()
	assert.Equal(c.t, got, status)
	return header
}

// headOf returns a head with short fields of size bytes in all, the empty line included.
func headOf(size int) string {
	const host, end = "Host: a\r\n", "\r\n"
	var fields strings.Builder
	fields.WriteString(host)
	for i := 0; fields.Len() < size-len("x0000:\r\n")-len("y:\r\n")-len(end); i++ {
		_, _ = fmt.Fprintf(&fields, "x%04d:\r\n", i)
	}
	fields.WriteString("y:" + strings.Repeat("z", size-fields.Len()-len("y:\r\n")-len(end)) + "\r\n")
	return "GET /x HTTP/1.1\r\n" + fields.String() + end
}

// TestLargestLegalHeadIsServed requires that a head at its limit is served, and one over it refused.
func TestLargestLegalHeadIsServed(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	c := s.dial()
	for range 3 {
		c.send(headOf(int(testLimits.HeadBytes)))
		c.expect(http.StatusOK)
	}
	c.send(headOf(int(testLimits.HeadBytes) + 1))
	c.expect(http.StatusRequestHeaderFieldsTooLarge)
	rest, _ := io.ReadAll(c.reader)
	assert.Equal(t, string(rest), "")
	s.set(func(l *Limits) { l.HeadBytes *= 2 })
	c = s.dial()
	c.send(headOf(int(testLimits.HeadBytes) + 1))
	c.expect(http.StatusOK)
}

// TestHeadTimeIsInForce requires that a head which does not end in its time is refused, and that a
// connection at rest is not.
func TestHeadTimeIsInForce(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	c := s.dial()
	time.Sleep(testLimits.IdleTime * 4 / 5)
	for range 2 {
		c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		c.expect(http.StatusOK)
		time.Sleep(testLimits.IdleTime * 4 / 5)
	}
	started := time.Now()
	c.send("GET /x HTTP/1.1\r\nHost: a\r\n")
	c.expect(http.StatusRequestTimeout)
	assert.Assert(t, time.Since(started) >= testLimits.HeadTime)
}

// TestConnectionAtRestIsClosed requires that the limit of the rest is in force, without an answer.
func TestConnectionAtRestIsClosed(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	c := s.dial()
	c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	c.expect(http.StatusOK)
	rested := time.Now()
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(rested) >= testLimits.IdleTime*4/5)
}

// TestRequestsAreServedUnchanged requires that a door changes nothing, however requests come: bodies
// with a length, in chunks, several requests in one piece, byte by byte.
func TestRequestsAreServedUnchanged(t *testing.T) {
	const text = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-More: 1\r\n\r\n" +
		"GET /c HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, piece := range []int{len(text), 50, 7, 1} {
		t.Run(fmt.Sprint("pieces of ", piece), func(t *testing.T) {
			s := newStand(t, Config{}, DoorConfig{}, nil)
			s.set(func(l *Limits) { l.HeadTime, l.IdleTime = 5*time.Second, 5*time.Second })
			c := s.dial()
			go func() {
				for at := 0; at < len(text); at += piece {
					_, _ = io.WriteString(c.Conn, text[at:min(at+piece, len(text))])
				}
			}()
			for _, want := range []string{"/a 5", "/b 3", "/c 0"} {
				status, body, _ := c.answer()
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, want)
			}
		})
	}
}

// TestHeldBytesAreReturned requires that a connection at rest holds what it held at its begin, and a
// closed one nothing.
func TestHeldBytesAreReturned(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	// Connections at rest must not end before the test has looked at them, on a busy machine too.
	limits := testLimits
	limits.IdleTime = time.Minute
	s.limits.Store(&limits)
	var all []*client
	for i := range 5 {
		c := s.dial()
		c.send(headOf(10_000))
		c.expect(http.StatusOK)
		if i%2 > 0 {
			c.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf")
		}
		all = append(all, c)
	}
	for i, c := range all {
		if i%2 > 0 {
			_ = c.Close()
		}
	}
	awaitHeld(t, s, 3*8<<10)
	for _, c := range all {
		_ = c.Close()
	}
	awaitHeld(t, s, 0)
	assert.Equal(t, s.guard.Open(), 0)
}

func awaitHeld(t *testing.T, s *stand, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := s.guard.Held(); held != want {
			return poll.Continue("%d bytes held, %d wanted", held, want)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestUnfinishedHeadsGiveWay guards against clients that hold memory with heads that do not end: those
// that hold most for longest give way to ordinary requests.
func TestUnfinishedHeadsGiveWay(t *testing.T) {
	const memory = 2 << 20
	s := newStand(t, Config{Memory: memory}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.HeadTime = time.Minute })
	head := headOf(16 << 10)
	for range 20 { // each takes half a megabyte or more once parsed
		s.dial().send(head[:len(head)-2])
	}
	for range 10 {
		c := s.dial()
		c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		c.expect(http.StatusOK)
		assert.Assert(t, s.guard.Held() <= memory, "%d bytes held", s.guard.Held())
	}
}

// TestRefusedForRoomMayComeBack requires that a client for whose head there is no room is told that
// its request did not run, and when to come back.
func TestRefusedForRoomMayComeBack(t *testing.T) {
	s := newStand(t, Config{Memory: 256 << 10}, DoorConfig{}, nil)
	c := s.dial()
	c.send(headOf(16 << 10))
	assert.Equal(t, c.expect(http.StatusServiceUnavailable).Get("Retry-After"), "1.000")
}

// TestNewConnectionsHavePlaces guards against clients that take up all connections: those at rest, and
// those that were never served first, give way to new ones.
func TestNewConnectionsHavePlaces(t *testing.T) {
	s := newStand(t, Config{Connections: 20}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.IdleTime = time.Minute })
	kept := s.dial()
	kept.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	kept.expect(http.StatusOK)
	for range 100 {
		s.dial()
	}
	time.Sleep(100 * time.Millisecond)
	c := s.dial()
	c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	c.expect(http.StatusOK)
	assert.Assert(t, s.guard.Open() <= 20)
	kept.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	kept.expect(http.StatusOK)
}

// TestDoorKeepsItsReserve requires that clients of one door leave another one its connections.
func TestDoorKeepsItsReserve(t *testing.T) {
	s := newStand(t, Config{Connections: 20}, DoorConfig{Reserve: 5}, nil)
	s.set(func(l *Limits) { l.IdleTime = time.Minute })
	other := s.guard.NewDoor(DoorConfig{Name: "Other", Reserve: 15, ConnectionBytes: 8 << 10, Limits: s.door.Limits})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := other.Server(http.NotFoundHandler())
	go func() { _ = server.Serve(other.Wrap(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	var few []*client
	for range 4 {
		c := s.dial()
		c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		c.expect(http.StatusOK)
		few = append(few, c)
	}
	for range 60 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
	}
	for _, c := range few {
		c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		c.expect(http.StatusOK)
	}
}

// TestRequestsSentAheadWait requires that a client which sends ahead gets its answers, but ever more
// slowly, and that others are served meanwhile.
func TestRequestsSentAheadWait(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.IdleTime = 2 * time.Second })
	c := s.dial()
	c.send(strings.Repeat("GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 4))
	started := time.Now()
	for range 3 {
		c.expect(http.StatusOK)
	}
	assert.Assert(t, time.Since(started) >= minAheadPause*(1+aheadPauseFactor))
	other := s.dial()
	other.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	asked := time.Now()
	other.expect(http.StatusOK)
	assert.Assert(t, time.Since(asked) < time.Second)
	c.expect(http.StatusOK)
}

// TestTrailersAreNotKept guards against trailers that take many times their size once parsed.
func TestTrailersAreNotKept(t *testing.T) {
	trailers := make(chan http.Header, 1)
	s := newStand(t, Config{}, DoorConfig{}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		assert.Check(t, len(r.Trailer) > 0)
		assert.Check(t, FromContext(r.Context()).EndBody())
		trailers <- r.Trailer
	})
	c := s.dial()
	c.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: 1\r\nB: 2\r\n\r\n")
	c.expect(http.StatusOK)
	assert.Equal(t, len(<-trailers), 0)
}

// TestUnwantedBodyEndsSoon guards against a client that stops in a body which its handler does not
// read, and holds its connection for good.
func TestUnwantedBodyEndsSoon(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	s.set(func(l *Limits) { l.BodyTime = 0 })
	for _, body := range []string{"Content-Length: 1000\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n5\r\nha"} {
		c := s.dial()
		c.send("POST /x HTTP/1.1\r\nHost: a\r\n" + body)
		c.expect(http.StatusNotFound)
		started := time.Now()
		_, err := c.reader.ReadByte()
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(started) < 5*time.Second)
	}
	awaitHeld(t, s, 0)
}

// TestPeerThatWasHeardKeepsItsPlace requires that connections which never said anything give way first
// at a door whose connections do not speak HTTP.
func TestPeerThatWasHeardKeepsItsPlace(t *testing.T) {
	g := New(Config{Memory: 1 << 20, Connections: 1, Cores: 1, Log: zerolog.Nop()})
	d := g.NewDoor(DoorConfig{Name: "Peers", MaxConnections: 10, Opaque: true})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := d.Wrap(raw)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	c, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	first := (<-accepted).(*Conn)
	first.Progress()
	for range 50 {
		c, err := net.Dial("tcp", raw.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("x"))
		assert.NilError(t, err)
		<-accepted
	}
	assert.Assert(t, !first.hasGivenWay())
	assert.Equal(t, g.Open(), 10)
}

// TestBusyHostRefusesLargeHeadsAtOnce requires that clients are not left waiting for processor time
// that they cannot have before their heads must be complete, and that ordinary requests are served.
func TestBusyHostRefusesLargeHeadsAtOnce(t *testing.T) {
	s := newStand(t, Config{Cores: 0.01}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.HeadTime, l.IdleTime = 5*time.Second, 5*time.Second })
	var all []*client
	large := headOf(16 << 10)
	started := time.Now()
	for range 10 {
		c := s.dial()
		c.send(large)
		all = append(all, c)
	}
	other := s.dial()
	other.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	other.expect(http.StatusOK)
	refused := 0
	for _, c := range all {
		status, _, header := c.answer()
		if status == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, header.Get("Retry-After") != "")
	}
	assert.Assert(t, refused >= 5, "%d refused", refused)
	// One head waits for its time at most, all its parts together; the others have no more.
	assert.Assert(t, time.Since(started) < 3*maxWorkWait, "%s", time.Since(started))
}

// lateListener accepts connections whose process is late once: it does not run for longer than a try
// to write a refusal lasts, after it has set the deadline of that try.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &lateConn{Conn: c}, err
}

type lateConn struct {
	net.Conn
	late bool
}

func (c *lateConn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if !t.IsZero() && time.Until(t) <= refusalTime && !c.late {
		c.late = true
		time.Sleep(2 * refusalTime)
	}
	return err
}

// TestLateProcessRefuses guards against refusals that are not written because the process did not
// run between the deadline for the write and the write.
func TestLateProcessRefuses(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.HeadTime, l.IdleTime = 5*time.Second, 5*time.Second })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.serve(s.door.Wrap(lateListener{l}), func(http.ResponseWriter, *http.Request) {})
	c := s.dial()
	c.send(headOf(2 * int(testLimits.HeadBytes)))
	c.expect(http.StatusRequestHeaderFieldsTooLarge)
}

// TestOrdinaryClientsAreNotDelayed requires that requests inside ordinary sizes never wait for
// processor time, however many a connection sends.
func TestOrdinaryClientsAreNotDelayed(t *testing.T) {
	s := newStand(t, Config{Cores: 0.01}, DoorConfig{}, nil)
	c := s.dial()
	started := time.Now()
	for range 300 {
		c.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("b", 2000))
		c.expect(http.StatusOK)
	}
	assert.Assert(t, time.Since(started) < 5*time.Second, "%s", time.Since(started))
}

// TestHeadsReadAheadAreCounted guards against heads that the server reads together with the end of a
// body in chunks, and so past the connection's own count.
func TestHeadsReadAheadAreCounted(t *testing.T) {
	const fields = 200
	held := make(chan int64, 1)
	var s *stand
	s = newStand(t, Config{}, DoorConfig{}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		if r.URL.Path == "/ahead" {
			held <- s.guard.Held()
		}
	})
	var head strings.Builder
	for i := range fields {
		_, _ = fmt.Fprintf(&head, "x%d:\r\n", i)
	}
	c := s.dial()
	c.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET /ahead HTTP/1.1\r\nHost: a\r\n" + head.String() + "\r\n")
	c.expect(http.StatusOK)
	c.expect(http.StatusOK)
	want := s.door.ConnectionBytes + requestBytes + fields*parsedFieldBytes
	assert.Assert(t, <-held >= want, "%d wanted", want)
}

// emptyLines are line ends that a server skips behind a POST.
var emptyLines = []string{"\r\n", "\n", "\r", "\r\n\r\n"}

// TestHeadBehindEmptyLineIsLimited guards against heads that follow an empty line: the server skips the
// line, so taken for a head of its own it left the head behind it without any limit.
func TestHeadBehindEmptyLineIsLimited(t *testing.T) {
	for _, empty := range emptyLines {
		for _, apart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, apart %t", empty, apart), func(t *testing.T) {
				s := newStand(t, Config{}, DoorConfig{}, nil)
				send := func(head string) *client {
					c := s.dial()
					c.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
					c.expect(http.StatusOK)
					if !apart {
						c.send(empty + head)
						return c
					}
					c.send(empty)
					time.Sleep(20 * time.Millisecond)
					c.send(head)
					return c
				}
				send(headOf(int(testLimits.HeadBytes))).expect(http.StatusOK)
				send(headOf(int(testLimits.HeadBytes) + 1)).expect(http.StatusRequestHeaderFieldsTooLarge)
				c := send("GET /x HTTP/1.1\r\nHost: a\r\n")
				c.expect(http.StatusRequestTimeout)
			})
		}
	}
}

// TestEmptyLineIsNoRequest guards against clients that keep their connections by an empty line behind
// a request: such a connection is at rest, gives way, and ends with its rest.
func TestEmptyLineIsNoRequest(t *testing.T) {
	for _, empty := range emptyLines {
		t.Run(fmt.Sprintf("%q", empty), func(t *testing.T) {
			s := newStand(t, Config{Connections: 20}, DoorConfig{}, nil)
			s.set(func(l *Limits) { l.BodyTime = 0 })
			for range 20 {
				c := s.dial()
				c.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
				c.expect(http.StatusOK)
				c.send(empty)
			}
			time.Sleep(20 * time.Millisecond)
			c := s.dial()
			c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
			c.expect(http.StatusOK)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if open := s.guard.Open(); open > 0 {
					return poll.Continue("%d connections open", open)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}

// TestUnendedHeadBehindChunksIsLimited guards against heads that come together with the end of a body in
// chunks and do not end: read by the server with the body, they were neither counted nor timed.
func TestUnendedHeadBehindChunksIsLimited(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.IdleTime = time.Minute })
	const fields = 300
	var head strings.Builder
	for i := range fields {
		_, _ = fmt.Fprintf(&head, "x%d:\r\n", i)
	}
	c := s.dial()
	c.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET /ahead HTTP/1.1\r\nHost: a\r\n" + head.String())
	c.expect(http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := s.guard.Held(); held < requestBytes+fields*parsedFieldBytes {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(testLimits.HeadTime*4/5), poll.WithDelay(time.Millisecond))
	c.expect(http.StatusRequestTimeout)
}

// TestMalformedChunksEndTheConnection requires that nothing is read as a request behind a body whose end
// is not certain.
func TestMalformedChunksEndTheConnection(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, body := range []string{"x\r\n", "\r\n", "1\r\nxyz0\r\n\r\n", "11111111111111111\r\n", "-1\r\n\r\n", "0\n\n", "1\nx\n0\n\n"} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			s := newStand(t, Config{}, DoorConfig{}, nil)
			c := s.dial()
			c.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body + next)
			c.expect(http.StatusBadRequest)
			status, text, _ := c.answer()
			assert.Equal(t, status, 0, text)
		})
	}
}

// TestOptionsOfTheServerComeToTheHandler requires that a request which the server could answer itself
// counts like any other.
func TestOptionsOfTheServerComeToTheHandler(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	c := s.dial()
	c.send("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
	c.expect(http.StatusNotFound)
}

// returningStand returns a stand at which more clients than there are places send a request each, rest,
// and come back at once when they have to give way. Both counters count from the begin.
func returningStand(t *testing.T) (s *stand, opened, served *atomic.Int64) {
	const places, clients = 40, 80
	opened, served = new(atomic.Int64), new(atomic.Int64)
	s = newStand(t, Config{Connections: places}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.IdleTime = time.Minute })
	l, err := s.door.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	s.serve(l, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	ctx := t.Context()
	for range clients {
		go func() {
			for ctx.Err() == nil {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					continue
				}
				opened.Add(1)
				_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
		}()
	}
	return s, opened, served
}

// TestServedConnectionsKeepTheirPlaces guards against clients that come back at once when they had to
// give way: places changed hands so fast that ordinary callers lost theirs between two requests.
func TestServedConnectionsKeepTheirPlaces(t *testing.T) {
	s := newStand(t, Config{Connections: 40}, DoorConfig{}, nil)
	s.set(func(l *Limits) { l.IdleTime = time.Minute })
	var kept []*client
	for range 20 {
		c := s.dial()
		c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		c.expect(http.StatusOK)
		kept = append(kept, c)
	}
	stop := time.Now().Add(2 * keepTime)
	for time.Now().Before(stop) {
		for range 20 { // more than there are places for
			c := s.dial()
			c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		}
		for _, c := range kept {
			c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
			c.expect(http.StatusOK)
		}
		time.Sleep(keepTime / 10)
	}
}

// TestNewConnectionsBesideReturningClients requires that a new caller is served beside clients that come
// back at once, and that most connections are served.
func TestNewConnectionsBesideReturningClients(t *testing.T) {
	s, opened, served := returningStand(t)
	time.Sleep(2 * keepTime)
	c := s.dial()
	c.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	c.expect(http.StatusOK)
	assert.Assert(t, served.Load()*2 >= opened.Load(), "%d requests on %d connections", served.Load(), opened.Load())
}

// TestStopEndsConnectionsOpenedAhead guards against clients that open a connection, do not use it yet,
// and do not learn that the server has stopped: their next request would be lost.
func TestStopEndsConnectionsOpenedAhead(t *testing.T) {
	s := newStand(t, Config{}, DoorConfig{}, nil)
	l, err := s.door.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	server := s.door.Server(http.NotFoundHandler())
	go func() { _ = server.Serve(l) }()
	s.address = l.Addr().String()
	c := s.dial()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = c.reader.ReadByte()
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "the client is not told: %v", err)
}

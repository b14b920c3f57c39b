package guard

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// workShare is the part of the processor for what a door's clients cost beyond ordinary requests.
	workShare = 0.2
	// requestCost is the processor time of a request that does no work for its caller.
	requestCost = 100 * time.Microsecond
)

// Limits limit one request of a client.
type Limits struct {
	// HeadBytes limits the fields of a head, and its first line.
	HeadBytes int64
	// HeadTime limits the time from the first byte of a head to its end.
	HeadTime time.Duration
	// BodyTime limits the time from the end of the head to that of the body; 0 if the handler limits
	// it.
	BodyTime time.Duration
	// IdleTime limits the time that a connection is at rest.
	IdleTime time.Duration
}

// DoorConfig configures a Door.
type DoorConfig struct {
	// Name names the door in the log and in metrics.
	Name string
	// Reserve is the number of connections that the door can always have. Beyond it, connections give
	// way to those of other doors; 0 for a door with MaxConnections of its own.
	Reserve int
	// MaxConnections is the number of connections at the same time, if the door has no reserve.
	MaxConnections int
	// ConnectionBytes is what a connection at rest makes the process hold.
	ConnectionBytes int64
	// Limits returns the limits in force.
	Limits func() Limits
	// RequestInterval is the time in which a connection may send one request that is not delayed;
	// 0 for doors whose requests do work for their callers.
	RequestInterval time.Duration
	// Opaque is true for connections that do not speak HTTP. Only their number is limited.
	Opaque bool
}

// Door limits the connections to one address.
type Door struct {
	DoorConfig
	guard *Guard
	// accepts paces new connections, serves those whose first request is read, and work what clients
	// cost beyond ordinary requests.
	accepts, serves, work *pacer
	// open counts the connections; guarded by guard.mu.
	open int
	// aheads counts the requests that run although they were sent ahead; guarded by guard.mu.
	aheads      int
	connections *metrics.Gauge
}

// NewDoor returns a door without connections.
func (g *Guard) NewDoor(c DoorConfig) *Door {
	d := &Door{
		DoorConfig: c, guard: g,
		accepts: newPacer(g.Cores * acceptShare), serves: newPacer(g.Cores * serveShare),
		work:        newPacer(g.Cores * workShare),
		connections: metrics.GetOrCreateGauge(fmt.Sprintf(`loomgap_client_connections{Door=%q}`, c.Name), nil),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doors = append(g.doors, d)
	return d
}

// outcome is what became of a client.
type outcome string

const (
	outcomeRefused outcome = "Refused"
	outcomeClosed  outcome = "Closed"
	// outcomeDelayed means that a client waits for processor time.
	outcomeDelayed outcome = "Delayed"
)

// reason is why a client was refused or its connection closed.
type reason string

const (
	reasonHeadTooLarge reason = "HeadTooLarge"
	reasonHeadTooSlow  reason = "HeadTooSlow"
	reasonNoRoom       reason = "NoRoom"
	reasonBusy         reason = "Busy"
	reasonSentAhead    reason = "SentAhead"
	reasonFraming      reason = "Framing"
)

// count counts clients by what became of them.
func (d *Door) count(o outcome, r reason, n int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`loomgap_clients_total{Door=%q,Outcome=%q,Reason=%q}`, d.Name, o, r)).Add(n)
}

// maxServerHeadBytes leaves the limit of heads to the door, since the server's own cannot change.
const maxServerHeadBytes = 1 << 30

// reserveWork reserves processor time for what is not an ordinary request.
func (d *Door) reserveWork(cost time.Duration, now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	wait, ok = d.work.reserve(cost, now, maxWait)
	if wait > 0 {
		d.count(outcomeDelayed, reasonBusy, 1)
	}
	return wait, ok
}

// Server returns a server of the door's connections. Its own limits are those of the door.
func (d *Door) Server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: d.handler(h), DisableGeneralOptionsHandler: true, // each request must come to the door's handler
		MaxHeaderBytes: maxServerHeadBytes, ErrorLog: log.New(lineLog{d.guard.Log}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if n, ok := c.(*Conn); ok && state == http.StateIdle {
				n.endRequest()
			}
		},
	}
	s.RegisterOnShutdown(d.closeUnread)
	return s
}

// closeUnread closes the connections on which no request was read whole. A server that shuts down
// would wait for them.
func (d *Door) closeUnread() {
	g := d.guard
	g.mu.Lock()
	var unread []*Conn
	for c := range g.conns {
		if c.door == d && (c.phase == phaseHead || c.phase == phaseLinger || c.phase == phaseIdle && !c.served) {
			unread = append(unread, c)
		}
	}
	g.mu.Unlock()
	for _, c := range unread {
		_ = c.end()
	}
}

type connKey struct{}

// FromContext returns the connection of a request; nil if it did not come through a door.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// handler tells the connection when a request begins, and limits the time for what the handler
// leaves of its body.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if err := c.beginRequest(r); err != nil {
			d.turnAway(w, r, err)
			if c.body.open {
				c.limitDrain()
			}
			return
		}
		defer c.leaveHandler()
		next.ServeHTTP(w, r)
		if c.body.open {
			c.limitDrain()
		}
	})
}

// turnAway refuses a request that did not reach its handler.
func (d *Door) turnAway(w http.ResponseWriter, r *http.Request, err error) {
	why := reasonSentAhead
	if errors.Is(err, errFraming) {
		why = reasonFraming
		w.Header().Set("Connection", "close")
	}
	d.count(outcomeRefused, why, 1)
	d.guard.Log.Info().Str("Door", d.Name).Str("Reason", string(why)).Int("Status", http.StatusServiceUnavailable).
		Str("Client", r.RemoteAddr).Msg("client refused")
	w.Header().Set("Retry-After", seconds(retryAfterNoRoom))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// lineLog writes what the server logs itself as lines of the log.
type lineLog struct{ log zerolog.Logger }

func (l lineLog) Write(p []byte) (int, error) {
	l.log.Info().Str("Problem", strings.TrimSpace(string(p))).Msg("http server reported a problem")
	return len(p), nil
}

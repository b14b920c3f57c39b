package guard

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// ordinaryHeld is the most that a connection with an ordinary request holds, in bytes.
	ordinaryHeld = 96 << 10
	// largeDivisor is the part of the memory that connections with larger requests may use
	// together, so that ordinary requests have room beside any number of them.
	largeDivisor = 2
	// slackDivisor is the part of the memory that is made free when room is short, so that not each
	// request looks for room.
	slackDivisor = 32
	// keepTime is how long a connection that was served, or whose whole request waits, keeps its place
	// at its door. Clients that give way come back at once, so with less of it places change hands
	// faster than requests are served. freshTime is the same for one that has just done something else.
	keepTime  = time.Second
	freshTime = 50 * time.Millisecond
	// stallTime is how long a larger request must last before it gives way to another one.
	stallTime = time.Second
	// unservedWeight is how much sooner a connection gives way that has had no answer yet, or
	// holds one up, than one at rest.
	unservedWeight = 64
	// lingerWeight is the same for a connection that was refused.
	lingerWeight = 10_000
)

// ErrNoRoom is wrapped when a client's request cannot be held because of others. The request did
// not run.
var ErrNoRoom = errors.New("no memory left for requests of clients (raise -MemoryMB or add hosts)")

// ErrBusy is wrapped when a client's request would cost more processor time than is left for
// requests that are not ordinary. The request did not run.
var ErrBusy = errors.New("no processor time left for large requests (raise -Cores or add hosts)")

// Config configures a Guard.
type Config struct {
	// Memory is what clients may make the process hold, in bytes.
	Memory int64
	// Connections is the number of connections that all doors with a reserve may have together.
	Connections int
	// Cores is the number of processors that the process may use; above 0.
	Cores float64
	// Log gets a line for each client that is refused or cut off; it limits their rate.
	Log zerolog.Logger
}

// Guard is the account of what the clients of a process make it hold. It is safe for concurrent
// use.
type Guard struct {
	Config

	mu sync.Mutex
	// held is the sum over all connections; at most Memory. large is that of connections which
	// hold more than ordinaryHeld each.
	held, large int64
	conns       map[*Conn]struct{}
	heldBytes   *metrics.Gauge
	// shared counts the connections of the doors that have a reserve.
	shared int
	doors  []*Door
}

// New returns the account of a process without clients.
func New(c Config) *Guard {
	return &Guard{Config: c, conns: map[*Conn]struct{}{}, heldBytes: metrics.GetOrCreateGauge("loomgap_client_held_bytes", nil)}
}

// Held returns the number of bytes that clients make the process hold.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// add adds a new connection. If there is no place or no room for it, others give way; it reports false
// if none can.
func (g *Guard) add(c *Conn, now time.Time) bool {
	g.mu.Lock()
	victims, ok := g.makePlace(c.door, now)
	if ok {
		var more []*Conn
		more, ok = g.makeRoom(c, c.door.ConnectionBytes, now)
		victims = append(victims, more...)
	}
	if ok {
		g.conns[c] = struct{}{}
		g.countOpen(c.door, 1)
		g.setHeld(c, c.door.ConnectionBytes)
	}
	g.mu.Unlock()
	g.cutOff(victims)
	return ok
}

// makePlace returns the connections that have to give way for one more at a door, and whether there
// is a place then. g.mu must be held.
func (g *Guard) makePlace(d *Door, now time.Time) (victims []*Conn, ok bool) {
	open, most := d.open, d.MaxConnections
	if d.Reserve > 0 {
		open, most = g.shared, g.Connections
	}
	over := int64(open + 1 - most)
	if over <= 0 {
		return nil, true
	}
	return g.giveWay(over+int64(most/slackDivisor), over, func(v *Conn) (score float64, weight int64) {
		return g.placeScore(d, v, now), 1
	})
}

// hasPlaceSoon reports whether there is no place for one more connection at a door now, but will be once
// one that keeps its place has had its time.
func (g *Guard) hasPlaceSoon(d *Door, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Reserve == 0 || g.shared < g.Connections && g.held+d.ConnectionBytes <= g.Memory {
		return false
	}
	soon := false
	for v := range g.conns {
		if g.placeScore(d, v, now) > 0 {
			return false
		}
		soon = soon || g.mayDisplace(d, v) && v.keepsPlace(now)
	}
	return soon
}

// placeScore tells how soon v gives way to a new connection at a door; 0 if it does not. A door gets the
// places of its reserve at once. g.mu must be held.
func (g *Guard) placeScore(d *Door, v *Conn, now time.Time) float64 {
	ownReserve := v.door != d && d.open < d.Reserve
	if !g.mayDisplace(d, v) || v.keepsPlace(now) && !ownReserve {
		return 0
	}
	return v.idleScore(now)
}

// mayDisplace reports whether a new connection at a door may take the place of v. g.mu must be held.
func (g *Guard) mayDisplace(d *Door, v *Conn) bool {
	switch {
	case d.Reserve == 0:
		return v.door == d
	case v.door != d:
		return v.door.Reserve > 0 && v.door.open > v.door.Reserve
	}
	return d.open > d.Reserve || !g.othersAbove(d)
}

// othersAbove reports whether a door other than d has more connections than its reserve. g.mu must be
// held.
func (g *Guard) othersAbove(d *Door) bool {
	return slices.ContainsFunc(g.doors, func(o *Door) bool { return o != d && o.Reserve > 0 && o.open > o.Reserve })
}

// countOpen adds to the number of open connections of a door. g.mu must be held.
func (g *Guard) countOpen(d *Door, n int) {
	d.open += n
	d.connections.Set(float64(d.open))
	if d.Reserve > 0 {
		g.shared += n
	}
}

// remove removes a connection, once.
func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c]; !ok {
		return
	}
	g.drop(c)
}

// drop removes a connection. g.mu must be held.
func (g *Guard) drop(c *Conn) {
	g.setHeld(c, 0)
	delete(g.conns, c)
	g.countOpen(c.door, -1)
}

// grow adds n bytes to what a connection holds. The error wraps ErrNoRoom.
func (g *Guard) grow(c *Conn, n int64) error {
	if n <= 0 {
		return nil
	}
	g.mu.Lock()
	victims, ok := g.makeRoom(c, n, time.Now())
	if ok {
		g.setHeld(c, c.held+n)
	}
	held := g.held
	g.mu.Unlock()
	g.cutOff(victims)
	if !ok {
		return fmt.Errorf("%d bytes beside %d of %d in use: %w", n, held, g.Memory, ErrNoRoom)
	}
	return nil
}

// makeRoom returns the connections that have to give way for n more bytes of c, and whether there
// is room then. g.mu must be held.
func (g *Guard) makeRoom(c *Conn, n int64, now time.Time) (victims []*Conn, ok bool) {
	if c.gaveWay {
		return nil, false
	}
	if over := g.overLarge(c, n); over > 0 {
		victims, ok = g.giveWay(over, over, func(v *Conn) (score float64, weight int64) {
			if v == c || v.held <= ordinaryHeld || now.Sub(v.since) < stallTime {
				return 0, 0
			}
			return v.memoryScore(now), v.held
		})
		if !ok {
			return nil, false
		}
	}
	over := g.held + n - g.Memory
	if over <= 0 {
		return victims, true
	}
	more, ok := g.giveWay(over+g.Memory/slackDivisor, over, func(v *Conn) (score float64, weight int64) {
		if v == c {
			return 0, 0
		}
		return v.memoryScore(now), v.held
	})
	return append(victims, more...), ok
}

// overLarge returns by how much the larger requests would be over their part of the memory with n
// more bytes of c; 0 or less if they are not, or if c is not one of them. g.mu must be held.
func (g *Guard) overLarge(c *Conn, n int64) int64 {
	held := c.held + n
	if held <= ordinaryHeld {
		return 0
	}
	if c.held > ordinaryHeld {
		held = n // the rest is counted
	}
	return g.large + held - g.Memory/largeDivisor
}

// giveWay removes the connections with the highest scores until their weights sum up to wanted, and
// returns them. If all of them do not sum up to least, it removes none and reports false. A
// connection with a score of 0 does not give way. g.mu must be held.
func (g *Guard) giveWay(wanted, least int64, judge func(*Conn) (score float64, weight int64)) ([]*Conn, bool) {
	type candidate struct {
		conn   *Conn
		score  float64
		weight int64
	}
	var all []candidate
	sum := int64(0)
	for v := range g.conns {
		if score, weight := judge(v); score > 0 {
			all = append(all, candidate{v, score, weight})
			sum += weight
		}
	}
	if sum < least {
		return nil, false
	}
	slices.SortFunc(all, func(x, y candidate) int { return cmp.Compare(y.score, x.score) })
	var victims []*Conn
	for _, x := range all {
		if wanted <= 0 {
			break
		}
		wanted -= x.weight
		x.conn.gaveWay = true
		g.drop(x.conn)
		victims = append(victims, x.conn)
	}
	return victims, true
}

// cutOff ends connections that gave way.
func (g *Guard) cutOff(victims []*Conn) {
	if len(victims) == 0 {
		return
	}
	for _, v := range victims {
		v.cutOff()
	}
	first := victims[0]
	first.door.count(outcomeClosed, reasonNoRoom, len(victims))
	g.Log.Info().Str("Door", first.door.Name).Int("Connections", len(victims)).
		Stringer("First", first.RemoteAddr()).Msg("connections closed to make room")
}

// setHeld sets what a connection holds. g.mu must be held.
func (g *Guard) setHeld(c *Conn, held int64) {
	g.held += held - c.held
	if c.held > ordinaryHeld {
		g.large -= c.held
	}
	if held > ordinaryHeld {
		g.large += held
	}
	c.held = held
	g.heldBytes.Set(float64(g.held))
}

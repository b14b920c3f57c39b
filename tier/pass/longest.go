package pass

import (
	"sync"
	"time"
)

// longestInterval is the length of the intervals of which the current and the previous one
// count, so that what has become shorter is forgotten.
const longestInterval = 30 * time.Second

// longestTimes holds the longest time of each route that was recorded in its current and previous
// interval; a route of which nothing is recorded keeps what it had. It is safe for concurrent use;
// the zero value is ready to use.
type longestTimes struct {
	mu      sync.Mutex
	byRoute map[string]*longestTime
}

// longestTime is the longest time in the current and in the previous interval.
type longestTime struct {
	startedAt         time.Duration
	current, previous time.Duration
}

// record records a time and returns the longest one.
func (l *longestTimes) record(now time.Duration, route string, t time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRoute == nil {
		l.byRoute = map[string]*longestTime{}
	}
	r := getOrCreate(l.byRoute, route)
	if now-r.startedAt >= longestInterval {
		r.startedAt, r.previous, r.current = now, r.current, 0
	}
	r.current = max(r.current, t)
	return max(r.current, r.previous)
}

// of returns the longest time of a route, and whether one is known.
func (l *longestTimes) of(route string) (longest time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRoute[route]
	if r == nil {
		return 0, false
	}
	return max(r.current, r.previous), true
}

// forget drops the routes that no document names any more.
func (l *longestTimes) forget(exists func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.byRoute {
		if !exists(name) {
			delete(l.byRoute, name)
		}
	}
}

// forgetRoutes drops the times of routes that the document no longer names.
func (e *engine) forgetRoutes() {
	index := e.kernel.View().Index
	if index == nil {
		return
	}
	exists := func(route string) bool { return index.RouteByName(route) != nil }
	e.stated.forget(exists)
	e.runTimes.forget(exists)
}

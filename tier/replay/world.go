package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// seedStream is the second word of the PCG seed. The golden file depends on it.
const seedStream = 42

// world is the state of a running replay: the virtual clock, the event queue, the hosts
// and the upstreams. It is not safe for concurrent use.
type world struct {
	config       Case
	now          time.Duration
	queue        eventQueue
	lastSequence uint64
	random       *rand.Rand
	// arrivals is the random source of the arrivals, which is random unless two replays must
	// have the same arrivals whatever their hosts decide.
	arrivals  *rand.Rand
	site      site
	upstreams []*upstream
	hosts     []*host
	// results has one element for each load of the case.
	results []*classResult
	// upstreamIndices maps the name of an upstream to its index.
	upstreamIndices map[string]int
}

// Run replays a case. It returns an error if the case is invalid.
func Run(c Case) (*Report, error) {
	w, err := newWorld(c, func(w *world) site { return classSite{w} })
	if err != nil {
		return nil, err
	}
	w.run()
	return w.report(), nil
}

func newWorld(c Case, newSite func(*world) site) (*world, error) {
	w := &world{config: c, random: rand.New(rand.NewPCG(c.Seed, seedStream)), upstreamIndices: map[string]int{}}
	w.arrivals = w.random
	w.site = newSite(w)
	for i := range w.site.upstreamCount() {
		w.upstreams = append(w.upstreams, newUpstream(w, i))
		w.upstreamIndices[upstreamName(i)] = i
	}
	for i := range c.hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	for i := range c.loads {
		w.results = append(w.results, newClassResult(&c.loads[i].class))
		if err := w.startLoad(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) run() {
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// after schedules do to run after a delay. Events of the same time run in the order in
// which they were scheduled.
func (w *world) after(d time.Duration, do func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.lastSequence, do: do})
}

// startLoad schedules the arrivals of the load with the given index.
func (w *world) startLoad(index int) error {
	l := &w.config.loads[index]
	if l.rate <= 0 || l.shards < 1 || l.shards > w.config.shards {
		return fmt.Errorf("load %s: rate or number of shards out of range (rate must be above 0, shards 1 to %d)", l.class.Name, w.config.shards)
	}
	gap := func() time.Duration {
		return time.Duration(w.arrivals.ExpFloat64() / l.rate * float64(time.Second))
	}
	var next func()
	next = func() {
		if w.now >= w.config.duration {
			return
		}
		w.after(gap(), next)
		w.site.startRequest(index)
	}
	w.after(gap(), next)
	return nil
}

func (w *world) lognormal() time.Duration {
	return time.Duration(float64(w.config.capacity.serviceTime) * math.Exp(w.config.capacity.sigma*w.random.NormFloat64()))
}

// event is a function scheduled for a point in virtual time.
type event struct {
	at time.Duration
	// sequence orders events scheduled for the same time.
	sequence uint64
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

var _ heap.Interface = (*eventQueue)(nil)

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

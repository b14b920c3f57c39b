package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-json-experiment/json"

	"loomgap/tier/wire"
)

// answerBody is what the load reads of an answer.
type answerBody struct {
	Outcome          string
	Asked            int
	Attempts         int
	Count            uint64
	Snapshot         uint64
	Missing          []struct{ Reason string }
	RetryAfterMillis int64
}

// load sends requests at times drawn before the load starts, whatever the
// answers do; latencies count from the time a request was due, so a slow
// answer cannot hide those behind it.
type load struct {
	config loadConfig
	client *http.Client
	mu     sync.Mutex
	tally  map[string]*classTally
	// ready holds the hosts that the balancer sends to; admitting orders those
	// that change it.
	ready     atomic.Pointer[[]netip.AddrPort]
	admitting sync.Mutex
	// probeBound is how long a host may take to say whether it is ready; 0 for
	// balanceBound.
	probeBound time.Duration
	turn       atomic.Uint64
	orders     atomic.Uint64
}

type classTally struct {
	latency, refusal            *hdrhistogram.Histogram
	outcomes                    map[string]int
	reasons                     map[string]int
	asked, missing, attempts    int
	failed                      int
	answered                    int
	retryAfterTotal, retryAfter int64
}

func newTally() *classTally {
	const longest = 60_000_000
	return &classTally{
		latency: hdrhistogram.New(1, longest, 3), refusal: hdrhistogram.New(1, longest, 3),
		outcomes: map[string]int{}, reasons: map[string]int{},
	}
}

func runLoad(ctx context.Context, c loadConfig) *loadReport {
	l := &load{
		config: c, tally: map[string]*classTally{},
		client: &http.Client{
			Timeout:   time.Minute,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Second},
		},
	}
	l.ready.Store(&c.Hosts)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(c.Operate) == len(c.Hosts) {
		go l.balance(ctx)
	}
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(c.Seed, 7))
	started := time.Now()
	for due := time.Duration(0); due < c.Warm+c.Duration; {
		time.Sleep(time.Until(started.Add(due)))
		s := l.pick(random)
		at, service, key := started.Add(due), s.service(random), random.IntN(1024)
		counted := due >= c.Warm
		all.Go(func() { l.one(ctx, s, service, key, at, counted) })
		due += time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
	}
	all.Wait()
	return l.report()
}

func (l *load) pick(r *rand.Rand) *source {
	total := 0.0
	for i := range l.config.Mix {
		total += l.config.Mix[i].Weight
	}
	at := r.Float64() * total
	for i := range l.config.Mix {
		if at -= l.config.Mix[i].Weight; at < 0 {
			return &l.config.Mix[i]
		}
	}
	return &l.config.Mix[0]
}

// balance asks hosts whether they are ready, as the platform's balancer does:
// each by itself, so that one that is slow to answer holds up none.
func (l *load) balance(ctx context.Context) {
	ready := make([]atomic.Bool, len(l.config.Hosts))
	var all sync.WaitGroup
	for i, o := range l.config.Operate {
		all.Go(func() {
			for ctx.Err() == nil {
				ready[i].Store(l.isReady(ctx, o))
				l.admit(ready)
				time.Sleep(balanceEvery)
			}
		})
	}
	all.Wait()
}

// balanceEvery is how often each host is asked; balanceBound is how long it may
// take to answer.
const (
	balanceEvery = 100 * time.Millisecond
	balanceBound = 500 * time.Millisecond
)

// admit sends requests to the hosts that are ready, or where none is, to those
// that were.
func (l *load) admit(ready []atomic.Bool) {
	l.admitting.Lock()
	defer l.admitting.Unlock()
	var hosts []netip.AddrPort
	for i := range ready {
		if ready[i].Load() {
			hosts = append(hosts, l.config.Hosts[i])
		}
	}
	if len(hosts) > 0 {
		l.ready.Store(&hosts)
	}
}

func (l *load) isReady(ctx context.Context, at netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(l.probeBound, balanceBound))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/ready", nil)
	if err != nil {
		return false
	}
	reply, err := l.client.Do(r)
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

func (l *load) host() netip.AddrPort {
	hosts := *l.ready.Load()
	return hosts[l.turn.Add(1)%uint64(len(hosts))]
}

type askBody struct {
	Statement, Class string
}

type orderBody struct {
	Ticket, Statement, Class string
}

type ticketBody struct {
	Ticket string
}

func (l *load) one(ctx context.Context, s *source, service string, key int, due time.Time, counted bool) {
	var a answerBody
	var err error
	if l.config.Orders {
		a, err = l.order(ctx, s, service, key)
	} else {
		err = l.post(ctx, "/ask", askBody{Statement: "count " + service, Class: s.Class}, &a)
	}
	if counted {
		l.record(s.Class, &a, err, time.Since(due))
	}
}

// order gets a ticket and sends the order under it until it has an answer
// other than Unknown, each time at the next host.
func (l *load) order(ctx context.Context, s *source, service string, key int) (answerBody, error) {
	var t ticketBody
	var a answerBody
	if err := l.post(ctx, "/tickets", struct{}{}, &t); err != nil {
		return a, err
	}
	statement := fmt.Sprintf("place %s key %d set N = %d", service, key, l.orders.Add(1))
	var err error
	for range max(l.config.Tries, 1) {
		a = answerBody{}
		err = l.post(ctx, "/orders", orderBody{Ticket: t.Ticket, Statement: statement, Class: s.Class}, &a)
		if err == nil && a.Outcome == "Complete" {
			return a, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return a, err
}

func (l *load) post(ctx context.Context, path string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.host().String()+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	reply, err := l.client.Do(r)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, wire.MaxReply))
	if err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK && reply.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("%s: %s", reply.Status, body)
	}
	return json.Unmarshal(body, out)
}

func (l *load) record(class string, a *answerBody, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tally[class]
	if t == nil {
		t = newTally()
		l.tally[class] = t
	}
	if err != nil || a.Outcome == "" {
		t.failed++
		return
	}
	t.outcomes[a.Outcome]++
	if a.Outcome == "NotRun" {
		_ = t.refusal.RecordValue(took.Microseconds())
		t.retryAfter++
		t.retryAfterTotal += a.RetryAfterMillis
		return
	}
	t.answered++
	_ = t.latency.RecordValue(took.Microseconds())
	t.asked += a.Asked
	t.missing += len(a.Missing)
	t.attempts += a.Attempts
	for _, m := range a.Missing {
		t.reasons[m.Reason]++
	}
}

// loadReport is the report of a load, one line for each class.
type loadReport struct {
	Seconds float64
	Classes []classReport
}

type classReport struct {
	Class                             string
	Answered, NotRun, Unknown, Failed int
	// Complete is the share of the answers that are complete.
	Complete float64
	// Coverage is the share of the parts asked that are included.
	Coverage float64
	// ExtraLoad is upstream calls over parts asked, less 1.
	ExtraLoad                    float64
	P50Millis, P99Millis         float64
	P999Millis, RefusalP99Millis float64
	MeanRetryAfterMillis         float64
	Missing                      []reasonCount
}

type reasonCount struct {
	Reason string
	Parts  int
}

func (l *load) report() *loadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &loadReport{Seconds: l.config.Duration.Seconds()}
	for class, t := range l.tally {
		c := classReport{
			Class: class, Answered: t.answered, NotRun: t.outcomes["NotRun"], Unknown: t.outcomes["Unknown"], Failed: t.failed,
			Complete:  float64(t.outcomes["Complete"]) / float64(max(t.answered, 1)),
			Coverage:  1 - float64(t.missing)/float64(max(t.asked, 1)),
			ExtraLoad: float64(t.attempts)/float64(max(t.asked, 1)) - 1,
			P50Millis: millis(t.latency, 50), P99Millis: millis(t.latency, 99), P999Millis: millis(t.latency, 99.9),
			RefusalP99Millis:     millis(t.refusal, 99),
			MeanRetryAfterMillis: float64(t.retryAfterTotal) / float64(max(t.retryAfter, 1)),
		}
		for r, n := range t.reasons {
			c.Missing = append(c.Missing, reasonCount{Reason: r, Parts: n})
		}
		slices.SortFunc(c.Missing, func(a, b reasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
		out.Classes = append(out.Classes, c)
	}
	slices.SortFunc(out.Classes, func(a, b classReport) int { return cmp.Compare(a.Class, b.Class) })
	return out
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *loadReport) print(w io.Writer) {
	fmt.Fprintf(w, "%-10s %9s %7s %7s %6s %9s %9s %8s %8s %8s %8s %9s\n", "Class", "Answered", "NotRun", "Unknown", "Failed",
		"Complete", "Coverage", "Extra", "p50 ms", "p99 ms", "p99.9", "Refuse99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-10s %9d %7d %7d %6d %9.4f %9.5f %8.4f %8.1f %8.1f %8.1f %9.1f\n", c.Class, c.Answered, c.NotRun, c.Unknown, c.Failed,
			c.Complete, c.Coverage, c.ExtraLoad, c.P50Millis, c.P99Millis, c.P999Millis, c.RefusalP99Millis)
		var why []string
		for _, m := range c.Missing {
			why = append(why, fmt.Sprintf("%s %d", m.Reason, m.Parts))
		}
		if len(why) > 0 {
			fmt.Fprintf(w, "%-10s missing: %s\n", "", strings.Join(why, ", "))
		}
	}
}

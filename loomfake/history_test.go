package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rogpeppe/go-internal/testscript"
)

// askBody, orderBody and ticketBody are the bodies of the callers' service that clients
// of a scenario send and receive; answerBody holds the fields of an answer that they use.
type (
	askBody struct {
		Statement, Class string
	}
	orderBody struct {
		Ticket, Statement, Class string
	}
	ticketBody struct {
		Ticket string
	}
	answerBody struct {
		Outcome, Remedy string
	}
)

// history records what the clients observed, to be checked once they are done.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	outcomes   map[string]int
	problems   []string
	// losses describes each request that got no answer, or of which nobody knows whether it ran:
	// when it ended and why.
	losses []string
}

// attemptInput is an attempt to place an order, or the final read of the upstreams' records.
type attemptInput struct {
	ticket string
	final  bool
}

// attemptOutput is the outcome of an attempt, or the number of times the order ran.
type attemptOutput struct {
	outcome string
	runs    int
}

// orderModel models the order of a ticket. The order runs at most once. The outcome Complete
// means that it has run, NotRun that it has not, and any other outcome that either is possible.
var orderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		ran, out := state.(bool), output.(attemptOutput)
		switch {
		case input.(attemptInput).final:
			if out.runs == map[bool]int{false: 0, true: 1}[ran] {
				return []any{ran}
			}
		case out.outcome == "Complete":
			return []any{true}
		case out.outcome == "NotRun":
			if !ran {
				return []any{false}
			}
		default:
			return []any{ran, true}
		}
		return nil
	},
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byTicket := map[string][]porcupine.Operation{}
		for _, o := range all {
			t := o.Input.(attemptInput).ticket
			byTicket[t] = append(byTicket[t], o)
		}
		var out [][]porcupine.Operation
		for _, o := range byTicket {
			out = append(out, o)
		}
		return out
	},
	Equal: func(a, b any) bool { return a == b },
}

// farFuture is a time after the end of any scenario, in nanoseconds since 1970.
const farFuture = int64(1) << 62

func (h *history) add(client int, in attemptInput, sentAt time.Time, out attemptOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returnedAt := time.Now().UnixNano()
	if out.outcome != "Complete" && out.outcome != "NotRun" {
		// An attempt with an unknown outcome may take effect at any later time.
		returnedAt = farFuture
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: sentAt.UnixNano(), Output: out, Return: returnedAt})
	if h.outcomes == nil {
		h.outcomes = map[string]int{}
	}
	h.outcomes[out.outcome]++
}

const (
	// outcomeLost is the outcome of a request that got no answer.
	outcomeLost = "Lost"
	// outcomeUnknown is the outcome of an order that may have run.
	outcomeUnknown = "Unknown"
)

// recordLost records why a request got no answer, or none that tells whether it ran.
func (h *history) recordLost(sentAt time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.losses = append(h.losses, fmt.Sprintf("%s after %s: %s", now.Format(time.RFC3339Nano), now.Sub(sentAt), err))
}

func (h *history) addProblem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

func (h *history) countOutcome(outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcomes == nil {
		h.outcomes = map[string]int{}
	}
	h.outcomes[outcome]++
}

// runClients runs concurrent clients that each make perClient requests, with a short
// pause before each. With a perClient of 0 they run until stop is closed.
func runClients(count, perClient int, stop <-chan struct{}, request func(client, request int)) {
	const pause = 3 * time.Millisecond
	var wg sync.WaitGroup
	for c := range count {
		wg.Go(func() {
			for n := 0; n < perClient || perClient == 0; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				request(c, n)
			}
		})
	}
	wg.Wait()
}

// placeOrders returns a function that runs clients which place orders. A client retries
// an order at the next host until the answer is Complete or maxAttempts is reached.
func (s *scenario) placeOrders(count, perClient int, hosts []int) func(<-chan struct{}) error {
	const maxAttempts = 4
	return func(stop <-chan struct{}) error {
		runClients(count, perClient, stop, func(c, n int) {
			var t ticketBody
			if call(http.MethodPost, s.pickHost(hosts, c+n)+"/tickets", "", &t) != nil || t.Ticket == "" {
				time.Sleep(20 * time.Millisecond)
				return
			}
			body := orderBody{Ticket: t.Ticket, Class: "Order", Statement: fmt.Sprintf("place Orders key %d set Client = %d", (c*31+n*17)%1024, c)}
			for attempt := range maxAttempts {
				sentAt := time.Now()
				var a answerBody
				host := s.pickHost(hosts, c+n+attempt)
				if err := call(http.MethodPost, host+"/orders", body, &a); err != nil {
					a.Outcome = outcomeLost
					s.history.recordLost(sentAt, err)
				}
				if a.Outcome == outcomeUnknown {
					s.history.recordLost(sentAt, fmt.Errorf("order %s at %s has an unknown outcome: %s", t.Ticket, host, a.Remedy))
				}
				s.history.add(c, attemptInput{ticket: t.Ticket}, sentAt, attemptOutput{outcome: a.Outcome})
				if a.Outcome == "Complete" {
					return
				}
			}
		})
		return nil
	}
}

// countAnswer is an answer to a count, with the included and missing key ranges.
type countAnswer struct {
	Outcome           string
	Count, Snapshot   uint64
	Asked             int
	Included, Missing []struct {
		From, To uint32
		Reason   string
	}
}

// scenarioKeys is the number of keys, the default of loomfake document and upstream.
const scenarioKeys = 1024

// countRecords returns a function that runs clients which count all records and check
// each answer.
func (s *scenario) countRecords(count, perClient int, hosts []int) func(<-chan struct{}) error {
	return func(stop <-chan struct{}) error {
		runClients(count, perClient, stop, func(c, n int) {
			var a countAnswer
			sentAt := time.Now()
			err := call(http.MethodPost, s.pickHost(hosts, c+n)+"/ask", askBody{Statement: "count Orders", Class: "Tally"}, &a)
			if err != nil {
				s.history.countOutcome(outcomeLost)
				s.history.recordLost(sentAt, err)
				time.Sleep(20 * time.Millisecond)
				return
			}
			s.history.countOutcome(a.Outcome)
			if a.Outcome != "NotRun" {
				s.checkCount(&a)
			}
		})
		return nil
	}
}

// checkCount checks that the included and missing ranges of an answer cover the key space
// exactly once, and that its count is that of one snapshot.
func (s *scenario) checkCount(a *countAnswer) {
	var covered [scenarioKeys]int
	expected := uint64(0)
	for _, r := range a.Included {
		for k := r.From; k < r.To; k++ {
			covered[k]++
		}
		expected += expectedCount(r.From, r.To, a.Snapshot)
	}
	for _, r := range a.Missing {
		for k := r.From; k < r.To; k++ {
			covered[k]++
		}
	}
	for k, n := range covered {
		if n != 1 {
			s.history.addProblem("key %d stands %d times in included and missing ranges: %+v", k, n, a)
			return
		}
	}
	if a.Count != expected {
		s.history.addProblem("count %d, but the included ranges hold %d at snapshot %d: %+v", a.Count, expected, a.Snapshot, a)
	}
	if (a.Outcome == "Complete") != (len(a.Missing) == 0) {
		s.history.addProblem("outcome %s with %d missing ranges", a.Outcome, len(a.Missing))
	}
}

// expectedCount returns the number of records with keys [from, to) in a snapshot.
func expectedCount(from, to uint32, snapshot uint64) uint64 {
	n := uint64(0)
	for key := uint64(from); key < uint64(to); key++ {
		if total := recordCount(snapshot); total > key {
			n += (total - key + scenarioKeys - 1) / scenarioKeys
		}
	}
	return n
}

// finish waits for the clients and checks their history. Arguments name required
// outcomes: Complete requires at least one, Complete=50 at least 50, and Lost=0 none.
func (s *scenario) finish(ts *testscript.TestScript, wanted []string) error {
	if s.clientsDone != nil {
		if s.untilFinish {
			close(s.stopClients)
		}
		if err := <-s.clientsDone; err != nil {
			return err
		}
	}
	if err := s.checkOrders(); err != nil {
		return err
	}
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	ts.Logf("outcomes: %v", h.outcomes)
	for _, l := range h.losses[:min(len(h.losses), 20)] {
		ts.Logf("lost: %s", l)
	}
	if len(h.problems) > 0 {
		return fmt.Errorf("%d wrong answers, the first: %s", len(h.problems), h.problems[0])
	}
	for _, w := range wanted {
		if err := h.checkWanted(w); err != nil {
			return err
		}
	}
	return nil
}

// checkWanted checks one argument of finish.
func (h *history) checkWanted(w string) error {
	name, minCount, hasCount := parseWanted(w)
	n := h.outcomes[name]
	switch {
	case hasCount && minCount == 0 && n > 0:
		return fmt.Errorf("%d outcomes %s, want none; all: %v", n, name, h.outcomes)
	case n < max(minCount, 1) && (!hasCount || minCount > 0):
		return fmt.Errorf("%d outcomes %s, want %d; all: %v", n, name, max(minCount, 1), h.outcomes)
	}
	return nil
}

// parseWanted splits an argument of finish into its outcome and its count.
func parseWanted(w string) (name string, minCount int, hasCount bool) {
	for i := range w {
		if w[i] == '=' {
			n, _ := strconv.Atoi(w[i+1:])
			return w[:i], n, true
		}
	}
	return w, 1, false
}

// checkOrders checks the attempts against the upstreams' records with orderModel.
func (s *scenario) checkOrders() error {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	if len(s.history.operations) == 0 {
		return nil
	}
	runs, err := s.sumRuns()
	if err != nil {
		return err
	}
	operations := s.history.operations
	seen := map[string]bool{}
	for _, o := range s.history.operations {
		t := o.Input.(attemptInput).ticket
		if seen[t] {
			continue
		}
		seen[t] = true
		operations = append(operations, porcupine.Operation{
			ClientId: -1, Input: attemptInput{ticket: t, final: true}, Call: farFuture + 1,
			Output: attemptOutput{runs: runs[t]}, Return: farFuture + 2,
		})
	}
	for t, n := range runs {
		if n > 1 {
			return fmt.Errorf("order %s ran %d times", t, n)
		}
	}
	if porcupine.CheckOperations(orderModel.ToModel(), operations) {
		return nil
	}
	return errors.New("attempts are not consistent with orders that run at most once and report their outcome correctly")
}

package pass

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// This file is both ends of the handling of left-out records: a relay sends only those
// records that are likely to belong to the answer, and the sender fetches the others if
// the answer needs them.

const (
	// spareRecords is how many records are sent beyond the expected number and its
	// deviations.
	extraRecords = 2
	// spareDeviations is how many standard deviations of that number are sent besides;
	// with three, about one answer in a thousand needs more.
	extraDeviations = 3
	// leftOutGrace is how long records that were left out are kept after the deadline of
	// their batch.
	omittedRetention = time.Second
	// allRecordsFor is how long relays send all records of a route after some were lacking:
	// its great records are not spread evenly over the shards.
	fullRecordsDuration = time.Minute
	// recordsBound is how long fetching the records that lack may take; the answer is
	// complete but for them.
	fetchRecordsTimeout = 100 * time.Millisecond
)

// recordsFor is how many of the greatest records are sent for the parts of one reply,
// of all parts of the answer: where the records are spread evenly, more are hardly
// ever needed.
func recordsToSend(top, parts, total int) int {
	if total <= 0 || parts >= total {
		return top
	}
	share := float64(parts) / float64(total)
	mean := float64(top) * share
	deviation := math.Sqrt(mean * (1 - share))
	return min(top, int(math.Ceil(mean+extraDeviations*deviation))+extraRecords)
}

// leftOutRecords are the records that the replies of a batch left out, one item a
// reply, in the order of the numbers from 1 that the replies gave.
type omittedRecords [][]byte

// cut returns so many of the records, and the number under which the others are kept;
// 0 if there are none.
func (l *omittedRecords) split(records []byte, count int) (sent []byte, number int) {
	n := count * recordBytes
	if len(records) <= n {
		return records, 0
	}
	*l = append(*l, records[n:])
	return records[:n], len(*l)
}

// onRecords gives records that a reply left out.
func (e *engine) onRecords(_ context.Context, in *recordsRequest) (any, error) {
	b, err := e.servedBatch(in.ID)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if in.Cut < 1 || in.Cut > len(b.omitted) {
		return nil, fmt.Errorf("bad request for records: cut %d of %d", in.Cut, len(b.omitted))
	}
	return &recordsReply{Records: b.omitted[in.Cut-1]}, nil
}

type omittedRef struct {
	relay string
	key   recordsRequest
}

// allRecords notes the routes for which relays are to send all records.
type fullRecordRoutes struct {
	// until holds the time.Duration until which each route, by name, gets all.
	until sync.Map
}

func (a *fullRecordRoutes) enable(route string, now time.Duration) {
	a.until.Store(route, now+fullRecordsDuration)
}

func (a *fullRecordRoutes) enabled(route string, now time.Duration) bool {
	until, ok := a.until.Load(route)
	return ok && now < until.(time.Duration)
}

// complete fetches records that the answer may lack. A block whose records do not
// come is left out of the answer.
func (q *request) fetchOmittedRecords(ctx context.Context) {
	e := q.engine
	for {
		incomplete := q.responses.parts.incomplete(q.route.Gather.Top)
		if len(incomplete) == 0 {
			return
		}
		e.relay.fullRecordRoutes.enable(q.route.Name, e.kernel.Now())
		errs := make([]error, len(incomplete))
		var all sync.WaitGroup
		for i, b := range incomplete {
			all.Go(func() { errs[i] = q.fetchOmitted(ctx, b) })
		}
		all.Wait()
		for i, b := range incomplete {
			if errs[i] != nil {
				q.responses.parts.remove(b)
				e.kernel.RequestLog.Info().Str("RequestID", q.in.id).Str("Relay", b.omitted.relay).Int("Parts", len(b.stamps)).
					Err(errs[i]).Msg("records not completed")
			}
		}
	}
}

// fetchLeftOut gets the records of a block that were left out.
func (q *request) fetchOmitted(ctx context.Context, b *block) error {
	ctx, cancel := context.WithTimeout(ctx, fetchRecordsTimeout)
	defer cancel()
	var out recordsReply
	if err := q.engine.kernel.Peers.Call(ctx, b.omitted.relay, methodRecords, b.omitted.key, &out); err != nil {
		return err
	}
	b.records = append(b.records, out.Records...)
	b.omitted = nil
	return nil
}

package pass

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// This file implements both ends of omitting records: a relay sends only the records that
// are likely to belong to the response, and the sender of the batch fetches the others if the
// response needs them.

const (
	// extraRecords is how many records are sent in addition to the expected number and
	// extraDeviations.
	extraRecords = 2
	// extraDeviations is how many standard deviations are added to the expected number;
	// with three, about one response in a thousand needs more.
	extraDeviations = 3
	// omittedRetention is how long omitted records are kept after the deadline of their
	// batch.
	omittedRetention = time.Second
	// fullRecordsDuration is how long relays send all records of a route after omitted ones
	// were needed, since the greatest records of the route are not spread evenly over the
	// shards.
	fullRecordsDuration = time.Minute
	// fetchRecordsTimeout limits fetching omitted records, the last step before the
	// response.
	fetchRecordsTimeout = 100 * time.Millisecond
)

// recordsToSend returns how many of the greatest records a reply with the given number of
// parts contains; total is the number of parts of the response. If the records are spread
// evenly over the parts, more are rarely needed.
func recordsToSend(top, parts, total int) int {
	if total <= 0 || parts >= total {
		return top
	}
	share := float64(parts) / float64(total)
	mean := float64(top) * share
	deviation := math.Sqrt(mean * (1 - share))
	return min(top, int(math.Ceil(mean+extraDeviations*deviation))+extraRecords)
}

// omittedRecords are the records omitted from the replies of a batch. The OmittedID n of a
// reply refers to item n-1.
type omittedRecords [][]byte

// split returns the first count records. It keeps the others and returns their OmittedID, or 0
// if there are no others.
func (o *omittedRecords) split(records []byte, count int) (sent []byte, omittedID int) {
	n := count * recordBytes
	if len(records) <= n {
		return records, 0
	}
	*o = append(*o, records[n:])
	return records[:n], len(*o)
}

// onRecords returns the records that a reply omitted.
func (e *engine) onRecords(_ context.Context, in *recordsRequest) (any, error) {
	b, err := e.servedBatch(in.ID)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if in.OmittedID < 1 || in.OmittedID > len(b.omitted) {
		return nil, fmt.Errorf("bad request for records: cut %d of %d", in.OmittedID, len(b.omitted))
	}
	return &recordsReply{Records: b.omitted[in.OmittedID-1]}, nil
}

type omittedRef struct {
	relay string
	key   recordsRequest
}

// fullRecordRoutes holds the routes for which relays must send all records.
type fullRecordRoutes struct {
	// until maps each route name to the time, a time.Duration, until which relays send all
	// records.
	until sync.Map
}

func (f *fullRecordRoutes) enable(route string, now time.Duration) {
	f.until.Store(route, now+fullRecordsDuration)
}

func (f *fullRecordRoutes) enabled(route string, now time.Duration) bool {
	until, ok := f.until.Load(route)
	return ok && now < until.(time.Duration)
}

// fetchOmittedRecords fetches omitted records that the response may need. A block whose
// records cannot be fetched is removed from the response.
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
					Err(errs[i]).Msg("failed to fetch omitted records")
			}
		}
	}
}

// fetchOmitted fetches the omitted records of a block.
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

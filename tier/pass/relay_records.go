package pass

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// Constants of records that are not sent at once.
const (
	// spareRecords and spareDeviations are how many records are sent beyond those
	// that some of the parts are expected to have among the greatest of all. With
	// three deviations about one answer in a thousand has to ask for more.
	spareRecords    = 2
	spareDeviations = 3
	// allRecordsFor is how long all records of a route are asked for after some were
	// lacking: its great records are not spread evenly over the shards.
	allRecordsFor = time.Minute
	// recordsBound is how long records that lack may take: the answer is complete
	// but for them.
	recordsBound = 100 * time.Millisecond
)

// omitted names records that were not sent.
type omitted struct {
	host string
	at   recordsRequest
}

// recordsFor is how many of the greatest records are sent for some of all parts:
// where the records are spread evenly, more are hardly ever needed.
func recordsFor(top, parts, of int) int {
	if of <= 0 || parts >= of {
		return top
	}
	share := float64(parts) / float64(of)
	mean := float64(top) * share
	deviation := math.Sqrt(mean * (1 - share))
	return min(top, int(math.Ceil(mean+spareDeviations*deviation))+spareRecords)
}

// cutRecords cuts the records for an answer about some parts, and keeps the rest; the
// batch is locked.
func (b *servedBatch) cutRecords(records []byte, parts int) (given []byte, cut int) {
	n := recordsFor(b.in.Top, parts, b.in.Of) * recordBytes
	if len(records) <= n {
		return records, 0
	}
	b.cut = append(b.cut, records[n:])
	return records[:n], len(b.cut)
}

// onRecords gives records that an answer left out.
func (e *Engine) onRecords(_ context.Context, in *recordsRequest) (any, error) {
	b, err := e.servedBatches.find(in.ID)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if in.Cut < 1 || in.Cut > len(b.cut) {
		return nil, fmt.Errorf("bad request for records: cut %d of %d", in.Cut, len(b.cut))
	}
	return &recordsReply{Records: b.cut[in.Cut-1]}, nil
}

// wantsAllRecords reports whether all records of a route's parts are to be sent.
func (e *Engine) wantsAllRecords(route string) bool {
	until, ok := e.allRecords.Load(route)
	return ok && e.kernel.Now() < until.(time.Duration)
}

// complete asks for records that the answer may lack. A block whose records do
// not come is left out.
func (q *request) complete(ctx context.Context) {
	e := q.engine
	for {
		lacking := q.parts.lacking(q.route.Gather.Top)
		if len(lacking) == 0 {
			return
		}
		e.allRecords.Store(q.route.Name, e.kernel.Now()+allRecordsFor)
		errs := make([]error, len(lacking))
		var all sync.WaitGroup
		for i, b := range lacking {
			all.Go(func() { errs[i] = q.fetchOmitted(ctx, b) })
		}
		all.Wait()
		for i, b := range lacking {
			if errs[i] != nil {
				q.parts.drop(b)
				e.kernel.Decisions.Info().Str("RequestID", q.id).Str("Relay", b.rest.host).Int("Parts", len(b.stamps)).
					Err(errs[i]).Msg("records not completed")
			}
		}
	}
}

// fetchOmitted gets the records of a block that were not sent.
func (q *request) fetchOmitted(ctx context.Context, b *block) error {
	ctx, cancel := context.WithTimeout(ctx, recordsBound)
	defer cancel()
	var out recordsReply
	if err := q.engine.kernel.Peers.Call(ctx, b.rest.host, methodRecords, b.rest.at, &out); err != nil {
		return err
	}
	b.records = append(b.records, out.Records...)
	b.rest = nil
	return nil
}

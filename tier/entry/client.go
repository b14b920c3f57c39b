package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-json-experiment/json"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/policy"
	"loomgap/tier/wire"
)

// Timeouts of upstream connections.
const (
	// upstreamDialTimeout limits the time to connect to an upstream. Usually the deadline
	// of the request ends the call earlier.
	upstreamDialTimeout = time.Second
	// upstreamIdleTimeout is well below the shortest idle timeout of upstreams, 60 s, so
	// that a connection is not reused while the upstream is closing it.
	upstreamIdleTimeout = 20 * time.Second
	// maxReplyHeadBytes limits the status line and the headers of a reply.
	maxReplyHeadBytes = 16 << 10
	// maxStatusBytes limits a reply to a status call.
	maxStatusBytes = 64 << 10
	// maxDecodedBytes limits the memory of the rows of a reply, which may take many times the
	// bytes of its text.
	maxDecodedBytes = 4 * wire.MaxReplyBytes
	// rowBytes is the memory of an empty row, and about that of a field.
	rowBytes = 40
)

// errReplyTooLarge is returned for a reply that takes too much memory once it is decoded.
var errReplyTooLarge = fmt.Errorf("decoded reply: %w", wire.ErrTooLarge)

// client makes calls to one upstream over its own connections.
type client struct {
	address   netip.AddrPort
	transport *http.Transport
	// account limits the replies that are held at the same time; nil for no limit.
	account *kernel.ByteAccount
}

func newClient(u *config.Upstream, connections int, account *kernel.ByteAccount) *client {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	return &client{
		address: u.Address, account: account,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			MaxResponseHeaderBytes: maxReplyHeadBytes,
			IdleConnTimeout:        upstreamIdleTimeout,
		},
	}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// reply is the HTTP response to one call, or the error instead of it.
type reply struct {
	status int
	body   []byte
	// reached is false if it is certain that nothing was sent to the upstream.
	reached bool
	err     error
	// memory is what the body uses of the upstream's account.
	memory *kernel.ByteReservation
}

// do makes one call and reads a reply of at most limit bytes, whose memory must be released or held.
// The request has no GetBody, so that the transport never sends it twice.
func (c *client) do(ctx context.Context, path string, header http.Header, body []byte, limit int64) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := reply{memory: c.account.Reserve(cancel)}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { out.reached = true }}
	r := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.address.String(), Path: path},
		Header: header, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)),
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	answer, err := c.transport.RoundTrip(r)
	if err != nil {
		out.err = err
		return out
	}
	defer answer.Body.Close()
	out.status = answer.StatusCode
	if out.err = wire.CheckFraming(answer); out.err == nil {
		out.body, out.err = wire.ReadBody(answer, limit, out.memory)
	}
	return out
}

// noRoom reports whether the reply could not be held beside others, which is no fault of the upstream.
func (r *reply) noRoom() bool { return errors.Is(r.err, kernel.ErrNoRoom) || r.memory.Revoked() }

// release releases the memory of a reply that is no longer used.
func (r *reply) release() { r.memory.Release() }

// reserveDecoded reserves the memory that a part takes once its rows are decoded.
func (r *reply) reserveDecoded() error {
	size := int64(len(r.body)) + rowBytes*int64(bytes.Count(r.body, []byte("{")))
	if size > maxDecodedBytes {
		return errReplyTooLarge
	}
	return r.memory.Grow(size)
}

// classify returns the outcome of the call with the given identity. Only replies with that
// identity count, including refusals.
func classify(r *reply, id wire.Identity, snapshot uint64) (policy.CallOutcome, *wire.PartReply) {
	if r.err == nil && r.status == http.StatusOK {
		r.err = r.reserveDecoded()
	}
	switch {
	case r.noRoom():
		metrics.GetOrCreateCounter("loomgap_responses_without_room_total").Inc()
		return policy.CallNoRoom, nil
	case r.err != nil && !r.reached:
		return policy.CallUnreachable, nil
	case r.err != nil && r.status == 0:
		return policy.CallBroken, nil
	case r.err != nil:
		return countDroppedReply("unreadable"), nil
	case r.status == http.StatusOK:
		return classifyPart(r.body, id, snapshot)
	case r.status == http.StatusConflict, r.status == http.StatusServiceUnavailable:
		return classifyRefusal(r.body, id)
	}
	return countDroppedReply("status"), nil
}

func classifyPart(body []byte, id wire.Identity, snapshot uint64) (policy.CallOutcome, *wire.PartReply) {
	var p wire.PartReply
	switch err := json.Unmarshal(body, &p); {
	case err != nil:
		return countDroppedReply("malformed"), nil
	case p.Identity != id:
		return countDroppedReply("crossed"), nil
	case snapshot > 0 && p.Snapshot != snapshot:
		return countDroppedReply("snapshot"), nil
	}
	return policy.CallOK, &p
}

func classifyRefusal(body []byte, id wire.Identity) (policy.CallOutcome, *wire.PartReply) {
	var f wire.RefusalReply
	if err := json.Unmarshal(body, &f); err != nil || f.Identity != id {
		return countDroppedReply("refusal"), nil
	}
	info := &wire.PartReply{UpstreamInfo: f.UpstreamInfo}
	switch f.Refused {
	case wire.RefusalShed, wire.RefusalLate:
		return policy.CallShed, info
	case wire.RefusalLeaving:
		info.Leaving = true
		return policy.CallLeaving, info
	case wire.RefusalSnapshotGone:
		return policy.CallSnapshotGone, info
	case wire.RefusalMoved:
		return policy.CallMoved, info
	}
	return countDroppedReply("refusal"), nil
}

// countDroppedReply counts a reply that must not be used, and returns the outcome of its
// call.
func countDroppedReply(why string) policy.CallOutcome {
	metrics.GetOrCreateCounter(`loomgap_replies_dropped_total{Why="` + why + `"}`).Inc()
	return policy.CallMalformed
}

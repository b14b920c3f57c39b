package peers

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
	"loomgap/tier/wire"
)

// namingAdapter translates a text to a document with one group of that name.
const namingAdapter = "Naming"

func init() {
	kernel.RegisterAdapter(namingAdapter, kernel.Adapter{Translate: func(text []byte) (*config.Translation, error) {
		if len(text) == 0 {
			return nil, errors.New("no name")
		}
		d := &config.Document{Groups: []config.Group{{Name: string(text)}}}
		return &config.Translation{Adapter: namingAdapter, Text: text, Document: d}, nil
	}})
}

// newNamingFetcher returns the fetcher of a host with namingAdapter.
func newNamingFetcher(t *testing.T) *fetcher {
	k := newTestKernel(t, "Self")
	k.Settings.Adapter = namingAdapter
	return newFetcher(k, nil, func(*kernel.State) {})
}

func gauge(name string) float64 { return metrics.GetOrCreateGauge(name, nil).Get() }

// do runs a job on the control thread and waits until its view is published.
func do(k *kernel.Kernel, job func(*kernel.State)) {
	k.DoAndWait(job)
	k.DoAndWait(func(*kernel.State) {})
}

// documentFor returns the document that a host sends to one with the given adapter.
func documentFor(t *testing.T, f *fetcher, adapter string) *wire.PackedDocument {
	t.Helper()
	out, err := f.onDocument(t.Context(), &documentRequest{Adapter: adapter})
	assert.NilError(t, err)
	packed := out.(wire.PackedDocument)
	return &packed
}

// TestDocumentIsFetchedAsPublished guards against a document that the reader applies and a host
// that fetches it refuses, because the text is longer or otherwise encoded.
func TestDocumentIsFetchedAsPublished(t *testing.T) {
	name := strings.Repeat("größe/7:", config.MaxBytes/10)
	at := config.Position{Era: 2, Revision: 9}
	edition := config.Edition{Version: 5, Position: at}
	first, second := newNamingFetcher(t), newNamingFetcher(t)
	a, err := kernel.FindAdapter(namingAdapter)
	assert.NilError(t, err)
	translated, err := a.Translate([]byte(name))
	assert.NilError(t, err)
	do(first.kernel, func(s *kernel.State) { first.kernel.AcceptTranslation(s, translated, edition) })
	packed := documentFor(t, first, namingAdapter)
	assert.Equal(t, packed.Adapter, namingAdapter)

	accept, err := second.unpackDocument(packed)
	assert.NilError(t, err)
	do(second.kernel, accept)
	got := second.kernel.View().Index
	assert.Equal(t, got.Edition, edition)
	assert.Equal(t, got.Document.Groups[0].Name, name)
	assert.Equal(t, got.Digest, first.kernel.View().Index.Digest)
}

// TestDocumentsOfHostsWithoutAdapterForm guards against a mixed fleet in which hosts of an older
// version, which know only loomgap's own form, get no document, or none is taken from them.
func TestDocumentsOfHostsWithoutAdapterForm(t *testing.T) {
	edition := config.Edition{Version: 5, Position: config.Position{Era: 2, Revision: 9}}
	first, second := newNamingFetcher(t), newNamingFetcher(t)
	do(first.kernel, func(s *kernel.State) {
		d := &config.Document{Groups: []config.Group{{Name: "G", Connections: 3}}}
		first.kernel.AcceptTranslation(s, &config.Translation{Adapter: namingAdapter, Text: []byte("G"), Document: d}, edition)
	})
	packed := documentFor(t, first, "")
	assert.Equal(t, packed.Adapter, "")
	text, err := packed.Unpack(config.MaxBytes)
	assert.NilError(t, err)
	x, err := config.Accept(text, edition)
	assert.NilError(t, err)
	assert.Equal(t, x.Group("G").Connections, 3)

	accept, err := second.unpackDocument(packed)
	assert.NilError(t, err)
	do(second.kernel, accept)
	assert.Equal(t, second.kernel.View().Index.Group("G").Connections, 3)
}

// TestUnusableFetchedDocuments checks the errors for documents that a host cannot use.
func TestUnusableFetchedDocuments(t *testing.T) {
	f := newNamingFetcher(t)
	pack := func(adapter, text string) *wire.PackedDocument {
		p, err := wire.Pack(3, []byte(text))
		assert.NilError(t, err)
		p.Adapter = adapter
		return &p
	}
	_, err := f.unpackDocument(&wire.PackedDocument{})
	assert.ErrorIs(t, err, errNoDocument)
	_, err = f.unpackDocument(pack("Other", "x"))
	assert.ErrorIs(t, err, errOtherAdapter)
	_, err = f.unpackDocument(pack(namingAdapter, ""))
	assert.ErrorContains(t, err, "no name")
	_, err = f.unpackDocument(pack(namingAdapter, strings.Repeat("x", documentMargin*config.MaxBytes+1)))
	assert.ErrorIs(t, err, wire.ErrTooLarge)
}

// TestFramesHoldTheLargestDocument guards against a document that the platform's store takes and
// no message between hosts holds.
func TestFramesHoldTheLargestDocument(t *testing.T) {
	const stored = 8 << 20
	settings := kernel.Settings{DocumentBytes: stored, Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	c := frameCodec{minLimit: packedDocumentFactor * int(maxDocumentBytes(&settings))}
	message := strings.Repeat("x", stored*4/3)
	var frame bytes.Buffer
	assert.NilError(t, c.WriteObject(&frame, message))
	var back string
	assert.NilError(t, c.ReadObject(bufio.NewReader(bytes.NewReader(frame.Bytes())), &back))
	assert.Equal(t, len(back), len(message))
	assert.ErrorIs(t, frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(frame.Bytes())), &back), wire.ErrTooLarge)
}

// TestLengthOfFrameTakesNoMemory guards against an invalid length that takes the memory of a host
// whose platform stores large documents.
func TestLengthOfFrameTakesNoMemory(t *testing.T) {
	settings := kernel.Settings{DocumentBytes: math.MaxInt64}
	c := frameCodec{minLimit: packedDocumentFactor * int(maxDocumentBytes(&settings))}
	frame := []byte{0x7f, 0xff, 0xff, 0xff, 'x'}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var v any
	err := c.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &v)
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < wire.MaxReplyBytes, "%d bytes", after.TotalAlloc-before.TotalAlloc)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestKnownEditionIsReported guards against a host that is behind without a sign of it: a newer
// document that it refuses, or that a peer has and it does not.
func TestKnownEditionIsReported(t *testing.T) {
	f := newNamingFetcher(t)
	edition := func(n uint64) config.Edition {
		return config.Edition{Version: n, Position: config.Position{Era: 1, Revision: n}}
	}
	do(f.kernel, func(s *kernel.State) {
		f.kernel.AcceptTranslation(s, &config.Translation{Document: &config.Document{}}, edition(3))
		assert.Equal(t, s.Known, edition(3))
		f.kernel.RefuseDocument(s, errors.New("no JSON"), config.Edition{Position: config.Position{Era: 1, Revision: 4}})
		assert.Equal(t, s.Edition(), edition(3))
		assert.Equal(t, s.Known.Revision, uint64(4))
		assert.Assert(t, s.Refused != "")
		s.NoteEdition(edition(6))
		s.NoteEdition(edition(5))
		assert.Equal(t, s.Known, edition(6))
	})
	for state, want := range map[string]float64{"Active": 3, "Known": 6} {
		assert.Equal(t, gauge(`loomgap_config_version{State="`+state+`"}`), want)
	}
}

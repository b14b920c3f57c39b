package peers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"loomgap/tier/wire"
)

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255, '{'})
	f.Add([]byte{0, 0, 0, 9, '{', '"'})
	f.Fuzz(func(t *testing.T, text []byte) {
		var v struct{ Method string }
		err := frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(text)), &v)
		if len(text) >= lengthBytes && text[0] > 0 {
			assert.ErrorIs(t, err, wire.ErrTooLarge)
		}
	})
}

// TestFramesUseTheDictionary checks that text of the dictionary shortens a frame, and that the
// frame can be read back.
func TestFramesUseTheDictionary(t *testing.T) {
	message := map[string]any{"jsonrpc": "2.0", "method": "GatherRest", "params": map[string]any{"ID": "x7-1"}}
	text, err := json.Marshal(message)
	assert.NilError(t, err)
	var frame bytes.Buffer
	assert.NilError(t, frameCodec{}.WriteObject(&frame, message))
	assert.Assert(t, frame.Len() < len(text)*2/3, "%d bytes for %d", frame.Len(), len(text))
	var back map[string]any
	assert.NilError(t, frameCodec{}.ReadObject(bufio.NewReader(&frame), &back))
	assert.DeepEqual(t, back, message)
}

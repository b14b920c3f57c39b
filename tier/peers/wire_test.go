package peers

import (
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"loomgap/tier/config"
	"loomgap/tier/wire"
)

// filler gives each field of a message a value of its own, in order of the fields.
type filler struct{ next int }

// fill sets all fields that v holds, also those of what it points to; a slice gets
// two items.
func (f *filler) fill(v reflect.Value) {
	f.next++
	switch at := v.Addr().Interface().(type) {
	case *netip.AddrPort:
		*at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(f.next)}), uint16(f.next))
		return
	case *netip.Addr:
		*at = netip.AddrFrom4([4]byte{192, 0, 2, byte(f.next)})
		return
	case *[]byte:
		*at = []byte{byte(f.next)}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.String:
		v.SetString("text " + strconv.Itoa(f.next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.next))
	case reflect.Uint64:
		v.SetUint(uint64(f.next))
	case reflect.Float64:
		v.SetFloat(float64(f.next))
	default:
		panic("no value for a " + v.Type().String())
	}
}

// TestMessagesKeepTheirForm compares every message between hosts with its text in
// testdata, with every field set and with none, and reads that text back.
func TestMessageFormatIsStable(t *testing.T) {
	tests := []struct {
		name    string
		message any
	}{
		{"heartbeat", &heartbeat{}},
		{"announcement", &announcement{}},
		{"strikes", &crashReportsMessage{}},
		{"packed-document", &wire.PackedDocument{}},
		{"directory", &config.DirectoryChange{}},
	}
	for _, tt := range tests {
		for _, form := range []string{"full", "zero"} {
			t.Run(tt.name+" "+form, func(t *testing.T) {
				message := reflect.New(reflect.TypeOf(tt.message).Elem())
				if form == "full" {
					(&filler{}).fill(message.Elem())
				}
				text, err := json.MarshalIndent(message.Interface(), "", "\t")
				assert.NilError(t, err)
				file := tt.name + "-" + form + ".json"
				golden.Assert(t, string(text)+"\n", file)
				back := reflect.New(message.Type().Elem())
				assert.NilError(t, json.Unmarshal(golden.Get(t, file), back.Interface()))
				assert.DeepEqual(t, back.Interface(), message.Interface(), cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{}))
			})
		}
	}
}

// TestMessagesOfTheVersionBefore reads what hosts sent that knew no eras, and writes it
// again: whatever they do not know is left out, so that they read what they know.
func TestMessagesOfPreviousVersion(t *testing.T) {
	for name, message := range map[string]any{
		"heartbeat": &heartbeat{}, "announcement": &announcement{}, "packed-document": &wire.PackedDocument{}, "directory": &config.DirectoryChange{},
	} {
		t.Run(name, func(t *testing.T) {
			text := golden.Get(t, "before/"+name+".json")
			assert.NilError(t, json.Unmarshal(text, message))
			again, err := json.MarshalIndent(message, "", "\t")
			assert.NilError(t, err)
			assert.Equal(t, string(again)+"\n", string(text))
		})
	}
}

// TestMethodsKeepTheirNames compares the methods that hosts call with their names on
// the wire.
func TestMethodNamesAreStable(t *testing.T) {
	assert.Equal(t, methodHeartbeat, "Beat")
	assert.Equal(t, methodDocument, "Document")
	assert.Equal(t, methodDirectory, "Directory")
	assert.Equal(t, methodAnnounce, "Announce")
	assert.Equal(t, methodCrashReports, "Strikes")
	assert.Equal(t, methodExchangeCrashReports, "KnownStrikes")
	assert.Equal(t, codeHandlerFailed, -32000)
}

// TestDictionaryKeepsItsText compares the text that both ends of a connection compress
// with.
func TestDictionaryIsStable(t *testing.T) {
	golden.Assert(t, string(dictionary), "dictionary.txt")
}

// outside finds what operators read: names of metrics with their labels, log lines and
// the fields of these.
var operatorFacing = regexp.MustCompile(`loomgap_\w+(?:\{\w+)?|\.Msg\("[^"]+"\)|\b(?:Str|Strs|Stringer|Int|Int64|Uint64|Bool|Dur|Interface)\("[A-Z]\w+"`)

// TestOperatorsReadTheSameWords compares the metrics, log lines and log fields of this
// package and of the kernel with those in testdata.
func TestOperatorFacingNamesAreStable(t *testing.T) {
	var found []string
	for _, folder := range []string{".", "../kernel"} {
		files, err := os.ReadDir(folder)
		assert.NilError(t, err)
		for _, f := range files {
			if !strings.HasSuffix(f.Name(), ".go") || strings.HasSuffix(f.Name(), "_test.go") {
				continue
			}
			text, err := os.ReadFile(folder + "/" + f.Name())
			assert.NilError(t, err)
			found = append(found, operatorFacing.FindAllString(string(text), -1)...)
		}
	}
	slices.Sort(found)
	golden.Assert(t, strings.Join(slices.Compact(found), "\n")+"\n", "operators.txt")
}

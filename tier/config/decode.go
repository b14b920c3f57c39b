package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Kind classifies an error in a document.
type Kind string

// The kinds of document errors.
const (
	KindSyntax    Kind = "Syntax"
	KindTooLarge  Kind = "TooLarge"
	KindValue     Kind = "Value"
	KindDuplicate Kind = "Duplicate"
	KindReference Kind = "Reference"
	KindRange     Kind = "Range"
	KindStale     Kind = "Stale"
)

// ErrInvalid is wrapped by every error of this package.
var ErrInvalid = errors.New("invalid configuration")

// Error is an error in a document, with its location and a remedy.
type Error struct {
	Kind Kind
	// Name is the name of the element that the error is in; empty if it has none.
	Name string
	// Field is the path of the field, such as /Services/0/Shards/3/From.
	Field string
	// Line is the line of the document; 0 if it is unknown.
	Line int
	// Problem says what is wrong.
	Problem string
	// Remedy says how to correct it.
	Remedy string
}

// Error implements error.
func (e *Error) Error() string {
	place := e.Field
	if e.Line > 0 {
		place = fmt.Sprintf("line %d, %s", e.Line, e.Field)
	}
	return fmt.Sprintf("%s: %s: %s; %s", e.Kind, place, e.Problem, e.Remedy)
}

// Unwrap returns ErrInvalid.
func (e *Error) Unwrap() error { return ErrInvalid }

// Decode reads a document strictly: it refuses unknown and duplicate fields, wrong types
// and values without a unit.
func Decode(text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, newError(KindTooLarge, "/", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("keep the document within %d bytes", MaxBytes))
	}
	const remedy = "write a JSON object with the fields of docs/CONFIG.md"
	trimmed := bytes.TrimSpace(text)
	if len(trimmed) == 0 {
		return nil, newError(KindSyntax, "/", "empty document", remedy)
	}
	if trimmed[0] != '{' {
		return nil, &Error{Kind: KindSyntax, Field: "/", Line: 1, Problem: "the document is no JSON object", Remedy: remedy}
	}
	var doc Document
	err := json.Unmarshal(text, &doc, json.RejectUnknownMembers(true), json.WithUnmarshalers(classDefaults))
	if err != nil {
		return nil, decodeError(text, err)
	}
	return &doc, nil
}

// classDefaults sets the defaults of a class before its fields are decoded.
var classDefaults = json.UnmarshalFromFunc(func(d *jsontext.Decoder, c *Class) error {
	type plain Class
	p := plain(DefaultClass())
	if err := json.UnmarshalDecode(d, &p); err != nil {
		return err
	}
	*c = Class(p)
	return nil
})

func decodeError(text []byte, err error) error {
	out := &Error{Kind: KindSyntax, Field: "/", Problem: err.Error(), Remedy: "correct the JSON at this place"}
	if syntax, ok := errors.AsType[*jsontext.SyntacticError](err); ok {
		out.Field, out.Line = string(syntax.JSONPointer), lineOf(text, syntax.ByteOffset)
		if errors.Is(err, jsontext.ErrDuplicateName) {
			out.Kind, out.Remedy = KindDuplicate, "write each field once"
		}
	}
	if semantic, ok := errors.AsType[*json.SemanticError](err); ok {
		out.Field, out.Line = string(semantic.JSONPointer), lineOf(text, semantic.ByteOffset)
		out.Kind, out.Remedy = KindValue, "use the type and the unit that docs/CONFIG.md gives for this field"
		if errors.Is(err, json.ErrUnknownName) {
			out.Remedy = "remove the field or correct its name; names are in Pascal case"
		}
	}
	return out
}

func lineOf(text []byte, offset int64) int {
	if offset < 0 || offset > int64(len(text)) {
		return 0
	}
	return 1 + bytes.Count(text[:offset], []byte{'\n'})
}

// digest returns a hash of the exact bytes of a document.
func digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

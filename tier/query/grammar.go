// Package query holds the language of callers and operators, the merging of the
// parts of an answer, and the coverage that an answer states.
//
// It owns the grammar (grammar.go), the application of an operator's commands to a
// document (apply.go), the merge of rows (merge.go) and the reasons for which a part
// is missing (cover.go). It relies on package config for documents and keeps no
// state. Callers begin with ParseAsk or ParsePlace, operators' tools with Parse and
// Apply.
//
// The nodes of the syntax tree are exported because the parser's error messages name
// them.
package query

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Bounds of a statement.
const (
	// maxStatement is the largest text of statements, in bytes.
	maxStatement = 16 << 10
	// maxLimit is the most rows that a question may ask for.
	maxLimit = 1000
	// defaultLimit is the number of rows if a question names none.
	defaultLimit = 20
)

// ErrStatement is wrapped by every error of a statement.
var ErrStatement = errors.New("invalid statement")

// Error is a fault of a statement, with its place and the remedy.
type Error struct {
	Line, Column int
	Problem      string
	Remedy       string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; %s", e.Line, e.Column, e.Problem, e.Remedy)
}

// Unwrap gives ErrStatement.
func (e *Error) Unwrap() error { return ErrStatement }

// start is the place of a fault that concerns the whole text.
var start = lexer.Position{Line: 1, Column: 1}

func at(p lexer.Position, problem, remedy string) error {
	return &Error{Line: p.Line, Column: p.Column, Problem: problem, Remedy: remedy}
}

// Script is statements divided by semicolons.
type Script struct {
	Statements []*Statement `parser:"( @@ ( ';' @@ )* ';'? )?"`
}

// Statement is one question or command; exactly one field is set.
type Statement struct {
	Pos     lexer.Position
	Ask     *Ask     `parser:"  @@"`
	Place   *Place   `parser:"| @@"`
	Create  *Create  `parser:"| @@"`
	Declare *Declare `parser:"| 'declare' @@"`
	Set     *Set     `parser:"| @@"`
	Mark    *Mark    `parser:"| @@"`
	Drop    *Drop    `parser:"| @@"`
	Show    *Show    `parser:"| @@"`
}

// Ask is a repeatable question of the data.
type Ask struct {
	Verb    string       `parser:"@( 'find' | 'count' )"`
	Service string       `parser:"@Word"`
	Shards  []string     `parser:"( 'in' 'shards' @Word ( ',' @Word )* )?"`
	Where   []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Sort    *Sort        `parser:"@@?"`
	Limit   *int         `parser:"( 'limit' @Number )?"`
}

// Condition compares a field with a value.
type Condition struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@( Text | Number | Word )"`
}

// Sort orders rows by a field.
type Sort struct {
	Field string `parser:"'sort' 'by' @Word"`
	Order string `parser:"@( 'asc' | 'desc' )?"`
}

// Place is a not-repeatable request that writes one record.
type Place struct {
	Service string        `parser:"'place' @Word"`
	Key     uint32        `parser:"'key' @Number"`
	Fields  []*Assignment `parser:"'set' @@ ( ',' @@ )*"`
}

// Assignment gives a field a value.
type Assignment struct {
	Field string `parser:"@Word '='"`
	Value string `parser:"@( Text | Duration | Number | Word )"`
}

// Create adds a service or a class.
type Create struct {
	Service  string `parser:"'create' ( 'service' @Word"`
	KeySpace uint32 `parser:"'keyspace' @Number"`
	Class    string `parser:"| 'class' @Word )"`
}

// Declare adds or replaces an upstream, a host or a shard.
type Declare struct {
	Upstream *DeclareUpstream `parser:"  'upstream' @@"`
	Host     *DeclareHost     `parser:"| 'host' @@"`
	Shard    *DeclareShard    `parser:"| 'shard' @@"`
}

// DeclareUpstream describes a back end.
type DeclareUpstream struct {
	Name        string `parser:"@Word"`
	Address     string `parser:"'at' @Text"`
	Hall        string `parser:"'hall' @Word"`
	Slots       int    `parser:"'slots' @Number"`
	Connections int    `parser:"'connections' @Number"`
}

// DeclareHost describes an entry host.
type DeclareHost struct {
	Name    string `parser:"@Word"`
	Address string `parser:"'at' @Text"`
	Hall    string `parser:"'hall' @Word"`
}

// DeclareShard describes a range of keys and its replicas.
type DeclareShard struct {
	Name     string   `parser:"@Word"`
	Service  string   `parser:"'of' @Word"`
	From     uint32   `parser:"'keys' @Number"`
	To       uint32   `parser:"'to' @Number"`
	Replicas []string `parser:"'on' @Word ( ',' @Word )*"`
}

// Set changes settings of a class or a route.
type Set struct {
	Class    string        `parser:"'set' ( 'class' @Word"`
	Route    string        `parser:"| 'route' @Word )"`
	Settings []*Assignment `parser:"@@ ( ',' @@ )*"`
}

// Mark tells that an upstream leaves or returns.
type Mark struct {
	Verb     string `parser:"@( 'leave' | 'return' )"`
	Upstream string `parser:"'upstream' @Word"`
}

// Drop removes a part of the document.
type Drop struct {
	What    string `parser:"'drop' @( 'service' | 'upstream' | 'host' | 'class' | 'shard' )"`
	Name    string `parser:"@Word"`
	Service string `parser:"( 'of' @Word )?"`
}

// Show prints a part of the document.
type Show struct {
	What string `parser:"'show' @( 'services' | 'upstreams' | 'hosts' | 'classes' | 'shards' | 'groups' | 'routes' )"`
	Of   string `parser:"( 'of' @Word )?"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Text", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Duration", Pattern: `\d+(\.\d+)?(ns|us|ms|s|m|h)`},
	{Name: "Number", Pattern: `-?\d+(\.\d+)?`},
	{Name: "Word", Pattern: `[A-Za-z][A-Za-z0-9_.-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Mark", Pattern: `[,;]`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(tokens),
	participle.Unquote("Text"),
	participle.Elide("Comment", "Space"),
	participle.UseLookahead(2),
)

// Parse reads statements.
func Parse(text string) ([]*Statement, error) {
	if len(text) > maxStatement {
		return nil, at(start, fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("keep it within %d bytes", maxStatement))
	}
	script, err := parser.ParseString("", text)
	if err != nil {
		return nil, parseError(err)
	}
	return script.Statements, nil
}

func parseError(err error) error {
	fault, ok := errors.AsType[participle.Error](err)
	if !ok {
		return at(start, err.Error(), "see docs/LANGUAGE.md")
	}
	return at(fault.Position(), fault.Message(), "correct the text at this place; docs/LANGUAGE.md has the grammar")
}

// ParseAsk reads exactly one find or count statement.
func ParseAsk(text string) (*Ask, error) {
	s, err := parseOne(text)
	if err != nil {
		return nil, err
	}
	if s.Ask == nil {
		return nil, at(s.Pos, "not a question", "use find or count; commands go to `loomctl plan`, place to `loomctl order`")
	}
	if limit := s.Ask.Limit; limit != nil && (*limit < 1 || *limit > maxLimit) {
		return nil, at(s.Pos, fmt.Sprintf("limit %d", *limit), fmt.Sprintf("use 1 to %d", maxLimit))
	}
	return s.Ask, nil
}

// ParsePlace reads exactly one place statement.
func ParsePlace(text string) (*Place, error) {
	s, err := parseOne(text)
	if err != nil {
		return nil, err
	}
	if s.Place == nil {
		return nil, at(s.Pos, "not a place statement", "use place; questions go to `loomctl ask`")
	}
	return s.Place, nil
}

func parseOne(text string) (*Statement, error) {
	all, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, at(start, fmt.Sprintf("%d statements", len(all)), "send exactly one")
	}
	return all[0], nil
}

func (a *Ask) maxRows() int {
	switch {
	case a.Verb == "count":
		return 0
	case a.Limit == nil:
		return defaultLimit
	}
	return *a.Limit
}

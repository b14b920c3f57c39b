// Package query implements the query and command language, merges partial answers and
// computes their coverage. It keeps no state.
//
// Requests of callers are parsed with ParseAsk or ParsePlace, commands of operators with
// Parse; Apply executes commands on a document of package config. Merger merges the rows of
// the parts of an answer, and NewCoverage lists the missing parts with the reasons.
//
// The nodes of the syntax tree are exported because the error messages of the parser
// contain their names.
package query

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	maxStatementBytes = 16 << 10
	// maxRowLimit is the largest limit of a find statement.
	maxRowLimit = 1000
	// defaultRowLimit is the limit of a find statement that sets none.
	defaultRowLimit = 20
)

// ErrStatement is wrapped by every error in a statement.
var ErrStatement = errors.New("invalid statement")

// Error is an error in a statement, with its position and a remedy.
type Error struct {
	Line, Column int
	Problem      string
	Remedy       string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; %s", e.Line, e.Column, e.Problem, e.Remedy)
}

// Unwrap returns ErrStatement.
func (e *Error) Unwrap() error { return ErrStatement }

// startOfText is the position of errors that concern the whole text.
var startOfText = lexer.Position{Line: 1, Column: 1}

func errorAt(p lexer.Position, problem, remedy string) error {
	return &Error{Line: p.Line, Column: p.Column, Problem: problem, Remedy: remedy}
}

// Script is a list of statements, separated by semicolons.
type Script struct {
	Statements []*Statement `parser:"( @@ ( ';' @@ )* ';'? )?"`
}

// Statement is one question, order or command; exactly one field besides Pos is set.
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

// Ask is a question: a find or count statement. It is repeatable.
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

// Place is an order: it writes one record and must run at most once.
type Place struct {
	Service string        `parser:"'place' @Word"`
	Key     uint32        `parser:"'key' @Number"`
	Fields  []*Assignment `parser:"'set' @@ ( ',' @@ )*"`
}

// Assignment sets a field or setting to a value.
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

// DeclareUpstream describes an upstream.
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

// DeclareShard describes a key range and its replicas.
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

// Mark marks an upstream as leaving or as returned.
type Mark struct {
	Verb     string `parser:"@( 'leave' | 'return' )"`
	Upstream string `parser:"'upstream' @Word"`
}

// Drop removes an element from the document.
type Drop struct {
	What    string `parser:"'drop' @( 'service' | 'upstream' | 'host' | 'class' | 'shard' )"`
	Name    string `parser:"@Word"`
	Service string `parser:"( 'of' @Word )?"`
}

// Show lists elements of the document.
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

// Parse parses a list of statements.
func Parse(text string) ([]*Statement, error) {
	if len(text) > maxStatementBytes {
		return nil, errorAt(startOfText, fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("keep it within %d bytes", maxStatementBytes))
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
		return errorAt(startOfText, err.Error(), "see docs/LANGUAGE.md")
	}
	return errorAt(fault.Position(), fault.Message(), "correct the text at this place; docs/LANGUAGE.md has the grammar")
}

// ParseAsk parses exactly one find or count statement.
func ParseAsk(text string) (*Ask, error) {
	s, err := parseOne(text)
	if err != nil {
		return nil, err
	}
	if s.Ask == nil {
		return nil, errorAt(s.Pos, "not a question", "use find or count; commands go to `loomctl plan`, place to `loomctl order`")
	}
	if limit := s.Ask.Limit; limit != nil && (*limit < 1 || *limit > maxRowLimit) {
		return nil, errorAt(s.Pos, fmt.Sprintf("limit %d", *limit), fmt.Sprintf("use 1 to %d", maxRowLimit))
	}
	return s.Ask, nil
}

// ParsePlace parses exactly one place statement.
func ParsePlace(text string) (*Place, error) {
	s, err := parseOne(text)
	if err != nil {
		return nil, err
	}
	if s.Place == nil {
		return nil, errorAt(s.Pos, "not a place statement", "use place; questions go to `loomctl ask`")
	}
	return s.Place, nil
}

func parseOne(text string) (*Statement, error) {
	all, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, errorAt(startOfText, fmt.Sprintf("%d statements", len(all)), "send exactly one")
	}
	return all[0], nil
}

func (a *Ask) rowLimit() int {
	switch {
	case a.Verb == "count":
		return 0
	case a.Limit == nil:
		return defaultRowLimit
	}
	return *a.Limit
}

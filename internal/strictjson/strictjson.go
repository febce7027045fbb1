// Package strictjson decodes JSON strictly and keeps the position of each value.
//
// Unknown and repeated fields, values of the wrong type and values that fail
// the checks of a validate tag are reported as problems with file, line and
// column, so that an operator finds a mistake without searching.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of values.
const maxDepth = 64

// Position is where a value stands. Line and Column count from 1; 0 means that
// the whole file is meant.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one mistake in a file.
type Problem struct {
	Position Position
	Field    string
	Message  string
}

// String returns position, field and message as one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Position.String() + ": " + p.Message
	}
	return p.Position.String() + ": " + p.Field + ": " + p.Message
}

// Errors are the mistakes found; as an error it has one line for each.
type Errors []Problem

// maxLines bounds the text of an error: one mistake in a template is found once
// for each of its services.
const maxLines = 50

// Error returns one line for each problem, up to 50.
func (p Errors) Error() string {
	lines := make([]string, 0, maxLines+1)
	for i := range p {
		if i == maxLines {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-maxLines))
			break
		}
		lines = append(lines, p[i].String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (p Errors) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Kind is the JSON type of a node.
type Kind string

// The kinds of nodes.
const (
	Object Kind = "object"
	Array  Kind = "list"
	String Kind = "string"
	Number Kind = "number"
	Bool   Kind = "boolean"
	Null   Kind = "null"
)

// Field is one member of an object.
type Field struct {
	Name     string
	Position Position
	Value    *Node
}

// Node is a JSON value with its position.
type Node struct {
	Position Position
	Kind     Kind
	// Text is the string, the digits of the number, or the literal.
	Text   string
	Items  []*Node
	Fields []Field
}

// Parse reads exactly one JSON value from data.
func Parse(file string, data []byte) (*Node, error) {
	p := &parser{file: file, data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	node, err := p.value(0)
	if err != nil {
		return nil, Errors{p.problem(err)}
	}
	end := p.start()
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, Errors{{Position: p.at(end), Message: "unexpected data after the value"}}
	}
	return node, nil
}

// Map returns the tree with each node replaced by f of it, leaves first.
func (n *Node) Map(f func(*Node) *Node) *Node {
	out := *n
	out.Items = make([]*Node, len(n.Items))
	for i, item := range n.Items {
		out.Items[i] = item.Map(f)
	}
	out.Fields = make([]Field, len(n.Fields))
	for i, field := range n.Fields {
		out.Fields[i] = Field{Name: field.Name, Position: field.Position, Value: field.Value.Map(f)}
	}
	return f(&out)
}

type parser struct {
	file    string
	data    []byte
	decoder *json.Decoder
}

// syntaxError carries a mistake found by the parser itself.
type syntaxError struct {
	at      int
	message string
}

func (e *syntaxError) Error() string { return e.message }

func (p *parser) problem(err error) Problem {
	var own *syntaxError
	if errors.As(err, &own) {
		return Problem{Position: p.at(own.at), Message: own.message}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return Problem{Position: p.at(int(syntax.Offset) - 1), Message: syntax.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Problem{Position: p.at(len(p.data)), Message: "unexpected end of file"}
	}
	return Problem{Position: p.at(p.start()), Message: err.Error()}
}

// start returns the offset of the next token.
func (p *parser) start() int {
	at := int(p.decoder.InputOffset())
	for at < len(p.data) && strings.IndexByte(" \t\r\n,:", p.data[at]) >= 0 {
		at++
	}
	return at
}

func (p *parser) at(offset int) Position {
	offset = max(0, min(offset, len(p.data)))
	before := p.data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Position{File: p.file, Line: line, Column: column}
}

func (p *parser) value(depth int) (*Node, error) {
	start := p.start()
	if depth > maxDepth {
		return nil, &syntaxError{start, "nested too deeply"}
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	node := &Node{Position: p.at(start)}
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return node, p.object(node, depth)
		}
		return node, p.array(node, depth)
	case string:
		node.Kind, node.Text = String, v
	case json.Number:
		node.Kind, node.Text = Number, v.String()
	case bool:
		node.Kind, node.Text = Bool, fmt.Sprint(v)
	default:
		node.Kind, node.Text = Null, "null"
	}
	return node, nil
}

func (p *parser) array(node *Node, depth int) error {
	node.Kind = Array
	for p.decoder.More() {
		item, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		node.Items = append(node.Items, item)
	}
	_, err := p.decoder.Token()
	return err
}

func (p *parser) object(node *Node, depth int) error {
	node.Kind = Object
	seen := map[string]bool{}
	for p.decoder.More() {
		start := p.start()
		token, err := p.decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok || seen[name] {
			return &syntaxError{start, fmt.Sprintf("field %q is repeated", name)}
		}
		seen[name] = true
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		node.Fields = append(node.Fields, Field{Name: name, Position: p.at(start), Value: value})
	}
	_, err := p.decoder.Token()
	return err
}

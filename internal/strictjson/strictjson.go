// Package strictjson decodes JSON strictly and keeps the position of each value.
//
// Unknown fields, repeated fields, values of the wrong type and values that
// violate a validate tag are reported with file, line and column, so that
// operators can find the error directly.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxDepth is the maximum nesting depth of values.
const maxDepth = 64

// Position is the position of a value. Line and Column count from 1; Line 0
// denotes the whole file.
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

// Problem is one error in a file.
type Problem struct {
	Position Position
	Field    string
	Message  string
}

// String returns position, field and message on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Position.String() + ": " + p.Message
	}
	return p.Position.String() + ": " + p.Field + ": " + p.Message
}

// Errors is a list of problems that is itself an error.
type Errors []Problem

// maxErrorLines bounds the text of an error: a problem in a template is reported
// once for each service that uses the template.
const maxErrorLines = 50

// Error returns one line for each problem, and a count of those beyond 50.
func (p Errors) Error() string {
	lines := make([]string, 0, maxErrorLines+1)
	for i := range p {
		if i == maxErrorLines {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-maxErrorLines))
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

// Field is one member of a JSON object.
type Field struct {
	Name     string
	Position Position
	Value    *Node
}

// Node is a JSON value with its position.
type Node struct {
	Position Position
	Kind     Kind
	// Text is the decoded string, the number as written, or the literal true,
	// false or null. It is empty for objects and lists.
	Text   string
	Items  []*Node
	Fields []Field
}

// Parse reads exactly one JSON value from data.
func Parse(file string, data []byte) (*Node, error) {
	p := &parser{file: file, data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	node, err := p.parseValue(0)
	if err != nil {
		return nil, Errors{p.toProblem(err)}
	}
	end := p.nextOffset()
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, Errors{{Position: p.position(end), Message: "unexpected data after the value"}}
	}
	return node, nil
}

// Map returns a copy of the tree in which f has replaced each node, children
// before their parents.
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

// syntaxError is an error that the parser detects beyond those of encoding/json.
type syntaxError struct {
	offset  int
	message string
}

func (e *syntaxError) Error() string { return e.message }

func (p *parser) toProblem(err error) Problem {
	var parserErr *syntaxError
	if errors.As(err, &parserErr) {
		return Problem{Position: p.position(parserErr.offset), Message: parserErr.message}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return Problem{Position: p.position(int(syntax.Offset) - 1), Message: syntax.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Problem{Position: p.position(len(p.data)), Message: "unexpected end of file"}
	}
	return Problem{Position: p.position(p.nextOffset()), Message: err.Error()}
}

// nextOffset returns the offset of the next token.
func (p *parser) nextOffset() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.data) && strings.IndexByte(" \t\r\n,:", p.data[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *parser) position(offset int) Position {
	offset = max(0, min(offset, len(p.data)))
	before := p.data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Position{File: p.file, Line: line, Column: column}
}

func (p *parser) parseValue(depth int) (*Node, error) {
	start := p.nextOffset()
	if depth > maxDepth {
		return nil, &syntaxError{start, "nested too deeply"}
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	node := &Node{Position: p.position(start)}
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return node, p.parseObject(node, depth)
		}
		return node, p.parseArray(node, depth)
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

func (p *parser) parseArray(node *Node, depth int) error {
	node.Kind = Array
	for p.decoder.More() {
		item, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		node.Items = append(node.Items, item)
	}
	_, err := p.decoder.Token()
	return err
}

func (p *parser) parseObject(node *Node, depth int) error {
	node.Kind = Object
	seen := map[string]bool{}
	for p.decoder.More() {
		start := p.nextOffset()
		token, err := p.decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok || seen[name] {
			return &syntaxError{start, fmt.Sprintf("field %q is repeated", name)}
		}
		seen[name] = true
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		node.Fields = append(node.Fields, Field{Name: name, Position: p.position(start), Value: value})
	}
	_, err := p.decoder.Token()
	return err
}

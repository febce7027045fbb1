package strictjson

import (
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Positions maps the path of a value, such as Ranks[0].Timeout, to its position.
// The empty path denotes the whole value.
type Positions map[string]Position

// Of returns the position of the value at path, or of the innermost enclosing
// value with a known position.
func (p Positions) Of(path string) Position {
	for {
		if at, ok := p[path]; ok || path == "" {
			return at
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// Problem returns a problem with the value at path.
func (p Positions) Problem(path, format string, args ...any) Problem {
	return Problem{Position: p.Of(path), Field: path, Message: fmt.Sprintf(format, args...)}
}

// Decode decodes node into the struct that out points to and checks its validate
// tags. Field names must match exactly, including case.
func Decode(node *Node, out any) (Positions, Errors) {
	d := &decoder{positions: Positions{}}
	d.decodeValue(node, reflect.ValueOf(out).Elem(), "")
	if len(d.problems) == 0 {
		d.problems = Check(out, d.positions)
	}
	return d.positions, d.problems
}

// Unmarshal parses data and decodes it into out.
func Unmarshal(file string, data []byte, out any) (Positions, error) {
	node, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	positions, problems := Decode(node, out)
	return positions, problems.Err()
}

type decoder struct {
	positions Positions
	problems  Errors
}

func (d *decoder) addProblem(node *Node, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Position: node.Position, Field: path, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeValue(node *Node, out reflect.Value, path string) {
	d.positions[path] = node.Position
	if out.Type() == reflect.TypeFor[*Node]() {
		out.Set(reflect.ValueOf(node))
		return
	}
	switch out.Kind() { //nolint:exhaustive // all others are scalars
	case reflect.Struct:
		d.decodeStruct(node, out, path)
	case reflect.Map:
		d.decodeMap(node, out, path)
	case reflect.Slice:
		d.decodeSlice(node, out, path)
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		d.decodeValue(node, out.Elem(), path)
	default:
		d.decodeScalar(node, out, path)
	}
}

func (d *decoder) expect(node *Node, path string, kind Kind) bool {
	if node.Kind == kind {
		return true
	}
	d.addProblem(node, path, "must be a %s, is the %s %s", kind, node.Kind, node.Text)
	return false
}

func (d *decoder) decodeStruct(node *Node, out reflect.Value, path string) {
	if !d.expect(node, path, Object) {
		return
	}
	for _, f := range node.Fields {
		field := out.FieldByName(f.Name)
		if !field.IsValid() || !field.CanSet() {
			d.problems = append(d.problems, Problem{
				Position: f.Position, Field: joinPath(path, f.Name),
				Message: "unknown field; allowed are " + fieldNames(out.Type()),
			})
			continue
		}
		d.decodeValue(f.Value, field, joinPath(path, f.Name))
	}
}

func (d *decoder) decodeMap(node *Node, out reflect.Value, path string) {
	if !d.expect(node, path, Object) {
		return
	}
	out.Set(reflect.MakeMap(out.Type()))
	for _, f := range node.Fields {
		value := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(f.Value, value, path+"["+f.Name+"]")
		out.SetMapIndex(reflect.ValueOf(f.Name).Convert(out.Type().Key()), value)
	}
}

func (d *decoder) decodeSlice(node *Node, out reflect.Value, path string) {
	if !d.expect(node, path, Array) {
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(node.Items), len(node.Items)))
	for i, item := range node.Items {
		d.decodeValue(item, out.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) decodeScalar(node *Node, out reflect.Value, path string) {
	switch {
	case out.Kind() == reflect.String:
		if d.expect(node, path, String) {
			out.SetString(node.Text)
		}
	case out.Kind() == reflect.Bool:
		if d.expect(node, path, Bool) {
			out.SetBool(node.Text == "true")
		}
	case out.CanInt():
		if d.expect(node, path, Number) {
			n, err := strconv.ParseInt(node.Text, 10, out.Type().Bits())
			if err != nil {
				d.addProblem(node, path, "must be a whole number, is %s", node.Text)
			}
			out.SetInt(n)
		}
	case out.CanUint():
		if d.expect(node, path, Number) {
			n, err := strconv.ParseUint(node.Text, 10, out.Type().Bits())
			if err != nil {
				d.addProblem(node, path, "must be a whole number of at least 0, is %s", node.Text)
			}
			out.SetUint(n)
		}
	case out.CanFloat():
		if d.expect(node, path, Number) {
			n, err := strconv.ParseFloat(node.Text, 64)
			if err != nil {
				d.addProblem(node, path, "must be a number, is %s", node.Text)
			}
			out.SetFloat(n)
		}
	default:
		d.addProblem(node, path, "cannot be set")
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			names = append(names, t.Field(i).Name)
		}
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// namePattern is the syntax of values with the validate tag "name".
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

var tagValidator = newTagValidator()

func newTagValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	}); err != nil {
		panic(err)
	}
	return v
}

// Check applies the validate tags of the struct that out points to.
func Check(out any, positions Positions) Errors {
	err := tagValidator.Struct(out)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	var problems Errors
	for _, e := range invalid {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		problems = append(problems, positions.Problem(path, "%s, is %v", requirement(e), quoted(e.Value())))
	}
	return problems
}

func quoted(v any) any {
	if reflect.ValueOf(v).Kind() == reflect.String {
		return fmt.Sprintf("%q", v)
	}
	return v
}

// requirement describes the rule of a validate tag.
func requirement(e validator.FieldError) string {
	unit := ""
	if k := e.Kind(); k == reflect.Slice || k == reflect.Map {
		unit = " entries"
	} else if k == reflect.String {
		unit = " characters"
	}
	switch e.Tag() {
	case "required":
		return "must be set"
	case "min", "gte":
		return requirementVerb(unit) + "at least " + e.Param() + unit
	case "max", "lte":
		return requirementVerb(unit) + "at most " + e.Param() + unit
	case "eq":
		return "must be " + e.Param()
	case "gt":
		return "must be greater than " + e.Param()
	case "oneof":
		return "must be one of " + strings.Join(strings.Fields(e.Param()), ", ")
	case "name":
		return "must be 1 to 63 of a-z, 0-9, - and _, starting with a letter or digit"
	case "startswith":
		return "must start with " + e.Param()
	}
	return "must satisfy " + strings.TrimSpace(e.Tag()+" "+e.Param())
}

func requirementVerb(unit string) string {
	if unit == "" {
		return "must be "
	}
	return "must have "
}

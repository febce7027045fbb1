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

// Positions maps the path of a value, such as Ranks[0].Timeout, to its place.
// The empty path is the whole value.
type Positions map[string]Position

// Of returns the position of the path, or that of the nearest value around it.
func (p Positions) Of(path string) Position {
	for {
		if at, ok := p[path]; ok || path == "" {
			return at
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// Problem returns a problem at the path.
func (p Positions) Problem(path, format string, args ...any) Problem {
	return Problem{Position: p.Of(path), Field: path, Message: fmt.Sprintf(format, args...)}
}

// Decode fills the struct that out points to from the node and checks its
// validate tags. Field names must match exactly.
func Decode(node *Node, out any) (Positions, Errors) {
	d := &decoder{positions: Positions{}}
	d.value(node, reflect.ValueOf(out).Elem(), "")
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

func (d *decoder) fail(node *Node, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Position: node.Position, Field: path, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) value(node *Node, out reflect.Value, path string) {
	d.positions[path] = node.Position
	if out.Type() == reflect.TypeFor[*Node]() {
		out.Set(reflect.ValueOf(node))
		return
	}
	switch out.Kind() { //nolint:exhaustive // the others are scalars
	case reflect.Struct:
		d.object(node, out, path)
	case reflect.Map:
		d.mapping(node, out, path)
	case reflect.Slice:
		d.list(node, out, path)
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		d.value(node, out.Elem(), path)
	default:
		d.scalar(node, out, path)
	}
}

func (d *decoder) expect(node *Node, path string, kind Kind) bool {
	if node.Kind == kind {
		return true
	}
	d.fail(node, path, "must be a %s, is the %s %s", kind, node.Kind, node.Text)
	return false
}

func (d *decoder) object(node *Node, out reflect.Value, path string) {
	if !d.expect(node, path, Object) {
		return
	}
	for _, f := range node.Fields {
		target := out.FieldByName(f.Name)
		if !target.IsValid() || !target.CanSet() {
			d.problems = append(d.problems, Problem{
				Position: f.Position, Field: join(path, f.Name),
				Message: "unknown field; allowed are " + fieldNames(out.Type()),
			})
			continue
		}
		d.value(f.Value, target, join(path, f.Name))
	}
}

func (d *decoder) mapping(node *Node, out reflect.Value, path string) {
	if !d.expect(node, path, Object) {
		return
	}
	out.Set(reflect.MakeMap(out.Type()))
	for _, f := range node.Fields {
		value := reflect.New(out.Type().Elem()).Elem()
		d.value(f.Value, value, path+"["+f.Name+"]")
		out.SetMapIndex(reflect.ValueOf(f.Name).Convert(out.Type().Key()), value)
	}
}

func (d *decoder) list(node *Node, out reflect.Value, path string) {
	if !d.expect(node, path, Array) {
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(node.Items), len(node.Items)))
	for i, item := range node.Items {
		d.value(item, out.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) scalar(node *Node, out reflect.Value, path string) {
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
				d.fail(node, path, "must be a whole number, is %s", node.Text)
			}
			out.SetInt(n)
		}
	case out.CanUint():
		if d.expect(node, path, Number) {
			n, err := strconv.ParseUint(node.Text, 10, out.Type().Bits())
			if err != nil {
				d.fail(node, path, "must be a whole number of at least 0, is %s", node.Text)
			}
			out.SetUint(n)
		}
	case out.CanFloat():
		if d.expect(node, path, Number) {
			n, err := strconv.ParseFloat(node.Text, 64)
			if err != nil {
				d.fail(node, path, "must be a number, is %s", node.Text)
			}
			out.SetFloat(n)
		}
	default:
		d.fail(node, path, "cannot be set")
	}
}

func join(path, name string) string {
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

// identifier is what names in declarations and settings look like.
var identifier = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return identifier.MatchString(f.Field().String())
	}); err != nil {
		panic(err)
	}
	return v
}

// Check applies the validate tags of the struct that out points to.
func Check(out any, positions Positions) Errors {
	err := checker.Struct(out)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	var problems Errors
	for _, e := range invalid {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		problems = append(problems, positions.Problem(path, "%s, is %v", allowed(e), quoted(e.Value())))
	}
	return problems
}

func quoted(v any) any {
	if reflect.ValueOf(v).Kind() == reflect.String {
		return fmt.Sprintf("%q", v)
	}
	return v
}

// allowed says in words what the tag asks for.
func allowed(e validator.FieldError) string {
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
		return verb(unit) + "at least " + e.Param() + unit
	case "max", "lte":
		return verb(unit) + "at most " + e.Param() + unit
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

func verb(unit string) string {
	if unit == "" {
		return "must be "
	}
	return "must have "
}

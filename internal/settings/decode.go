package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// decode decodes data into s. Unlike encoding/json, it rejects unknown fields,
// field names that differ in case, and repeated fields.
func decode(data []byte, s any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := checkValue(d, reflect.TypeOf(s).Elem(), ""); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected text after the settings")
	}
	return errors.Wrap(json.Unmarshal(data, s), "settings")
}

// checkValue reads one JSON value and checks that it can be decoded into type t.
func checkValue(d *json.Decoder, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token, err := d.Token()
	if err != nil {
		return errors.Wrapf(err, "%s: not valid JSON", displayPath(path))
	}
	switch t.Kind() { //nolint:exhaustive // all others are scalars
	case reflect.Struct:
		if token != json.Delim('{') {
			return typeMismatch(path, token, "an object")
		}
		return checkStruct(d, t, path)
	case reflect.Map:
		if token != json.Delim('{') {
			return typeMismatch(path, token, "an object")
		}
		return checkMap(d, t, path)
	case reflect.Slice:
		if token != json.Delim('[') {
			return typeMismatch(path, token, "a list")
		}
		return checkList(d, t, path)
	default:
		return checkScalar(token, t, path)
	}
}

func checkStruct(d *json.Decoder, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for d.More() {
		name, err := readKey(d, path)
		if err != nil {
			return err
		}
		fieldPath := joinPath(path, name)
		field, ok := t.FieldByName(name)
		if !ok || !field.IsExported() {
			return errors.Newf("%s: unknown field with value %s; allowed are %s", fieldPath, nextValue(d), fieldNames(t))
		}
		if seen[name] {
			return errors.Newf("%s: the field appears twice", fieldPath)
		}
		seen[name] = true
		if err := checkValue(d, field.Type, fieldPath); err != nil {
			return err
		}
	}
	return readEnd(d, path)
}

func checkMap(d *json.Decoder, t reflect.Type, path string) error {
	for d.More() {
		name, err := readKey(d, path)
		if err != nil {
			return err
		}
		if err := checkValue(d, t.Elem(), joinPath(path, name)); err != nil {
			return err
		}
	}
	return readEnd(d, path)
}

func checkList(d *json.Decoder, t reflect.Type, path string) error {
	for i := 0; d.More(); i++ {
		if err := checkValue(d, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return readEnd(d, path)
}

// checkScalar checks that a string, number or boolean fits type t.
func checkScalar(token json.Token, t reflect.Type, path string) error {
	switch t.Kind() { //nolint:exhaustive // all others are numbers
	case reflect.String:
		if _, ok := token.(string); !ok {
			return typeMismatch(path, token, "a string")
		}
	case reflect.Bool:
		if _, ok := token.(bool); !ok {
			return typeMismatch(path, token, "true or false")
		}
	default:
		n, ok := token.(json.Number)
		if !ok {
			return typeMismatch(path, token, "a number")
		}
		if err := json.Unmarshal([]byte(n), reflect.New(t).Interface()); err != nil {
			return typeMismatch(path, token, "a number of type "+t.Kind().String())
		}
	}
	return nil
}

func readKey(d *json.Decoder, path string) (string, error) {
	token, err := d.Token()
	if err != nil {
		return "", errors.Wrapf(err, "%s: not valid JSON", displayPath(path))
	}
	name, _ := token.(string)
	return name, nil
}

func readEnd(d *json.Decoder, path string) error {
	if _, err := d.Token(); err != nil {
		return errors.Wrapf(err, "%s: not valid JSON", displayPath(path))
	}
	return nil
}

// nextValue reads the next value and returns it as JSON for an error message.
func nextValue(d *json.Decoder) string {
	var v any
	if err := d.Decode(&v); err != nil {
		return "that is not valid JSON"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return "that is not valid JSON"
	}
	return string(data)
}

func typeMismatch(path string, token json.Token, allowed string) error {
	value := fmt.Sprint(token)
	if s, ok := token.(string); ok {
		value = fmt.Sprintf("%q", s)
	}
	if token == nil {
		value = "null"
	}
	return errors.Newf("%s: value %s is not allowed; expected %s", displayPath(path), value, allowed)
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayPath(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

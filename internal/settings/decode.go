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

// decode fills s from data. Package json ignores the case of field names and
// fields that appear twice; decode does not.
func decode(data []byte, s any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := walk(d, reflect.TypeOf(s).Elem(), ""); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected text after the settings")
	}
	return errors.Wrap(json.Unmarshal(data, s), "settings")
}

// walk checks one JSON value against the type that takes it.
func walk(d *json.Decoder, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token, err := d.Token()
	if err != nil {
		return errors.Wrapf(err, "%s: not valid JSON", label(path))
	}
	switch t.Kind() { //nolint:exhaustive // all others are scalars
	case reflect.Struct:
		if token != json.Delim('{') {
			return mismatch(path, token, "an object")
		}
		return walkStruct(d, t, path)
	case reflect.Map:
		if token != json.Delim('{') {
			return mismatch(path, token, "an object")
		}
		return walkMap(d, t, path)
	case reflect.Slice:
		if token != json.Delim('[') {
			return mismatch(path, token, "a list")
		}
		return walkList(d, t, path)
	default:
		return scalar(token, t, path)
	}
}

func walkStruct(d *json.Decoder, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for d.More() {
		name, err := key(d, path)
		if err != nil {
			return err
		}
		inner := join(path, name)
		field, ok := t.FieldByName(name)
		if !ok || !field.IsExported() {
			return errors.Newf("%s: unknown field with value %s; allowed are %s", inner, rest(d), fieldNames(t))
		}
		if seen[name] {
			return errors.Newf("%s: the field appears twice", inner)
		}
		seen[name] = true
		if err := walk(d, field.Type, inner); err != nil {
			return err
		}
	}
	return end(d, path)
}

func walkMap(d *json.Decoder, t reflect.Type, path string) error {
	for d.More() {
		name, err := key(d, path)
		if err != nil {
			return err
		}
		if err := walk(d, t.Elem(), join(path, name)); err != nil {
			return err
		}
	}
	return end(d, path)
}

func walkList(d *json.Decoder, t reflect.Type, path string) error {
	for i := 0; d.More(); i++ {
		if err := walk(d, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return end(d, path)
}

// scalar checks a string, number or truth value.
func scalar(token json.Token, t reflect.Type, path string) error {
	switch t.Kind() { //nolint:exhaustive // all others are numbers
	case reflect.String:
		if _, ok := token.(string); !ok {
			return mismatch(path, token, "a string")
		}
	case reflect.Bool:
		if _, ok := token.(bool); !ok {
			return mismatch(path, token, "true or false")
		}
	default:
		n, ok := token.(json.Number)
		if !ok {
			return mismatch(path, token, "a number")
		}
		if err := json.Unmarshal([]byte(n), reflect.New(t).Interface()); err != nil {
			return mismatch(path, token, "a number of type "+t.Kind().String())
		}
	}
	return nil
}

func key(d *json.Decoder, path string) (string, error) {
	token, err := d.Token()
	if err != nil {
		return "", errors.Wrapf(err, "%s: not valid JSON", label(path))
	}
	name, _ := token.(string)
	return name, nil
}

func end(d *json.Decoder, path string) error {
	if _, err := d.Token(); err != nil {
		return errors.Wrapf(err, "%s: not valid JSON", label(path))
	}
	return nil
}

// rest returns the next value as JSON.
func rest(d *json.Decoder) string {
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

func mismatch(path string, token json.Token, allowed string) error {
	value := fmt.Sprint(token)
	if s, ok := token.(string); ok {
		value = fmt.Sprintf("%q", s)
	}
	if token == nil {
		value = "null"
	}
	return errors.Newf("%s: value %s is not allowed; expected %s", label(path), value, allowed)
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func label(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

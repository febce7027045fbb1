package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"pollenscale/core/policy"
)

// difference is one value of the rendered policy that a publish changes. An
// empty Before or After means that the value is absent.
type difference struct {
	Service string
	Field   string
	Before  string
	After   string
}

// differences returns the values in which the rendered services differ, sorted
// by service and field.
func differences(before, after *policy.Set) ([]difference, error) {
	old, err := flattenServices(before)
	if err != nil {
		return nil, err
	}
	next, err := flattenServices(after)
	if err != nil {
		return nil, err
	}
	var out []difference
	for _, service := range unionKeys(old, next) {
		for _, field := range unionKeys(old[service], next[service]) {
			if b, a := old[service][field], next[service][field]; b != a {
				out = append(out, difference{Service: service, Field: field, Before: b, After: a})
			}
		}
	}
	return out, nil
}

func unionKeys[T any](a, b map[string]T) []string {
	keys := map[string]bool{}
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// flattenServices maps each service to its scalar values, encoded as JSON and
// keyed by path.
func flattenServices(set *policy.Set) (map[string]map[string]string, error) {
	out := map[string]map[string]string{}
	if set == nil {
		return out, nil
	}
	for name, service := range set.Services {
		data, err := json.Marshal(service)
		if err != nil {
			return nil, err
		}
		var value any
		if err := json.Unmarshal(data, &value); err != nil {
			return nil, err
		}
		values := map[string]string{}
		flatten("", value, values)
		out[string(name)] = values
	}
	return out, nil
}

func flatten(path string, value any, out map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			if path != "" {
				key = path + "." + key
			}
			flatten(key, item, out)
		}
	case []any:
		for i, item := range v {
			flatten(fmt.Sprintf("%s[%d]", path, i), item, out)
		}
	default:
		data, err := json.Marshal(v)
		if err != nil {
			data = fmt.Append(nil, v)
		}
		out[path] = string(data)
	}
}

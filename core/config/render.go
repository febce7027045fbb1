package config

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/internal/strictjson"
)

// Render fills in the templates and returns the policy of a version. The error
// is strictjson.Errors, with one entry for each mistake.
//
// A parameter's value is taken from the organisation's entry for the service,
// else from the organisation, else from the service, else from the default.
// Organisations affect the Organisation section alone.
func Render(version uint64, docs Documents) (*policy.Set, error) {
	if err := docs.check(); err != nil {
		return nil, err
	}
	r := &renderer{
		templates:     map[string]*template{},
		services:      map[string]declared[serviceFile]{},
		organisations: map[string]declared[organisationFile]{},
		given:         map[string]bool{},
	}
	r.read(docs)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	set := &policy.Set{Version: version, Digest: string(docs.Digest()), Services: map[fleet.Service]*policy.Service{}}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if service := r.service(name); service != nil {
			set.Services[service.Name] = service
		}
	}
	r.unused()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return set, nil
}

type declared[T any] struct {
	file      string
	value     T
	positions strictjson.Positions
}

type template struct {
	declared[templateFile]
	used map[string]bool
}

// values are parameter values by name.
type values = map[string]*strictjson.Node

type renderer struct {
	templates     map[string]*template
	services      map[string]declared[serviceFile]
	organisations map[string]declared[organisationFile]
	// given holds file and name of the organisations' parameters in use.
	given    map[string]bool
	problems strictjson.Errors
}

func (r *renderer) add(p ...strictjson.Problem) {
	r.problems = append(r.problems, p...)
}

func (r *renderer) read(docs Documents) {
	for _, file := range docs.paths() {
		name := nameOf(file)
		if !validName(name) {
			r.add(strictjson.Problem{Position: strictjson.Position{File: file}, Message: "the file name must be 1 to 63 of a-z, 0-9, - and _"})
		}
		switch {
		case strings.HasPrefix(file, templatesDir):
			r.templates[name] = &template{declared: decode[templateFile](r, file, docs[file]), used: map[string]bool{}}
		case strings.HasPrefix(file, servicesDir):
			r.services[name] = decode[serviceFile](r, file, docs[file])
		default:
			r.organisations[name] = decode[organisationFile](r, file, docs[file])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.organisations)) {
		o := r.organisations[name]
		for service := range o.value.Services {
			if _, ok := r.services[service]; !ok {
				r.add(o.positions.Problem("Services["+service+"]", "no such service; declared are %s", list(r.services)))
			}
		}
	}
}

func decode[T any](r *renderer, file string, body []byte) declared[T] {
	d := declared[T]{file: file}
	node, err := strictjson.Parse(file, body)
	if err != nil {
		r.add(asErrors(err)...)
		return d
	}
	positions, problems := strictjson.Decode(node, &d.value)
	d.positions = positions
	r.add(problems...)
	return d
}

func asErrors(err error) strictjson.Errors {
	if p, ok := err.(strictjson.Errors); ok { //nolint:errorlint // Parse returns the type itself
		return p
	}
	return strictjson.Errors{{Message: err.Error()}}
}

// service renders one service with its organisations, or returns nil after
// reporting why not.
func (r *renderer) service(name string) *policy.Service {
	service := r.services[name]
	t, ok := r.templates[service.value.Template]
	if !ok {
		r.add(service.positions.Problem("Template", "no such template: %q; declared are %s", service.value.Template, list(r.templates)))
		return nil
	}
	before := len(r.problems)
	r.checkNames(t.file, t.value.Parameters, service.value.Parameters, service.positions, "Parameters")
	spec, positions := r.fill(t, service.file, service.value.Parameters)
	if len(r.problems) > before {
		return nil
	}
	r.add(filledIn(service.file, spec.check(positions))...)
	out := spec.policy(fleet.Service(name))
	r.shares(t, name, out)
	if _, ok := out.Organisations[out.DefaultOrganisation]; spec.DefaultOrganisation != "" && !ok {
		problem := positions.Problem("DefaultOrganisation", "must be an organisation that lists the service, is %q", spec.DefaultOrganisation)
		r.add(filledIn(service.file, strictjson.Errors{problem})...)
	}
	return out
}

// shares sets the share of each organisation that lists the service.
func (r *renderer) shares(t *template, service string, out *policy.Service) {
	base := r.services[service]
	for _, name := range slices.Sorted(maps.Keys(r.organisations)) {
		o := r.organisations[name]
		own, ok := o.value.Services[service]
		if !ok {
			continue
		}
		before := len(r.problems)
		allowed := t.organisationParameters()
		r.checkNames(t.file, allowed, own, o.positions, "Services["+service+"]")
		merged := maps.Clone(base.value.Parameters)
		if merged == nil {
			merged = values{}
		}
		for key, value := range o.value.Parameters {
			// Parameters of an organisation apply to services of several
			// templates, so that one which a template lacks is passed over.
			if _, known := allowed[key]; known {
				merged[key] = value
				r.given[o.file+key] = true
			}
		}
		maps.Copy(merged, own)
		if len(r.problems) > before {
			continue
		}
		spec, _ := r.fill(t, o.file, merged)
		out.Organisations[fleet.Organisation(name)] = spec.Organisation.Share
	}
}

// organisationParameters are those that the Organisation section refers to.
func (t *template) organisationParameters() map[string]parameter {
	out := map[string]parameter{}
	for _, f := range t.value.Service.Fields {
		if f.Name != "Organisation" {
			continue
		}
		f.Value.Map(func(n *strictjson.Node) *strictjson.Node {
			if name, ok := reference(n); ok {
				out[name] = t.value.Parameters[name]
			}
			return n
		})
	}
	return out
}

func (r *renderer) checkNames(file string, allowed map[string]parameter, given values, at strictjson.Positions, path string) {
	for _, name := range slices.Sorted(maps.Keys(given)) {
		if _, ok := allowed[name]; !ok {
			r.add(at.Problem(path+"["+name+"]", "unknown parameter of %s; allowed are %s", file, list(allowed)))
		}
	}
}

// fill replaces the references of the template and decodes the result. The
// position of a value is where the value was given.
func (r *renderer) fill(t *template, user string, given values) (serviceSpec, strictjson.Positions) {
	missing := map[string]bool{}
	node := t.value.Service.Map(func(n *strictjson.Node) *strictjson.Node {
		name, ok := reference(n)
		if !ok {
			return n
		}
		t.used[name] = true
		declared, known := t.value.Parameters[name]
		if !known {
			r.add(strictjson.Problem{Position: n.Position, Message: "no parameter " + name + "; declared are " + list(t.value.Parameters)})
			return n
		}
		if value, ok := given[name]; ok {
			return value
		}
		if declared.Default != nil {
			return declared.Default
		}
		if !missing[name] {
			r.add(strictjson.Problem{Position: strictjson.Position{File: user}, Message: "parameter " + name + " of " + t.file + " must be given"})
		}
		missing[name] = true
		return n
	})
	var spec serviceSpec
	if len(missing) > 0 {
		return spec, nil
	}
	positions, problems := strictjson.Decode(node, &spec)
	r.add(filledIn(user, problems)...)
	return spec, positions
}

// filledIn names the file that the template was filled in for, where the
// position does not.
func filledIn(user string, problems strictjson.Errors) strictjson.Errors {
	for i := range problems {
		if problems[i].Position.File != user {
			problems[i].Message += " (filled in for " + user + ")"
		}
	}
	return problems
}

// reference returns the parameter that a value such as "${Timeout}" refers to.
func reference(n *strictjson.Node) (string, bool) {
	if n.Kind != strictjson.String || !strings.HasPrefix(n.Text, "${") || !strings.HasSuffix(n.Text, "}") {
		return "", false
	}
	return n.Text[2 : len(n.Text)-1], true
}

// unused reports templates that no service uses and parameters that have no
// effect; both are most often mistyped names.
func (r *renderer) unused() {
	if len(r.problems) > 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.templates)) {
		t := r.templates[name]
		if len(t.used) == 0 && !r.isUsed(name) {
			r.add(strictjson.Problem{Position: strictjson.Position{File: t.file}, Message: "no service uses the template"})
			continue
		}
		for _, p := range slices.Sorted(maps.Keys(t.value.Parameters)) {
			if !t.used[p] {
				r.add(t.positions.Problem("Parameters["+p+"]", "no value refers to the parameter"))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.organisations)) {
		o := r.organisations[name]
		for _, p := range slices.Sorted(maps.Keys(o.value.Parameters)) {
			if !r.given[o.file+p] {
				r.add(o.positions.Problem("Parameters["+p+"]", "not a parameter of the Organisation section of any of its services"))
			}
		}
	}
}

func (r *renderer) isUsed(template string) bool {
	for _, s := range r.services {
		if s.value.Template == template {
			return true
		}
	}
	return false
}

func validName(name string) bool {
	probe := struct {
		Name string `validate:"name"`
	}{name}
	return len(strictjson.Check(&probe, nil)) == 0
}

func list[T any](m map[string]T) string {
	if len(m) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

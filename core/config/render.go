package config

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/internal/strictjson"
)

// Render expands the templates and returns the policy of a version. The error is
// strictjson.Errors, with one entry for each mistake.
//
// The value of a parameter is taken from the first of these that sets it: the
// organisation's entry for the service, the organisation, the service, the default.
// Organisations affect only the Organisation section.
func Render(version uint64, docs Documents) (*policy.Set, error) {
	return (&renderCache{}).render(version, docs)
}

// renderCache renders versions and keeps the parsed documents and rendered services
// of the last one, so that only the parts affected by a change are rendered again.
// Rendering all of 330 services took 31 ms of CPU, and changes come in bursts of 50.
type renderCache struct {
	templates     map[string]*template
	services      map[string]*document[serviceFile]
	organisations map[string]*document[organisationFile]
	rendered      map[string]renderedService
}

// renderedService is a rendered service with its inputs.
type renderedService struct {
	template      *template
	service       *document[serviceFile]
	organisations []*document[organisationFile]
	policy        *policy.Service
}

func (c *renderCache) render(version uint64, docs Documents) (*policy.Set, error) {
	if err := docs.check(); err != nil {
		return nil, err
	}
	r := &renderer{
		previous:      *c,
		templates:     map[string]*template{},
		services:      map[string]*document[serviceFile]{},
		organisations: map[string]*document[organisationFile]{},
		rendered:      map[string]renderedService{},
	}
	r.parseDocuments(docs)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	set := &policy.Set{Version: version, Digest: string(docs.Digest()), Services: map[fleet.Service]*policy.Service{}}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if service := r.service(name); service != nil {
			set.Services[service.Name] = service
		}
	}
	r.checkUnused()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	*c = renderCache{templates: r.templates, services: r.services, organisations: r.organisations, rendered: r.rendered}
	return set, nil
}

// document is a parsed document. It is immutable.
type document[T any] struct {
	file      string
	body      []byte
	value     T
	positions strictjson.Positions
}

// template is a parsed template with the parameters that it references.
type template struct {
	*document[templateFile]
	referenced map[string]bool
	// organisationParameters are the parameters of the Organisation section.
	organisationParameters map[string]parameter
}

func newTemplate(d *document[templateFile]) *template {
	t := &template{document: d, referenced: map[string]bool{}, organisationParameters: map[string]parameter{}}
	if d.value.Service == nil {
		return t
	}
	visitReferences(d.value.Service, func(name string) { t.referenced[name] = true })
	for _, f := range d.value.Service.Fields {
		if f.Name == "Organisation" {
			visitReferences(f.Value, func(name string) { t.organisationParameters[name] = d.value.Parameters[name] })
		}
	}
	return t
}

func visitReferences(n *strictjson.Node, visit func(name string)) {
	n.Map(func(n *strictjson.Node) *strictjson.Node {
		if name, ok := referencedParameter(n); ok {
			visit(name)
		}
		return n
	})
}

// parameterValues maps parameter names to values.
type parameterValues = map[string]*strictjson.Node

type renderer struct {
	previous      renderCache
	templates     map[string]*template
	services      map[string]*document[serviceFile]
	organisations map[string]*document[organisationFile]
	rendered      map[string]renderedService
	problems      strictjson.Errors
}

func (r *renderer) report(p ...strictjson.Problem) {
	r.problems = append(r.problems, p...)
}

func (r *renderer) parseDocuments(docs Documents) {
	for _, file := range docs.paths() {
		name := documentName(file)
		if !validName(name) {
			r.report(strictjson.Problem{Position: strictjson.Position{File: file}, Message: "the file name must be 1 to 63 of a-z, 0-9, - and _"})
		}
		switch {
		case strings.HasPrefix(file, templatesDir):
			if t := r.previous.templates[name]; t != nil && bytes.Equal(t.body, docs[file]) {
				r.templates[name] = t
				continue
			}
			r.templates[name] = newTemplate(decode[templateFile](r, nil, file, docs[file]))
		case strings.HasPrefix(file, servicesDir):
			r.services[name] = decode(r, r.previous.services[name], file, docs[file])
		default:
			r.organisations[name] = decode(r, r.previous.organisations[name], file, docs[file])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.organisations)) {
		o := r.organisations[name]
		for service := range o.value.Services {
			if _, ok := r.services[service]; !ok {
				r.report(o.positions.Problem("Services["+service+"]", "no such service; declared are %s", joinNames(r.services)))
			}
		}
	}
}

// decode parses a document, or returns the previous one if the body is unchanged.
func decode[T any](r *renderer, previous *document[T], file string, body []byte) *document[T] {
	if previous != nil && bytes.Equal(previous.body, body) {
		return previous
	}
	d := &document[T]{file: file, body: body}
	node, err := strictjson.Parse(file, body)
	if err != nil {
		r.report(asErrors(err)...)
		return d
	}
	positions, problems := strictjson.Decode(node, &d.value)
	d.positions = positions
	r.report(problems...)
	return d
}

func asErrors(err error) strictjson.Errors {
	if p, ok := err.(strictjson.Errors); ok { //nolint:errorlint // Parse returns the type itself
		return p
	}
	return strictjson.Errors{{Message: err.Error()}}
}

// service renders one service with its organisations. If that fails, it reports the
// problems and returns nil.
func (r *renderer) service(name string) *policy.Service {
	service := r.services[name]
	t, ok := r.templates[service.value.Template]
	if !ok {
		r.report(service.positions.Problem("Template", "no such template: %q; declared are %s", service.value.Template, joinNames(r.templates)))
		return nil
	}
	rendered := renderedService{template: t, service: service, organisations: r.organisationsOf(name)}
	if old, ok := r.previous.rendered[name]; ok && old.sameInputs(rendered) {
		r.rendered[name] = old
		return old.policy
	}
	problemsBefore := len(r.problems)
	r.checkNames(t.file, t.value.Parameters, service.value.Parameters, service.positions, "Parameters")
	spec, positions := r.expand(t, service.file, service.value.Parameters)
	if len(r.problems) > problemsBefore {
		return nil
	}
	r.report(annotateProblems(service.file, spec.check(positions))...)
	out := spec.policy(fleet.Service(name))
	for _, o := range rendered.organisations {
		r.setShare(t, service, o, out)
	}
	if _, ok := out.Organisations[out.DefaultOrganisation]; spec.DefaultOrganisation != "" && !ok {
		problem := positions.Problem("DefaultOrganisation", "must be an organisation that lists the service, is %q", spec.DefaultOrganisation)
		r.report(annotateProblems(service.file, strictjson.Errors{problem})...)
	}
	rendered.policy = out
	r.rendered[name] = rendered
	return out
}

func (s renderedService) sameInputs(other renderedService) bool {
	return s.template == other.template && s.service == other.service && slices.Equal(s.organisations, other.organisations)
}

// organisationsOf returns the organisations that list the service, sorted by name.
func (r *renderer) organisationsOf(service string) []*document[organisationFile] {
	var out []*document[organisationFile]
	for _, name := range slices.Sorted(maps.Keys(r.organisations)) {
		if o := r.organisations[name]; o.value.Services[service] != nil {
			out = append(out, o)
		}
	}
	return out
}

// setShare sets the share of an organisation that lists the service.
func (r *renderer) setShare(t *template, service *document[serviceFile], o *document[organisationFile], out *policy.Service) {
	name := string(out.Name)
	own := o.value.Services[name]
	problemsBefore := len(r.problems)
	r.checkNames(t.file, t.organisationParameters, own, o.positions, "Services["+name+"]")
	if len(r.problems) > problemsBefore {
		return
	}
	merged := parameterValues{}
	maps.Copy(merged, service.value.Parameters)
	for key, value := range o.value.Parameters {
		// Parameters of an organisation apply to services of several templates, so
		// those that this template does not declare are ignored.
		if _, known := t.organisationParameters[key]; known {
			merged[key] = value
		}
	}
	maps.Copy(merged, own)
	spec, _ := r.expand(t, o.file, merged)
	out.Organisations[fleet.Organisation(documentName(o.file))] = spec.Organisation.Share
}

func (r *renderer) checkNames(file string, allowed map[string]parameter, values parameterValues, at strictjson.Positions, path string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, ok := allowed[name]; !ok {
			r.report(at.Problem(path+"["+name+"]", "unknown parameter of %s; allowed are %s", file, joinNames(allowed)))
		}
	}
}

// expand replaces the references in the template by parameter values and decodes
// the result. Problems with a value are reported at the position where it was set.
func (r *renderer) expand(t *template, forFile string, values parameterValues) (serviceSpec, strictjson.Positions) {
	missing := map[string]bool{}
	node := t.value.Service.Map(func(n *strictjson.Node) *strictjson.Node {
		name, ok := referencedParameter(n)
		if !ok {
			return n
		}
		declared, known := t.value.Parameters[name]
		if !known {
			r.report(strictjson.Problem{Position: n.Position, Message: "no parameter " + name + "; declared are " + joinNames(t.value.Parameters)})
			return n
		}
		if value, ok := values[name]; ok {
			return value
		}
		if declared.Default != nil {
			return declared.Default
		}
		if !missing[name] {
			r.report(strictjson.Problem{Position: strictjson.Position{File: forFile}, Message: "parameter " + name + " of " + t.file + " must be given"})
		}
		missing[name] = true
		return n
	})
	var spec serviceSpec
	if len(missing) > 0 {
		return spec, nil
	}
	positions, problems := strictjson.Decode(node, &spec)
	r.report(annotateProblems(forFile, problems)...)
	return spec, positions
}

// annotateProblems adds the name of the file that the template was expanded for to
// the problems whose position is in another file.
func annotateProblems(forFile string, problems strictjson.Errors) strictjson.Errors {
	for i := range problems {
		if problems[i].Position.File != forFile {
			problems[i].Message += " (filled in for " + forFile + ")"
		}
	}
	return problems
}

// referencedParameter returns the parameter that a value such as "${Timeout}" refers to.
func referencedParameter(n *strictjson.Node) (string, bool) {
	if n.Kind != strictjson.String || !strings.HasPrefix(n.Text, "${") || !strings.HasSuffix(n.Text, "}") {
		return "", false
	}
	return n.Text[2 : len(n.Text)-1], true
}

// checkUnused reports templates that no service uses and parameters that have no
// effect. Both are mostly due to mistyped names.
func (r *renderer) checkUnused() {
	if len(r.problems) > 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.templates)) {
		t := r.templates[name]
		if !r.templateInUse(name) {
			r.report(strictjson.Problem{Position: strictjson.Position{File: t.file}, Message: "no service uses the template"})
			continue
		}
		for _, p := range slices.Sorted(maps.Keys(t.value.Parameters)) {
			if !t.referenced[p] {
				r.report(t.positions.Problem("Parameters["+p+"]", "no value refers to the parameter"))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.organisations)) {
		o := r.organisations[name]
		for _, p := range slices.Sorted(maps.Keys(o.value.Parameters)) {
			if !r.hasEffect(o, p) {
				r.report(o.positions.Problem("Parameters["+p+"]", "not a parameter of the Organisation section of any of its services"))
			}
		}
	}
}

// hasEffect reports whether the parameter is in the Organisation section of the
// template of any service of o.
func (r *renderer) hasEffect(o *document[organisationFile], parameter string) bool {
	for service := range o.value.Services {
		if _, ok := r.templates[r.services[service].value.Template].organisationParameters[parameter]; ok {
			return true
		}
	}
	return false
}

func (r *renderer) templateInUse(template string) bool {
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

func joinNames[T any](m map[string]T) string {
	if len(m) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

func indexedPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

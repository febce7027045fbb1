package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"pollenscale/core/policy"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// expectations describes the allowed values for each validation tag.
var expectations = map[string]string{
	"required":   "a value",
	"name":       "lower-case letters, digits, dots and hyphens",
	"address":    "an IP address and a port, such as 127.0.0.1:8080",
	"startswith": "a value that starts with %s",
	"oneof":      "one of %s",
	"unique":     "different values",
	"http_url":   "a URL such as http://127.0.0.1:4318/v1/traces",
	"min":        "at least %s",
	"max":        "at most %s",
}

// check applies the validation tags and the rules of the policy.
func check(s *Settings) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	rules := map[string]validator.Func{"name": isName, "address": isAddress}
	for tag, f := range rules {
		if err := v.RegisterValidation(tag, f); err != nil {
			return errors.Wrap(err, "settings")
		}
	}
	if err := v.Struct(s); err != nil {
		return describeViolation(err)
	}
	if s.Policy == nil {
		return nil
	}
	return checkPolicy(s.Policy)
}

func isName(f validator.FieldLevel) bool {
	return namePattern.MatchString(f.Field().String())
}

func isAddress(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// describeViolation returns an error that describes the first violated rule.
func describeViolation(err error) error {
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return err
	}
	f := violations[0]
	path := strings.TrimPrefix(f.Namespace(), "Settings.")
	if f.Tag() == "required" {
		return errors.Newf("%s: missing; expected %s", path, expectation(f))
	}
	return errors.Newf("%s: value %q is not allowed; expected %s", path, fmt.Sprint(f.Value()), expectation(f))
}

func expectation(f validator.FieldError) string {
	text, ok := expectations[f.Tag()]
	if !ok {
		return f.Tag()
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, f.Param())
	}
	return text
}

// checkPolicy checks the invariants of the policy that the daemon relies on, and
// fills in the names of services.
func checkPolicy(set *policy.Set) error {
	if len(set.Services) == 0 {
		return errors.New("Policy.Services: missing; expected at least one service")
	}
	for name, service := range set.Services {
		path := "Policy.Services." + string(name)
		if service == nil {
			return errors.Newf("%s: value null is not allowed; expected an object", path)
		}
		if service.Name == "" {
			service.Name = name
		}
		if service.Name != name {
			return errors.Newf("%s.Name: value %q is not allowed; expected %q", path, service.Name, name)
		}
		if err := checkRanks(path, service); err != nil {
			return err
		}
	}
	return nil
}

func checkRanks(path string, service *policy.Service) error {
	var names []string
	for i, rank := range service.Ranks {
		if rank.Timeout <= 0 {
			return errors.Newf("%s.Ranks[%d].Timeout: value %d is not allowed; expected at least 1", path, i, rank.Timeout)
		}
		names = append(names, string(rank.Name))
	}
	if _, _, ok := service.Rank(service.DefaultRank); !ok {
		return errors.Newf("%s.DefaultRank: value %q is not allowed; expected one of %s", path, service.DefaultRank, strings.Join(names, " "))
	}
	for i, route := range service.Routes {
		if err := checkRoute(fmt.Sprintf("%s.Routes[%d]", path, i), service, route, names); err != nil {
			return err
		}
	}
	return nil
}

func checkRoute(path string, service *policy.Service, route policy.Route, ranks []string) error {
	if _, _, ok := service.Rank(route.Rank); route.Rank != "" && !ok {
		return errors.Newf("%s.Rank: value %q is not allowed; expected one of %s", path, route.Rank, strings.Join(ranks, " "))
	}
	switch route.KeyRule {
	case "", policy.KeyNone, policy.KeyStamped, policy.KeyRecorded:
		return nil
	}
	return errors.Newf("%s.KeyRule: value %q is not allowed; expected one of None Stamped Recorded", path, route.KeyRule)
}

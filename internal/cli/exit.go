package cli

import "github.com/cockroachdb/errors"

// exitError is an error with its exit code.
type exitError struct {
	error
	code ExitCode
}

// Unwrap returns the error without its exit code.
func (e exitError) Unwrap() error { return e.error }

// asFailure wraps err so that the exit code is Failed. A nil error stays nil.
func asFailure(err error) error {
	if err == nil {
		return nil
	}
	return exitError{error: err, code: Failed}
}

// exitCode returns the exit code for err, which is Usage unless err carries
// another.
func exitCode(err error) ExitCode {
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return Usage
}

package cli

import "github.com/cockroachdb/errors"

// codeError is an error with the exit code that it leads to.
type codeError struct {
	error
	code Code
}

// Unwrap returns the error without its code.
func (e codeError) Unwrap() error { return e.error }

// failed marks an error of a command that was understood.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return codeError{error: err, code: Failed}
}

// codeOf returns the exit code for err.
func codeOf(err error) Code {
	var e codeError
	if errors.As(err, &e) {
		return e.code
	}
	return Usage
}

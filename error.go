package rail

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a kind from the closed list.
type Error struct {
	kind    Kind
	message string
	cause   error
}

// NewError returns an error of the kind with a formatted message.
func NewError(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, message: fmt.Sprintf(format, args...)}
}

// WrapError returns an error of the kind that wraps the cause.
func WrapError(cause error, kind Kind, message string) *Error {
	return &Error{kind: kind, message: message, cause: cause}
}

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Message returns what went wrong, without the kind.
func (e *Error) Message() string { return e.message }

// Error returns kind, message and cause in one line.
func (e *Error) Error() string {
	if e.cause == nil {
		return string(e.kind) + ": " + e.message
	}
	return string(e.kind) + ": " + e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in the chain, KindNone for nil and KindInternal for any other error.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindInternal
}

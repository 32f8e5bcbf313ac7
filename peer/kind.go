package peer

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// kindHeader carries the error kind of a refused call.
const kindHeader = "Rail-Kind"

// ConnectError returns the error as connect carries it: with the code that the table of kinds states, and the kind itself.
func ConnectError(err error) *connect.Error {
	kind := rail.KindOf(err)
	var code connect.Code
	if code.UnmarshalText([]byte(kind.Reply().Code())) != nil {
		code = connect.CodeUnknown
	}
	e := connect.NewError(code, err)
	e.Meta().Set(kindHeader, string(kind))
	return e
}

// ErrorKind returns the kind that the other process stated, KindNone for an answer that was lost.
func ErrorKind(err error) rail.Kind {
	var e *connect.Error
	if !errors.As(err, &e) {
		return rail.KindNone
	}
	return rail.Kind(e.Meta().Get(kindHeader))
}

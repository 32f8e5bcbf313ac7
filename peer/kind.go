package peer

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// kindHeader carries the error kind of a failed call.
const kindHeader = "Rail-Kind"

// ConnectError returns the error as a Connect error, with the code of its kind and the kind itself in the metadata.
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

// ErrorKind returns the error kind that the other process reported, KindNone if it reported none, as when the response was lost.
func ErrorKind(err error) rail.Kind {
	var e *connect.Error
	if !errors.As(err, &e) {
		return rail.KindNone
	}
	return rail.Kind(e.Meta().Get(kindHeader))
}

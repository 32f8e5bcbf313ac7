// Package engine is the HTTP client of the model engines. It is the only package
// that knows their wire format, which docs/wire.md describes.
//
// A call that got no connection, or that the engine refused before starting work,
// returns an error kind that means not run. A stream that ends without its end
// event, or that exceeds a token timeout, is a failure with unknown outcome. So is an
// answer that is not known to be that of the request (package httpconn).
package engine

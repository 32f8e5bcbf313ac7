// Package outside is the HTTP client of the platform's log, instance list and
// cloud. It is the only package that knows their wire format, which docs/wire.md
// describes.
//
// Each call has a timeout. A call that exceeds it closes the idle connections
// of the pool, since an established connection can stay dead while new ones
// work. An append whose response is lost may have taken effect; the client never
// retries it by itself. With Transport, an answer that is not known to be that of the
// call is an error (package httpconn).
package outside

// Package outside holds the HTTP clients of the platform's log, instance list
// and cloud. It is the only place that knows their wire format, which
// docs/wire.md describes.
//
// Each call ends within its time-out. A call that ran into it gives up the
// pooled connections, since a connection can go silent for good while new ones
// work. An append whose answer is lost may have taken effect; the client never
// repeats it by itself.
package outside

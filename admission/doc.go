// Package admission decides which requests wait in a gateway while the
// capacity of a service is occupied, in which order they are dispatched, and
// when one is refused. It does no I/O and does not read the clock.
package admission

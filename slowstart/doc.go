// Package slowstart decides how many requests a second an upstream may get
// while it is cold and in the seconds after. It does no I/O and does not read
// the clock.
package slowstart

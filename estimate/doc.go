// Package estimate estimates how fast upstreams work from the answers that
// gateways see. It does no I/O and does not read the clock.
package estimate

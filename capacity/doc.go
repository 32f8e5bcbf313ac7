// Package capacity determines how many engines of a service the demand
// requires: from the cost of the requests at the engines' rates, the latency
// goals and the backlog, and over time. It does no I/O and does not read the
// clock.
package capacity

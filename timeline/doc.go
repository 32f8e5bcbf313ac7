// Package timeline keeps the recent events of one process and merges the events
// of several processes in causal order.
//
// Each event carries a Lamport clock, which peers send with each call: an event
// that another one could have caused always comes after it in the merge. Events
// that share a Lamport clock are ordered by their wall clocks, which may differ
// between instances.
package timeline

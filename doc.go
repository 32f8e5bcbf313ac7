// Package rail holds the domain types of dandelionrail, the interfaces of its
// replaceable components, the events and effects that reducers share, and the
// closed list of error kinds with the response to each.
//
// The reducers (order, answer, instance, document, upstream, team, rollout,
// fleet) are in packages below this one. Each reducer owns its state, processes
// events and returns effects; none of them reads a clock, generates a random
// number, takes a lock or does I/O, so that each can be embedded and tested
// without a socket.
package rail

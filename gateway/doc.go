// Package gateway forwards callers' requests to upstreams that register in a
// shared store. One reducer, State, processes every event (requests, outcomes
// of attempts, the configuration, upstreams, the digests of other gateways,
// ticks) and returns effects. Gateway applies the effects, and relay transfers
// the bytes of one request. The package does not know the formats of the store
// or of the platform.
//
// A request that is refused as not run was sent to no upstream, or every
// upstream that received it reported that it did not run it.
package gateway

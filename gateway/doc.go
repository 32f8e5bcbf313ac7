// Package gateway serves callers in front of upstreams that announce
// themselves in a shared store. One reducer, State, takes in every event
// (requests, outcomes of attempts, the configuration, upstreams, the digests
// of other gateways, time) and returns effects; Gateway runs it, and Relay
// carries the bytes of one request. Nothing here knows a wire format.
//
// A request that is refused as not run has not been handed to an upstream, or
// each upstream that got it said that it did not run it.
package gateway

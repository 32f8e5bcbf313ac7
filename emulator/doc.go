// Package emulator compares upstream choosers by running them against emulated model engines.
//
// It is event driven, reads no clock, and draws every random number from the
// seed of its settings, so that two runs with the same trace give the same
// result. An engine batches requests in slots, computes one prompt at a time,
// decodes more slowly the fuller its batch is, and keeps prompt prefixes in an
// LRU cache. Load reports lag, cache events lag too and some are lost, and one
// domain is reclaimed once.
//
// The results are meant for comparing choosers. They do not model a particular
// engine and do not predict its absolute latencies.
package emulator

// Package store is an in-memory stand-in for the users' platform, for tests and
// demonstrations. It has a log with conditional appends, keyed topics that keep
// the newest record of each key, and the fenced calls that report usage and
// order upstreams. Faults can be injected while it runs; it can also be restored
// from a copy that is some time old.
package store

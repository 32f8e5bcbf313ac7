// Package store is a stand-in for the users' platform: a log with conditional
// appends and topics that keep the newest record of each key, and the calls
// for usage and for upstreams with their fences. It is kept in memory, for
// tests and demonstrations; its faults are set while it runs.
package store

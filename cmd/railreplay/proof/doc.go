// Package proof contains the tests that run real processes: entries and
// stand-ins on loopback, under kills, pauses, network partitions and outages of
// the platform.
package proof

// Package simtime runs tests in simulated time.
package simtime

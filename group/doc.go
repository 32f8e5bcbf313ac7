// Package group starts goroutines that share a context and waits until they return.
package group

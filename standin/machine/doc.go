// Package machine registers a stand-in in the platform's instance list and
// applies the cloud's reclaim notices to it.
package machine

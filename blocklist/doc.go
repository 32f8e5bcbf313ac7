// Package blocklist holds the sets of prompt parts, and of requests, under which upstreams crash, and decides which requests are refused
// for them.
package blocklist

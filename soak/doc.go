// Package soak runs gateways as separate processes between stand-ins of the
// store and of the upstreams, injects faults from outside by signals and
// loopback proxies, and checks the promises of docs/promises.md on what callers,
// upstreams and the store observe. The package consists of test files only.
package soak

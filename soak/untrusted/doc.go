// Package untrusted runs a gateway as a separate process beside callers that
// send oversized, endless or unusual request heads, and checks that the process
// lives, stays within its memory and descriptors, and still answers. The package
// consists of test files only; it is apart from package soak so that no other
// test runs beside these.
package untrusted

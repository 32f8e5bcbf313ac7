// Package trace reads and writes recorded traces: requests at their offsets,
// faults to inject, and the expected outcome of each request.
package trace

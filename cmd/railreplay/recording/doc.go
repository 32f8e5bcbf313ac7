// Package recording generates the traces in demo/traces from a seed: the
// traffic of both users, in a short and in a full size.
package recording

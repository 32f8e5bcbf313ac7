// Package replay replays a recorded trace against a running system and
// compares the outcomes that callers and services observe with those that the
// trace expects.
package replay

// Command railreplay replays recorded traces against a running system and
// compares the observed outcomes with those that the traces expect.
package main

// Package document keeps the environment document: it parses the INI text and
// reports all its faults, receives the accepted versions from the log and from
// peers, and determines which one is in force.
//
// Guarantees: of the records with the same base, every process accepts the first
// in log order and rejects all others; the version in force in a process never
// decreases; a record that is appended again has no effect; a text with faults
// is never applied. docs/document.md describes how this works and what it does
// not cover.
package document

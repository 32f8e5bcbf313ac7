// Package section reads the sections and keys of an INI text with their line
// numbers, and collects all syntax errors instead of stopping at the first.
//
// The values come from the INI library. It reports no line numbers, stops at
// the first line that it cannot parse and silently merges sections of the same
// name; this package adds the line numbers and checks the syntax: sections,
// key = value, and comment lines that begin with ; or #.
package section

// Package harness holds the stand-ins of the review's scripts: the users' platform store and cloud, workers, clients, and the
// gateways as separate processes. All of it is in test files, which review/build.sh compiles to one program; the environment
// variable CASE names the case that it plays.
package harness

// Package service is a small stand-in for a plain service. It counts the runs
// of each request; faults that can be injected are late, dropped and missing
// answers, refusals and failures.
package service

// Package spillover decides which part of a failure domain's requests is sent
// to other domains, and whether cached parts of a prompt are worth a crossing.
// It does no I/O and does not read the clock.
package spillover

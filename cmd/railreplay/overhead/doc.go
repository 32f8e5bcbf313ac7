// Package overhead measures the cost that an entry adds to the answers of an
// engine, in time to the first token and CPU time per token, compared with
// direct calls to the same engine in the same run.
package overhead

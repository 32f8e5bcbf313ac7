// Package answer keeps each accepted request in memory until its caller has
// the complete answer.
//
// Reducer starts attempts. After a failure, a timeout or the notice that the
// upstream is leaving, it resumes the stream at another upstream from the next
// token offset. When its own entry is reclaimed, it hands the unfinished
// requests over to an entry in another failure domain. Store holds the tokens,
// AttemptRunner copies them from the upstreams, HandoverSender sends handovers
// and Source reads answers that are held here or at other entries.
//
// An answer that was resumed equals an uninterrupted one, token for token, if
// the engine generates the same token at the same offset of the same prompt. A
// request that may not be repeated is sent again only after a failure which
// states that it was not run.
//
// Nothing is written to disk: a process that is terminated without
// notice loses the requests in its memory.
package answer

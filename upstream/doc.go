// Package upstream chooses the upstream of each attempt: of the candidates
// that may receive the work it takes the one with the lowest expected cost.
//
// The cost is the expected time to the first token. It is estimated from the
// last load report, the attempts that this entry has dispatched since, and the
// prompt tokens that no cached prefix covers, plus penalties for another failure
// domain and for the more expensive price class. A choice compares the upstreams
// believed to hold the longest prefix of the prompt, the upstreams with the
// highest rendezvous hash weights for its leading blocks, and a few random ones.
//
// Guarantees. Only candidates that are not excluded are chosen, and one is
// chosen if there is any. Entries with the same candidates and no other
// information choose the same upstream for a prompt. State is bounded by the
// settings, the number of listed upstreams and the attempts in flight.
//
// Not guaranteed. The caller decides whether a candidate may receive work.
// Attempts that other entries dispatched since the last load report are not
// known, and the prefix index may be wrong about a cache until its record
// expires.
//
// The other choosers are baselines for comparison.
package upstream

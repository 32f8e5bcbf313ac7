// Package rollout moves routes to new versions and rolls bad versions back.
//
// Guarantees. A request is assigned to a version by a hash of its id, so that
// a retry goes to the same version at every entry. A new version starts at the
// first step of the share ladder. Each further step requires evidence gathered
// on that route at the current step, and a readable log. The entry that detects
// a fault sends no new requests to the version from then on, notifies its peers
// and appends a verdict; a brake is never released. The first verdict in the log
// stands, and every entry that reads the log follows it. A rollout without a
// verdict at its deadline is rolled back.
//
// A failure counts only once its upstream is known to be alive after it, so that
// crashes and reclaims are not mistaken for faults of a version. An alarm is
// raised only if the evidence rules out an outage of the old version at the same
// time.
//
// Not guaranteed. Requests that are running when a version is braked run to
// their end. An entry that can reach neither peers nor log detects a fault only
// from its own requests. A version that is worse than the old one by less than
// the tolerance in the settings is not detected.
package rollout

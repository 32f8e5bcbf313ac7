// Package fleet buys and releases upstream instances under a lease in the
// platform's log.
//
// Guarantees. The first claim in the log is valid until its term ends by the
// log's own clock, so that all readers agree on the holder; the offset of the
// claim is its fencing number. A purchase is written to the log before the cloud
// is called, with a client token that every later call carries, also those of
// the next holder: neither a lost reply nor a change of holder buys an instance
// twice. An entry that can't read the log, or resumes after its lease has
// expired, buys nothing. The plan keeps enough instances after the loss of any
// one failure domain, as far as the offers allow.
//
// Not guaranteed. A call to the cloud that is in flight when the lease ends may
// still take effect; its token keeps it from counting twice. Releases name the
// instance and may be repeated. The package does not make instances load
// versions or change roles.
package fleet

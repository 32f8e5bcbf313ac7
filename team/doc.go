// Package team admits requests according to the shares, rate limits and retry
// budgets of their teams, and rejects early what exceeds the capacity.
//
// Guarantees. No slot is idle at an entry while a request is queued there and
// the entry's share of the slots is not used up. A team that is below its
// reserved share gets the next slot that becomes free. A request that is
// refused was not run. An entry that is partitioned from its peers keeps to its
// static share of slots and limits. State is bounded by the queues, the running
// requests and the number of known peers.
//
// Not guaranteed. Entries divide slots and limits by request rates, which peers
// receive with a delay. For some seconds after a change, the entries together
// may admit more or less than the capacity; the upstreams queue the excess.
// Running work is stopped for the owner of a reserved share only if preemption
// is enabled.
package team

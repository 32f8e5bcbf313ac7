// Package order lets each non-idempotent order run at most once.
//
// An order carries a ticket or an idempotency key chosen by the caller. A ticket
// belongs to the incarnation that issued it; only that incarnation, or the one
// successor it was handed over to, ever dispatches it. Tickets do not depend on
// the platform. A key is claimed in the platform's log; the entry dispatches the
// order only after it has read its own claim back as the first one for the key.
//
// Guaranteed: no order is dispatched by two entries, nor twice by one, unless
// the first attempt is known not to have run. A request refused with a kind
// whose run is "notRun" was not dispatched for that request. Not guaranteed: an
// order whose entry was terminated between the dispatch and the recording of the
// outcome cannot be distinguished from one that did not run. Its caller is
// answered "unknown", and the order never runs again.
package order

// Package entry composes the reducers of an entry daemon into one and runs
// their effects.
//
// One goroutine takes events from a bounded queue and reduces them. Workers with
// bounded queues of their own carry out the effects, so that a slow platform,
// peer or caller never delays the reducers.
package entry

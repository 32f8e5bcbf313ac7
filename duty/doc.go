// Package duty keeps the calls that one gateway at a time makes for all: it
// holds the lease on them in the store, reports the usage of teams, orders
// upstreams and tells the operator where rollouts stand. The decisions are in
// Lease and Plan, which have no clock and no socket; Duty carries them out.
package duty

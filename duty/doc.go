// Package duty runs the tasks that only one gateway at a time performs for all
// gateways: under a lease in the store it reports the usage of teams, orders
// upstreams and reports the state of rollouts to the operator. Lease and Plan
// make the decisions and use neither a clock nor a socket; Runner carries them
// out.
package duty

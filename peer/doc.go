// Package peer implements the calls between entries over Connect: the exchange
// of digests, documents and instances, orders whose ticket another entry holds,
// and the handover of tickets and answers.
package peer

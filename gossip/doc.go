// Package gossip exchanges the digests of gateways and mirrors the topics of
// the store to those that cannot read it.
package gossip

// Package gossip exchanges digests between gateways and mirrors the topics of
// the store to gateways that do not read it themselves.
package gossip

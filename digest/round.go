package digest

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	// suspectDuration is how long a peer that did not respond is avoided while others are available.
	suspectDuration = 3 * time.Second
	// crossDomainExchanges is the expected number of exchanges with other domains that the entries of a domain start together in one round.
	crossDomainExchanges = 4
)

// startRound starts an exchange with one random peer of the domain and, if exchangesOutside decides so, with one outside.
func (r *Reducer) startRound(in rail.Input) []rail.Effect {
	domainPeers, outsidePeers := r.reachablePeers(in.At())
	targets := pickOne(domainPeers, in.Random())
	if r.exchangesOutside(len(domainPeers), in.Random()>>20) {
		targets = append(targets, pickOne(outsidePeers, in.Random()>>40)...)
	}
	if len(targets) == 0 {
		return nil
	}
	request := r.request(true, r.pushBatches())
	var effects []rail.Effect
	for _, t := range targets {
		effects = append(effects, Exchange{peer: t, request: request})
	}
	return effects
}

// exchangesOutside decides at random whether this entry starts an exchange with another domain in this round.
//
// A random decision needs no agreement between entries. A fixed choice of
// entries would fail while a chosen one is dead and not yet known to be.
func (r *Reducer) exchangesOutside(domainPeers int, random uint64) bool {
	return random%uint64(domainPeers+1) < crossDomainExchanges
}

// reachablePeers returns the peers of the domain and those outside, each without suspects unless all are suspected.
func (r *Reducer) reachablePeers(at time.Time) (domainPeers, outsidePeers []rail.Instance) {
	domain := r.members.Me().Domain()
	var domainSuspects, outsideSuspects []rail.Instance
	for _, i := range r.members.Peers() {
		suspect := r.suspects[i.ID()].After(at)
		switch {
		case i.Domain() == domain && suspect:
			domainSuspects = append(domainSuspects, i)
		case i.Domain() == domain:
			domainPeers = append(domainPeers, i)
		case suspect:
			outsideSuspects = append(outsideSuspects, i)
		default:
			outsidePeers = append(outsidePeers, i)
		}
	}
	if len(domainPeers) == 0 {
		domainPeers = domainSuspects
	}
	if len(outsidePeers) == 0 {
		outsidePeers = outsideSuspects
	}
	return domainPeers, outsidePeers
}

// pickOne returns one of the instances, nil if there are none.
func pickOne(instances []rail.Instance, random uint64) []rail.Instance {
	if len(instances) == 0 {
		return nil
	}
	return []rail.Instance{instances[random%uint64(len(instances))]}
}

// pushBatches returns the urgent facts to push and counts down their rounds.
func (r *Reducer) pushBatches() []Batch {
	var batches []Batch
	kept := r.pushQueue[:0]
	for _, f := range r.pushQueue {
		// A sequence number belongs to one write, so that a batch of one fact is complete after the number before it.
		sequence := f.fact.Sequence()
		batches = append(batches, NewBatch(f.fact.Key().Origin(), true, sequence-1, sequence, []rail.Fact{f.fact}))
		if f.rounds > 1 {
			kept = append(kept, pushedFact{fact: f.fact, rounds: f.rounds - 1})
		}
	}
	r.pushQueue = kept
	return batches
}

// handleFailure suspects a peer for suspectDuration; it has no other consequence.
func (r *Reducer) handleFailure(peer rail.Instance, at time.Time) []rail.Effect {
	for id, until := range r.suspects {
		if !until.After(at) {
			delete(r.suspects, id)
		}
	}
	_, already := r.suspects[peer.ID()]
	r.suspects[peer.ID()] = at.Add(suspectDuration)
	if already {
		return nil
	}
	return []rail.Effect{rail.NewReport(rail.EventPeerUnreachable, string(peer.ID()), string(peer.Domain()))}
}

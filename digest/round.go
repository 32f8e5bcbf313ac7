package digest

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	// suspectFor is how long a peer that did not answer is passed over while there are others.
	suspectFor = 3 * time.Second
	// outsideContacts is the number of exchanges with other domains that the entries of a domain begin together in one round.
	outsideContacts = 4
)

// round asks one random peer of the domain and, in its turn, one outside.
func (p *Reducer) round(in rail.Input) []rail.Effect {
	near, far := p.split(in.At())
	targets := pick(near, in.Random())
	if p.goesOut(len(near), in.Random()>>20) {
		targets = append(targets, pick(far, in.Random()>>40)...)
	}
	if len(targets) == 0 {
		return nil
	}
	request := p.request(true, p.push())
	var effects []rail.Effect
	for _, t := range targets {
		effects = append(effects, Exchange{peer: t, request: request})
	}
	return effects
}

// goesOut draws whether this entry is one of those that ask outside in this round.
//
// A draw needs no agreement on who does it, which a fixed choice would lose
// while a chosen entry is dead and not yet known to be.
func (p *Reducer) goesOut(near int, random uint64) bool {
	return random%uint64(near+1) < outsideContacts
}

// split returns the peers of the domain and those outside, without suspects where others are left.
func (p *Reducer) split(at time.Time) (near, far []rail.Instance) {
	domain := p.members.Me().Domain()
	var nearSuspects, farSuspects []rail.Instance
	for _, i := range p.members.Peers() {
		suspect := p.suspects[i.ID()].After(at)
		switch {
		case i.Domain() == domain && suspect:
			nearSuspects = append(nearSuspects, i)
		case i.Domain() == domain:
			near = append(near, i)
		case suspect:
			farSuspects = append(farSuspects, i)
		default:
			far = append(far, i)
		}
	}
	if len(near) == 0 {
		near = nearSuspects
	}
	if len(far) == 0 {
		far = farSuspects
	}
	return near, far
}

// pick returns one of the instances, or none if there is none.
func pick(instances []rail.Instance, random uint64) []rail.Instance {
	if len(instances) == 0 {
		return nil
	}
	return []rail.Instance{instances[random%uint64(len(instances))]}
}

// push returns the urgent facts to send unasked and counts down their rounds.
func (p *Reducer) push() []Batch {
	var batches []Batch
	kept := p.pushing[:0]
	for _, f := range p.pushing {
		// A sequence belongs to one write, so that each fact alone is complete behind the one before it.
		sequence := f.fact.Sequence()
		batches = append(batches, NewBatch(f.fact.Key().Origin(), true, sequence-1, sequence, []rail.Fact{f.fact}))
		if f.rounds > 1 {
			kept = append(kept, pushed{fact: f.fact, rounds: f.rounds - 1})
		}
	}
	p.pushing = kept
	return batches
}

// failed suspects a peer for a while; nothing else follows.
func (p *Reducer) failed(peer rail.Instance, at time.Time) []rail.Effect {
	for id, until := range p.suspects {
		if !until.After(at) {
			delete(p.suspects, id)
		}
	}
	_, already := p.suspects[peer.ID()]
	p.suspects[peer.ID()] = at.Add(suspectFor)
	if already {
		return nil
	}
	return []rail.Effect{rail.NewReport(rail.EventPeerUnreachable, string(peer.ID()), string(peer.Domain()))}
}

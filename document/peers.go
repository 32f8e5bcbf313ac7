package document

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

// peers holds the document versions that other processes have published.
type peers struct {
	numbers map[rail.Incarnation]uint64
	// askedUntil is the time until which a response is awaited.
	askedUntil time.Time
	// anyAnswered reports whether any peer has returned its document or reported that it has none.
	anyAnswered bool
}

func newPeers() peers { return peers{numbers: map[rail.Incarnation]uint64{}} }

// update records the versions of processes of the environment, or of any environment while it is unknown.
func (s *peers) update(environment string, facts []rail.Fact) {
	for _, f := range facts {
		if f.Key().Kind() != rail.FactDocument || environment != "" && f.Key().Subject() != environment {
			continue
		}
		n, err := strconv.ParseUint(f.Value(), 10, 64)
		if err == nil && n > s.numbers[f.Key().Origin()] {
			s.numbers[f.Key().Origin()] = n
		}
	}
}

// maxUnlistedPeers is how many processes more than the list shows are kept before the unlisted ones are dropped.
const maxUnlistedPeers = 64

// dropUnlisted removes the processes that the list does not show if there are more than maxUnlistedPeers.
func (s *peers) dropUnlisted(listed []rail.Instance) {
	if len(s.numbers) <= len(listed)+maxUnlistedPeers {
		return
	}
	live := make(map[rail.Incarnation]bool, len(listed))
	for _, i := range listed {
		live[i.Incarnation()] = true
	}
	maps.DeleteFunc(s.numbers, func(id rail.Incarnation, _ uint64) bool { return !live[id] })
}

func (s *peers) recordAnswer() {
	s.askedUntil = time.Time{}
	s.anyAnswered = true
}

// recordFailure removes the version of a peer that does not respond, until the peer publishes it again.
func (s *peers) recordFailure(peer rail.Incarnation) {
	s.askedUntil = time.Time{}
	delete(s.numbers, peer)
}

// ahead returns the processes with a later version than the number, sorted.
func (s *peers) ahead(number uint64) []rail.Incarnation {
	var ids []rail.Incarnation
	for id, n := range s.numbers {
		if n > number {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// fetch requests the document from two of the peers that are ahead, unless a response is awaited; one of them may be unreachable.
func (r *Reducer) fetch(in rail.Input) []rail.Effect {
	if in.At().Before(r.peers.askedUntil) {
		return nil
	}
	ids := r.peers.ahead(r.current.Number())
	if len(ids) == 0 {
		return nil
	}
	r.peers.askedUntil = in.At().Add(fetchTimeout)
	n := uint64(len(ids))
	first := in.Random() % n
	effects := []rail.Effect{Fetch{peer: ids[first]}}
	if n > 1 {
		effects = append(effects, Fetch{peer: ids[(first+1)%n]})
	}
	return effects
}

package document

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

// peers keeps what other processes told of their documents.
type peers struct {
	numbers map[rail.Incarnation]uint64
	// asked is the time until which an answer is awaited.
	asked time.Time
	// answers tells whether any peer has handed out its document or said that it has none.
	answers bool
}

func newPeers() peers { return peers{numbers: map[rail.Incarnation]uint64{}} }

// learn notes the versions of processes of the environment, of any one while the environment is not known.
func (s *peers) learn(environment string, facts []rail.Fact) {
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

// sparePeers is how many processes beyond the listed ones are kept before those that are gone are dropped.
const sparePeers = 64

// drop forgets the processes that the list does not show, once there are many of them.
func (s *peers) drop(listed []rail.Instance) {
	if len(s.numbers) <= len(listed)+sparePeers {
		return
	}
	live := make(map[rail.Incarnation]bool, len(listed))
	for _, i := range listed {
		live[i.Incarnation()] = true
	}
	maps.DeleteFunc(s.numbers, func(id rail.Incarnation, _ uint64) bool { return !live[id] })
}

func (s *peers) answered() {
	s.asked = time.Time{}
	s.answers = true
}

// failed forgets the version of a peer that does not answer until it tells it again.
func (s *peers) failed(peer rail.Incarnation) {
	s.asked = time.Time{}
	delete(s.numbers, peer)
}

// ahead returns the processes with a version over the number, in a stable order.
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

// fetch asks two of the peers that are ahead for their document, unless an answer is awaited; one of them may be cut off.
func (p *Reducer) fetch(in rail.Input) []rail.Effect {
	if in.At().Before(p.peers.asked) {
		return nil
	}
	ids := p.peers.ahead(p.current.Number())
	if len(ids) == 0 {
		return nil
	}
	p.peers.asked = in.At().Add(fetchTimeout)
	n := uint64(len(ids))
	first := in.Random() % n
	effects := []rail.Effect{Fetch{peer: ids[first]}}
	if n > 1 {
		effects = append(effects, Fetch{peer: ids[(first+1)%n]})
	}
	return effects
}

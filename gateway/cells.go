package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Registration is a gateway as the store lists it.
type Registration struct{ address, domain string }

// NewRegistration returns the listing with host:port for peers; without an address the gateway has left.
func NewRegistration(address, domain string) Registration {
	return Registration{address: address, domain: domain}
}

// Address returns host:port for peers.
func (l Registration) Address() string { return l.address }

// Domain returns the gateway's failure domain.
func (l Registration) Domain() string { return l.domain }

// Contact is a gateway to exchange digests with.
type Contact struct{ name, address string }

// Name returns the gateway's name.
func (c Contact) Name() string { return c.name }

// Address returns host:port.
func (c Contact) Address() string { return c.address }

// meshMost is the number of gateways up to which each exchanges digests with all others; the cost of a gateway grows with it.
const meshMost = 11

// cells divides the gateways of a large fleet: those of a cell exchange digests
// with the first of them that they reach, and the first of each cell with each
// other. A cell lies within a failure domain, so that a partition between
// domains leaves it whole.
type cells struct {
	members [][]string
	own     int
}

// newCells returns the cells of the gateways, none for a small fleet.
func newCells(me Registration, name string, others map[string]Registration) *cells {
	if len(others)+1 <= meshMost {
		return nil
	}
	domains := map[string][]string{me.domain: {name}}
	for n, l := range others {
		domains[l.domain] = append(domains[l.domain], n)
	}
	size := int(math.Ceil(math.Sqrt(float64(len(others) + 1))))
	c := &cells{}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		// The order is that of the hashes, so that the first gateway of all domains is not always the same machine.
		slices.SortFunc(domains[d], func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
		for members := range slices.Chunk(domains[d], size) {
			if slices.Contains(members, name) {
				c.own = len(c.members)
			}
			c.members = append(c.members, members)
		}
	}
	return c
}

// ahead returns the members of the gateway's own cell that come before it.
func (c *cells) ahead(name string) []string {
	own := c.members[c.own]
	return own[:slices.Index(own, name)]
}

// behind reports whether the other gateway comes after this one in its cell.
func (c *cells) behind(name, other string) bool {
	own := c.members[c.own]
	return slices.Index(own, other) > slices.Index(own, name)
}

// Contacts returns the gateways to call in a round; away says which ones did not answer when they were called last, and
// which of these are to be tried again beside the next of their cell.
func (s *State) Contacts(away func(name string) (away, again bool)) []Contact {
	var names []string
	if s.cells == nil {
		for name := range s.registered {
			away, again := away(name)
			p, known := s.peers[name]
			// One of the two calls; a peer that is not heard may not know of this gateway yet.
			if callsFirst(s.settings.name, name) || (!known || s.now.Sub(p.heard) >= reserveSilence) && (!away || again) {
				names = append(names, name)
			}
		}
	} else {
		first := func(members []string) (found bool) {
			for _, name := range members {
				away, again := away(name)
				if !away || again {
					names = append(names, name)
				}
				if !away {
					return true
				}
			}
			return false
		}
		if !first(s.cells.ahead(s.settings.name)) {
			for i, members := range s.cells.members {
				if i != s.cells.own {
					first(members)
				}
			}
		}
	}
	contacts := make([]Contact, 0, len(names))
	for _, name := range names {
		contacts = append(contacts, Contact{name: name, address: s.registered[name].address})
	}
	return contacts
}

// callsFirst reports whether this gateway is the one of a pair that calls the other: an exchange goes both ways.
func callsFirst(me, peer string) bool {
	return (me < peer) != ((xxhash.Sum64String(min(me, peer)+max(me, peer)) & 1) == 0)
}

// relays reports whether this gateway speaks for the caller, which is behind it in its cell.
func (s *State) relays(caller string) bool {
	return s.cells != nil && s.cells.behind(s.settings.name, caller)
}

// HasCellLeader reports whether another gateway that was heard lately speaks for this one.
func (s *State) HasCellLeader() bool {
	for _, p := range s.peers {
		if p.digest.whole && s.now.Sub(p.heard) < peerSilence {
			return true
		}
	}
	return false
}

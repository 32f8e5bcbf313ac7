package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Registration is a gateway's entry in the store.
type Registration struct {
	address, domain string
	// forwardAddress and accessKey are empty if the gateway accepts no forwarded calls.
	forwardAddress, accessKey string
}

// NewRegistration returns an entry with host:port for peers; an empty address removes the gateway.
func NewRegistration(address, domain string) Registration {
	return Registration{address: address, domain: domain}
}

// Address returns host:port for peers.
func (r Registration) Address() string { return r.address }

// Domain returns the gateway's failure domain.
func (r Registration) Domain() string { return r.domain }

// WithForwarding returns a copy with host:port for forwarded calls and the key that they must have.
func (r Registration) WithForwarding(address, key string) Registration {
	r.forwardAddress, r.accessKey = address, key
	return r
}

// ForwardAddress returns host:port for forwarded calls, empty if the gateway accepts none.
func (r Registration) ForwardAddress() string { return r.forwardAddress }

// AccessKey returns the key that forwarded calls must have.
func (r Registration) AccessKey() string { return r.accessKey }

// Contact is a peer to exchange digests with.
type Contact struct{ name, address string }

// Name returns the gateway's name.
func (c Contact) Name() string { return c.name }

// Address returns host:port.
func (c Contact) Address() string { return c.address }

// maxMeshGateways is the number of gateways up to which each exchanges digests with all others; the cost at each gateway grows with it.
const maxMeshGateways = 11

// cells partitions the gateways of a large fleet. The members of a cell
// exchange digests with the first member that they can reach, their leader,
// and the leaders exchange digests with each other. A cell lies within one
// failure domain, so that a partition between domains does not split it.
type cells struct {
	members [][]string
	own     int
}

// newCells returns the cells of the gateways, nil for a small fleet.
func newCells(me Registration, name string, others map[string]Registration) *cells {
	if len(others)+1 <= maxMeshGateways {
		return nil
	}
	domains := map[string][]string{me.domain: {name}}
	for n, r := range others {
		domains[r.domain] = append(domains[r.domain], n)
	}
	size := int(math.Ceil(math.Sqrt(float64(len(others) + 1))))
	c := &cells{}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		// Sorted by hash rather than by name, so that the leaders of all domains are not the same machine.
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

// membersBefore returns the members that come before the gateway in its cell.
func (c *cells) membersBefore(name string) []string {
	own := c.members[c.own]
	return own[:slices.Index(own, name)]
}

// precedes reports whether the named gateway comes before the other one in its cell.
func (c *cells) precedes(name, other string) bool {
	own := c.members[c.own]
	return slices.Index(own, other) > slices.Index(own, name)
}

// Contacts returns the peers to call in this round. lastCall reports whether a peer did not answer its last call, and
// whether it is due for a retry; in a cell, such a retry is made in addition to the call of the next member.
func (s *State) Contacts(lastCall func(name string) (unreachable, retry bool)) []Contact {
	var names []string
	if s.cells == nil {
		for name := range s.registrations.byName {
			unreachable, retry := lastCall(name)
			p, known := s.peers[name]
			// One of the two calls the other. A peer without recent digests is called too: it may not know of this gateway yet.
			if initiates(s.settings.name, name) || (!known || s.now.Sub(p.receivedAt) >= reserveTimeout) && (!unreachable || retry) {
				names = append(names, name)
			}
		}
	} else {
		addLeader := func(members []string) (found bool) {
			for _, name := range members {
				unreachable, retry := lastCall(name)
				if !unreachable || retry {
					names = append(names, name)
				}
				if !unreachable {
					return true
				}
			}
			return false
		}
		if !addLeader(s.cells.membersBefore(s.settings.name)) {
			for i, members := range s.cells.members {
				if i != s.cells.own {
					addLeader(members)
				}
			}
		}
	}
	contacts := make([]Contact, 0, len(names))
	for _, name := range names {
		contacts = append(contacts, Contact{name: name, address: s.registrations.byName[name].address})
	}
	return contacts
}

// initiates reports whether this gateway is the one of the pair that starts the exchange; one exchange transfers both digests.
func initiates(me, peer string) bool {
	return (me < peer) != ((xxhash.Sum64String(min(me, peer)+max(me, peer)) & 1) == 0)
}

// leads reports whether this gateway is the cell leader of the calling peer, because it precedes the peer in its cell.
func (s *State) leads(peer string) bool {
	return s.cells != nil && s.cells.precedes(s.settings.name, peer)
}

// HasCellLeader reports whether a full digest was received recently from a gateway that leads this one's cell.
func (s *State) HasCellLeader() bool {
	for _, p := range s.peers {
		if p.digest.full && s.now.Sub(p.receivedAt) < peerTimeout {
			return true
		}
	}
	return false
}

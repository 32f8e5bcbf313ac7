package gateway

// Fleet is what there is of a service whose upstreams can be ordered.
type Fleet struct {
	service *Service
	counts  map[fleetKey]int
	leaving map[string]int // reclaimable ones that leave, by domain
	total   int
}

type fleetKey struct {
	domain string
	spot   bool
}

// Service returns the service's name.
func (f *Fleet) Service() string { return f.service.name }

// MinUpstreams returns the least number of upstreams in a failure domain.
func (f *Fleet) MinUpstreams() int { return f.service.scaling.least }

// MaxUpstreams returns the largest number of upstreams in a failure domain.
func (f *Fleet) MaxUpstreams() int { return f.service.scaling.most }

// Prices returns the price of an upstream by failure domain.
func (f *Fleet) Prices() map[string]float64 { return f.service.scaling.prices }

// Count returns the upstreams in the domain that take requests, by whether the cloud may reclaim them.
func (f *Fleet) Count(domain string, spot bool) int { return f.counts[fleetKey{domain, spot}] }

// Reclaimed reports whether the cloud takes the domain's reclaimable upstreams now.
func (f *Fleet) Reclaimed(domain string) bool {
	return f.leaving[domain] > 0 && f.Count(domain, true) == 0
}

// Total returns all upstreams that take requests.
func (f *Fleet) Total() int { return f.total }

// Fleets returns the services whose upstreams can be ordered.
func (s *State) Fleets() []*Fleet {
	var fleets []*Fleet
	if s.catalogue == nil || !s.listed {
		return nil
	}
	for _, service := range s.catalogue.services {
		if service.scaling == nil {
			continue
		}
		f := &Fleet{service: service, counts: map[fleetKey]int{}, leaving: map[string]int{}}
		for _, t := range s.roster.group(service.name) {
			if t.leaving && t.spot {
				f.leaving[t.domain]++
			}
			if !t.leaving {
				f.counts[fleetKey{t.domain, t.spot}]++
				f.total++
			}
		}
		fleets = append(fleets, f)
	}
	return fleets
}

// Demand returns the prompt tokens that arrived at all gateways since their starts.
func (s *State) Demand() int64 {
	total := s.demand
	for _, p := range s.peers {
		total += p.digest.demand
	}
	return total
}

package gateway

// Fleet counts the upstreams of a service that can be scaled.
type Fleet struct {
	service *Service
	counts  map[fleetKey]int
	leaving map[string]int // leaving spot upstreams, by domain
	total   int
}

type fleetKey struct {
	domain string
	spot   bool
}

// Service returns the service's name.
func (f *Fleet) Service() string { return f.service.name }

// MinUpstreams returns the minimum number of upstreams in a failure domain.
func (f *Fleet) MinUpstreams() int { return f.service.scaling.minUpstreams }

// MaxUpstreams returns the maximum number of upstreams in a failure domain.
func (f *Fleet) MaxUpstreams() int { return f.service.scaling.maxUpstreams }

// Prices returns the price of an upstream by failure domain.
func (f *Fleet) Prices() map[string]float64 { return f.service.scaling.prices }

// Count returns the number of upstreams in the domain that accept requests, either spot or on-demand ones.
func (f *Fleet) Count(domain string, spot bool) int { return f.counts[fleetKey{domain, spot}] }

// Reclaimed reports whether the cloud is reclaiming all spot upstreams of the domain.
func (f *Fleet) Reclaimed(domain string) bool {
	return f.leaving[domain] > 0 && f.Count(domain, true) == 0
}

// Total returns the number of upstreams that accept requests.
func (f *Fleet) Total() int { return f.total }

// Fleets returns the services that can be scaled.
func (s *State) Fleets() []*Fleet {
	var fleets []*Fleet
	if s.config == nil || !s.upstreamsRead {
		return nil
	}
	for _, service := range s.config.services {
		if service.scaling == nil {
			continue
		}
		f := &Fleet{service: service, counts: map[fleetKey]int{}, leaving: map[string]int{}}
		for _, t := range s.registry.ofService(service.name) {
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

// Demand returns the number of prompt tokens that arrived at all gateways since their starts.
func (s *State) Demand() int64 {
	total := s.demand
	for _, p := range s.peers {
		total += p.digest.demand
	}
	return total
}

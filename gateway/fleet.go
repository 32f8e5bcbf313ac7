package gateway

// Fleet counts the upstreams of a service that can be scaled.
type Fleet struct {
	service *Service
	// counts holds the upstreams of the version that serves, others those of the version that a rollout moves from or to.
	counts, others map[fleetKey]int
	leaving        map[string]int // leaving spot upstreams, by domain
	total          int
	// evacuated holds the evacuated domains.
	evacuated map[string]bool
	// rolloutRunning reports whether the operator has ordered a rollout that has not ended.
	rolloutRunning bool
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

// Count returns the number of upstreams of the serving version in the domain that accept requests, either spot or on-demand ones.
func (f *Fleet) Count(domain string, spot bool) int { return f.counts[fleetKey{domain, spot}] }

// CountAll returns the number of upstreams of all versions in the domain that accept requests, either spot or on-demand ones.
func (f *Fleet) CountAll(domain string, spot bool) int {
	return f.Count(domain, spot) + f.others[fleetKey{domain, spot}]
}

// HasTwoVersions reports whether upstreams of a second version are listed for a rollout.
func (f *Fleet) HasTwoVersions() bool { return len(f.others) > 0 }

// InRollout reports whether the operator starts upstreams of a second version, or has not removed those of one version yet.
func (f *Fleet) InRollout() bool { return f.rolloutRunning || f.HasTwoVersions() }

// Reclaimed reports whether the cloud is reclaiming all spot upstreams of the domain.
func (f *Fleet) Reclaimed(domain string) bool {
	return f.leaving[domain] > 0 && f.Count(domain, true) == 0
}

// Leaving returns the number of spot upstreams of the domain that are announced to leave.
func (f *Fleet) Leaving(domain string) int { return f.leaving[domain] }

// Evacuated reports whether the domain is evacuated.
func (f *Fleet) Evacuated(domain string) bool { return f.evacuated[domain] }

// Total returns the number of upstreams of the serving version that accept requests.
func (f *Fleet) Total() int { return f.total }

// RolloutRunning reports whether the service has a rollout that has not ended.
func (s *State) RolloutRunning(service string) bool {
	r := s.rollouts[service]
	return r != nil && r.state == RolloutRunning && !r.bad
}

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
		f := &Fleet{service: service, counts: map[fleetKey]int{}, others: map[fleetKey]int{}, leaving: map[string]int{}, evacuated: map[string]bool{}}
		for _, name := range s.evacuations.Names() {
			f.evacuated[name] = true
		}
		rule := versionRule{rollout: s.rollouts[service.name]}
		f.rolloutRunning = s.RolloutRunning(service.name)
		for _, t := range s.registry.ofService(service.name) {
			switch {
			case !rule.allows(t):
				if !t.leaving {
					f.others[fleetKey{t.domain, t.spot}]++
				}
			case t.leaving && t.spot:
				f.leaving[t.domain]++
			case !t.leaving:
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

package gateway

import (
	"dandelionrail.org/rail"
	"dandelionrail.org/rail/evacuation"
)

// EvacuationsRead reports the operator's orders to evacuate failure domains.
type EvacuationsRead struct {
	changes []evacuation.Change
	full    bool
	source  string
}

// NewEvacuationsRead returns the event; full reports whether no other domain is evacuated.
func NewEvacuationsRead(changes []evacuation.Change, full bool, source string) EvacuationsRead {
	return EvacuationsRead{changes: changes, full: full, source: source}
}

func (EvacuationsRead) gatewayEvent() {}

func (s *State) evacuationsRead(e EvacuationsRead) []Effect {
	restored := s.now.Sub(s.registry.storeRestoredAt) < restoredListTime
	return s.reportEvacuations(s.evacuations.Apply(e.changes, e.full, restored, s.now), e.source)
}

func (s *State) reportEvacuations(transitions []evacuation.Transition, source string) []Effect {
	var effects []Effect
	for _, t := range transitions {
		number := rail.EventEvacuationEnded
		if t.Began() {
			number = rail.EventDomainEvacuated
		}
		effects = append(effects, report(number, NewField("domain", t.Domain()), NewField("source", source)))
	}
	return effects
}

// evacuatedDomains returns the evacuated domains if all upstreams of the service are in them, nil otherwise.
func (s *State) evacuatedDomains(service string) []string {
	targets := s.registry.ofService(service)
	if len(targets) == 0 || s.evacuations.Empty() {
		return nil
	}
	for _, t := range targets {
		if !s.evacuations.Contains(t.domain) {
			return nil
		}
	}
	return s.evacuations.Names()
}

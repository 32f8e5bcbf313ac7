package rollout

import (
	"cmp"
	"slices"

	"dandelionrail.org/rail"
)

// Status is where one rollout stands at this entry.
type Status struct {
	route   rail.RouteName
	version rail.Version
	share   float64
	braked  bool
	verdict Outcome
	reason  string
	cutOff  []rail.Domain
}

// Route returns the route that moves.
func (s Status) Route() rail.RouteName { return s.route }

// Version returns the new version.
func (s Status) Version() rail.Version { return s.version }

// Share returns the part of the route's requests that this entry gives to the new version.
func (s Status) Share() float64 { return s.share }

// Braked reports whether a fault has been seen, here or elsewhere.
func (s Status) Braked() bool { return s.braked }

// Verdict returns the verdict that stands, OutcomeNone before there is one.
func (s Status) Verdict() Outcome { return s.verdict }

// Reason returns why the rollout was braked, done or taken back.
func (s Status) Reason() string { return s.reason }

// UnreachableDomains returns the domains that were cut off when the verdict fell, or are cut off now if there is none.
func (s Status) UnreachableDomains() []rail.Domain { return s.cutOff }

// Status returns the rollouts of the document in force, in order of their routes.
func (p *Reducer) Status() []Status {
	all := make([]Status, 0, len(p.routes))
	for _, r := range p.routes {
		v := r.standing.verdict
		s := Status{
			route: r.key.route, version: r.key.version, share: r.share, braked: r.braked || v.Braked,
			verdict: v.Outcome, reason: r.reason, cutOff: p.cutOff(p.now),
		}
		if v.Outcome != OutcomeNone {
			s.cutOff = v.CutOff
		}
		if v.Outcome != OutcomeNone && (r.reason == "" || v.Outcome == OutcomeRolledBack) {
			s.reason = v.Reason
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.route, b.route) })
	return all
}

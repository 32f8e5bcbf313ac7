package rollout

import (
	"cmp"
	"slices"

	"dandelionrail.org/rail"
)

// Status is the state of one rollout at this entry.
type Status struct {
	route       rail.RouteName
	version     rail.Version
	share       float64
	braked      bool
	verdict     Outcome
	reason      string
	unreachable []rail.Domain
}

// Route returns the route of the rollout.
func (s Status) Route() rail.RouteName { return s.route }

// Version returns the new version.
func (s Status) Version() rail.Version { return s.version }

// Share returns the fraction of the route's requests that this entry assigns to the new version.
func (s Status) Share() float64 { return s.share }

// Braked reports whether a fault has been detected, at this entry or at another one.
func (s Status) Braked() bool { return s.braked }

// Verdict returns the standing verdict, OutcomeNone before there is one.
func (s Status) Verdict() Outcome { return s.verdict }

// Reason returns why the rollout was braked, completed or rolled back.
func (s Status) Reason() string { return s.reason }

// UnreachableDomains returns the domains that were unreachable at the time of the verdict, or are unreachable now if there is none.
func (s Status) UnreachableDomains() []rail.Domain { return s.unreachable }

// Status returns the state of the rollouts in the document in force, sorted by route.
func (r *Reducer) Status() []Status {
	all := make([]Status, 0, len(r.rollouts))
	for _, state := range r.rollouts {
		v := state.standing.verdict
		s := Status{
			route: state.key.route, version: state.key.version, share: state.share, braked: state.braked || v.Braked,
			verdict: v.Outcome, reason: state.reason, unreachable: r.unreachableDomains(r.now),
		}
		if v.Outcome != OutcomeNone {
			s.unreachable = v.Unreachable
		}
		if v.Outcome != OutcomeNone && (state.reason == "" || v.Outcome == OutcomeRolledBack) {
			s.reason = v.Reason
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.route, b.route) })
	return all
}

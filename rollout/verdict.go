package rollout

import (
	"encoding/json"
	"time"

	"dandelionrail.org/rail"
)

// Outcome is how a rollout ended.
type Outcome string

// The outcomes of a rollout.
const (
	OutcomeNone       Outcome = ""
	OutcomeDone       Outcome = "done"
	OutcomeRolledBack Outcome = "takenBack"
)

// verdict is the body of a RecordVerdict.
type verdict struct {
	Route       rail.RouteName   `json:"route"`
	Stable      rail.Version     `json:"stable"`
	Version     rail.Version     `json:"version"`
	DeadlineMs  int64            `json:"deadlineMs"`
	Outcome     Outcome          `json:"outcome"`
	Reason      string           `json:"reason"`
	Unreachable []rail.Domain    `json:"cutOff,omitempty"`
	Braked      bool             `json:"braked,omitempty"`
	By          rail.Incarnation `json:"by"`
}

func (v verdict) key() key {
	return key{route: v.Route, stable: v.Stable, version: v.Version, deadline: v.DeadlineMs}
}

// body returns the record's JSON.
func (v verdict) body() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// standingVerdict is the first verdict on one rollout in the log. It is braked
// once any record is OutcomeRolledBack.
type standingVerdict struct {
	verdict      verdict
	offset       rail.Offset
	lastRecordAt time.Time
}

// apply applies a record of the log; the one with the lowest offset stands.
func (s *standingVerdict) apply(v verdict, offset rail.Offset, at time.Time) {
	if s.verdict.Outcome == OutcomeNone || offset < s.offset {
		braked := s.verdict.Braked || s.verdict.Outcome == OutcomeRolledBack
		s.verdict, s.offset = v, offset
		s.verdict.Braked = v.Braked || braked
	}
	if v.Outcome == OutcomeRolledBack {
		s.verdict.Braked = true
	}
	if at.After(s.lastRecordAt) {
		s.lastRecordAt = at
	}
}

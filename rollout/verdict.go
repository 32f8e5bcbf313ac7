package rollout

import (
	"encoding/json"
	"time"

	"dandelionrail.org/rail"
)

// Outcome says how a rollout ended.
type Outcome string

// The outcomes of a rollout.
const (
	OutcomeNone       Outcome = ""
	OutcomeDone       Outcome = "done"
	OutcomeRolledBack Outcome = "takenBack"
)

// verdict is the body of a RecordVerdict.
type verdict struct {
	Route      rail.RouteName   `json:"route"`
	Stable     rail.Version     `json:"stable"`
	Version    rail.Version     `json:"version"`
	DeadlineMs int64            `json:"deadlineMs"`
	Outcome    Outcome          `json:"outcome"`
	Reason     string           `json:"reason"`
	CutOff     []rail.Domain    `json:"cutOff,omitempty"`
	Braked     bool             `json:"braked,omitempty"`
	By         rail.Incarnation `json:"by"`
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

// standing is what the records of the log say about one rollout.
type standing struct {
	verdict verdict
	offset  rail.Offset
	latest  time.Time
}

// fold takes in one more record in log order.
func (s *standing) fold(v verdict, offset rail.Offset, at time.Time) {
	if s.verdict.Outcome == OutcomeNone || offset < s.offset {
		braked := s.verdict.Braked || s.verdict.Outcome == OutcomeRolledBack
		s.verdict, s.offset = v, offset
		s.verdict.Braked = v.Braked || braked
	}
	if v.Outcome == OutcomeRolledBack {
		s.verdict.Braked = true
	}
	if at.After(s.latest) {
		s.latest = at
	}
}

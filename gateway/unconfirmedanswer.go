package gateway

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// unconfirmedAnswer is an answer whose end was marked by the end of its connection only: one that its upstream broke off when it
// crashed looks the same. It is confirmed by a later answer of the same start of the upstream.
type unconfirmedAnswer struct {
	start upstreamStart
	// parts are those of the prompt, nil for an answer that was a failure; key is that of the request, empty if no request is suspected.
	parts []PromptPart
	key   string
	// endedAt is when the answer ended, seenAt the true time of that.
	endedAt, seenAt time.Time
}

const (
	// confirmTime is the time within which an answer must be confirmed: the address may belong to another start of the upstream later.
	confirmTime = 3 * time.Second
	// maxUnconfirmed bounds the answers that are remembered of an upstream.
	maxUnconfirmed = 64
)

// keepUnconfirmed keeps an answer that ended with its connection until it is confirmed.
func (s *State) keepUnconfirmed(c *Call, p *pendingCall, o Outcome, at, seen time.Time) {
	a := unconfirmedAnswer{start: p.target.start(), endedAt: at, seenAt: seen}
	if o.kind == rail.KindNone {
		a.parts = c.parts
	}
	if s.quarantine.requests > 0 {
		a.key = c.requestKey(p.teamName())
	}
	if a.key == "" && len(shareableParts(a.parts)) == 0 {
		return
	}
	t := p.target
	t.unconfirmed = append(t.unconfirmed, a)
	t.unconfirmed = t.unconfirmed[max(0, len(t.unconfirmed)-maxUnconfirmed):]
}

// confirmAnswers confirms the answers that had ended when a request was sent that the upstream answers now.
func (s *State) confirmAnswers(t *target, sentAt time.Time) {
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(a unconfirmedAnswer) bool {
		_, ended := s.ends[a.start]
		switch {
		case ended || a.start != t.start() || s.now.Sub(a.endedAt) > confirmTime:
			return true
		case sentAt.Before(a.endedAt):
			return false
		}
		s.quarantine.clear(a.key, a.seenAt)
		if a.parts != nil {
			s.quarantine.recordAnswer(a.parts, a.seenAt)
		}
		return true
	})
}

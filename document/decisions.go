package document

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	// maxDecided bounds the accepted versions of which the hash of the text is kept.
	maxDecided = 1024
	// awaitTimeout is how long a publisher may wait for the decision.
	awaitTimeout = 30 * time.Second
)

// PublicationAwaited reports that a publisher waits for the decision whether its text is accepted on top of the base.
type PublicationAwaited struct {
	call   rail.RequestID
	base   uint64
	source string
}

// NewPublicationAwaited returns the event; the call waits at the mailbox under its id.
func NewPublicationAwaited(call rail.RequestID, base uint64, source string) PublicationAwaited {
	return PublicationAwaited{call: call, base: base, source: source}
}

// EventName implements rail.Event.
func (PublicationAwaited) EventName() string { return "documentAwaited" }

// PublicationDecided returns to a publisher whether its text became the version after the base.
type PublicationDecided struct {
	call     rail.RequestID
	accepted bool
}

var _ rail.CallEffect = PublicationDecided{}

// Call implements rail.CallEffect.
func (e PublicationDecided) Call() rail.RequestID { return e.call }

// Accepted reports whether the text was accepted.
func (e PublicationDecided) Accepted() bool { return e.accepted }

// EffectName implements rail.Effect.
func (PublicationDecided) EffectName() string { return "decideDocument" }

// waiter is a publisher that waits for a decision.
type waiter struct {
	publication PublicationAwaited
	until       time.Time
}

// decisions holds the hash of each version's text and the publishers that wait.
type decisions struct {
	textHashes map[uint64]uint64
	waiters    []waiter
}

func newDecisions() decisions { return decisions{textHashes: map[uint64]uint64{}} }

func (s *decisions) recordAccepted(number uint64, source string) {
	if _, ok := s.textHashes[number]; ok || number == 0 {
		return
	}
	s.textHashes[number] = xxhash.Sum64String(source)
	if number > maxDecided {
		delete(s.textHashes, number-maxDecided)
	}
}

func (s *decisions) addWaiter(e PublicationAwaited, at time.Time) {
	s.waiters = append(s.waiters, waiter{publication: e, until: at.Add(awaitTimeout)})
}

// resolve answers the publishers whose base now has a successor, and drops those whose timeout has passed.
func (s *decisions) resolve(last uint64, at time.Time) []rail.Effect {
	var effects []rail.Effect
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		switch {
		case last > w.publication.base:
			accepted := s.textHashes[w.publication.base+1] == xxhash.Sum64String(w.publication.source)
			effects = append(effects, PublicationDecided{call: w.publication.call, accepted: accepted})
		case at.Before(w.until):
			kept = append(kept, w)
		}
	}
	s.waiters = kept
	return effects
}

package document

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	// maxDecided bounds the accepted versions whose text is remembered by its hash.
	maxDecided = 1024
	// awaitTimeout is how long a publisher may wait to hear who won.
	awaitTimeout = 30 * time.Second
)

// PublicationAwaited tells that a publisher waits to hear whether its text is accepted on top of the base.
type PublicationAwaited struct {
	call   rail.RequestID
	base   uint64
	source string
}

// NewPublicationAwaited returns the event; the call waits at the desk under its id.
func NewPublicationAwaited(call rail.RequestID, base uint64, source string) PublicationAwaited {
	return PublicationAwaited{call: call, base: base, source: source}
}

// EventName implements rail.Event.
func (PublicationAwaited) EventName() string { return "documentAwaited" }

// PublicationDecided tells a publisher whether its text is the version that follows the base.
type PublicationDecided struct {
	call rail.RequestID
	won  bool
}

var _ rail.CallEffect = PublicationDecided{}

// Call implements rail.CallEffect.
func (e PublicationDecided) Call() rail.RequestID { return e.call }

// Accepted reports whether the text was accepted.
func (e PublicationDecided) Accepted() bool { return e.won }

// EffectName implements rail.Effect.
func (PublicationDecided) EffectName() string { return "decideDocument" }

// waiter is a publisher that waits.
type waiter struct {
	awaited PublicationAwaited
	until   time.Time
}

// decisions remembers which text each version has and who waits for one.
type decisions struct {
	texts   map[uint64]uint64
	waiters []waiter
}

func newDecisions() decisions { return decisions{texts: map[uint64]uint64{}} }

func (s *decisions) accepted(number uint64, source string) {
	if _, ok := s.texts[number]; ok || number == 0 {
		return
	}
	s.texts[number] = xxhash.Sum64String(source)
	if number > maxDecided {
		delete(s.texts, number-maxDecided)
	}
}

func (s *decisions) wait(e PublicationAwaited, at time.Time) {
	s.waiters = append(s.waiters, waiter{awaited: e, until: at.Add(awaitTimeout)})
}

// answer answers the publishers whose base has a version on top by now, and drops those that gave up.
func (s *decisions) answer(last uint64, at time.Time) []rail.Effect {
	var effects []rail.Effect
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		switch {
		case last > w.awaited.base:
			won := s.texts[w.awaited.base+1] == xxhash.Sum64String(w.awaited.source)
			effects = append(effects, PublicationDecided{call: w.awaited.call, won: won})
		case at.Before(w.until):
			kept = append(kept, w)
		}
	}
	s.waiters = kept
	return effects
}

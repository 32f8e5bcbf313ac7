package digest

import (
	"slices"
	"time"
)

const (
	// frequentBytesPerSecond limits the rate of frequent facts of all entries together.
	frequentBytesPerSecond = 1500
	// factOverheadBytes is the encoded size of a fact without its subject and value.
	factOverheadBytes = 12
	// burstBytes lets an entry write one or two facts at once, even if its share of the rate is small.
	burstBytes = 100
)

// pacer limits the rate of writes of frequent facts, so that the traffic stays constant as the fleet grows. A later value of a queued register replaces the earlier one and keeps its place in the queue.
type pacer struct {
	values     map[register]string
	queue      []register
	tokens     float64
	refilledAt time.Time
}

func newPacer() pacer { return pacer{values: map[register]string{}} }

func (p *pacer) add(r register, value string) {
	_, queued := p.values[r]
	p.values[r] = value
	switch {
	case queued:
	case urgent(r.kind):
		p.queue = slices.Insert(p.queue, 0, r)
	default:
		p.queue = append(p.queue, r)
	}
}

// refill adds the tokens for one entry's share of the rate.
func (p *pacer) refill(at time.Time, entries int) {
	rate := frequentBytesPerSecond / float64(max(entries, 1))
	if !p.refilledAt.IsZero() {
		p.tokens += at.Sub(p.refilledAt).Seconds() * rate
	}
	p.tokens = min(p.tokens, max(burstBytes, rate))
	p.refilledAt = at
}

// next removes the first register from the queue and returns it with its value, false if none may be written now.
func (p *pacer) next() (register, string, bool) {
	if len(p.queue) == 0 {
		return register{}, "", false
	}
	r := p.queue[0]
	value := p.values[r]
	cost := float64(factOverheadBytes + len(r.subject) + len(value))
	if p.tokens < min(cost, burstBytes) {
		return register{}, "", false
	}
	p.tokens -= cost
	p.queue = p.queue[1:]
	delete(p.values, r)
	return r, value, true
}

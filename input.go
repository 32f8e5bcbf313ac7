package rail

import "time"

// Event is anything that the reducer takes in.
type Event interface {
	// EventName returns the name in the time line.
	EventName() string
}

// Effect is anything that the reducer asks to be done.
type Effect interface {
	// EffectName returns the name in the time line.
	EffectName() string
}

// Input is one event with the time and the random number that the reducer may use for it.
type Input struct {
	event  Event
	at     time.Time
	random uint64
}

// NewInput returns the event stamped with time and random number.
func NewInput(event Event, at time.Time, random uint64) Input {
	return Input{event: event, at: at, random: random}
}

// Event returns the event.
func (in Input) Event() Event { return in.event }

// At returns the time at which the event was taken in.
func (in Input) At() time.Time { return in.at }

// Random returns a uniform random number drawn for this input.
func (in Input) Random() uint64 { return in.random }

// Reducer is one reducer; it owns its state and is called from one goroutine.
type Reducer interface {
	// Reduce changes the state by the input and returns what is to be done.
	Reduce(in Input) []Effect
}

package rail

import "time"

// Event is an input of the reducer.
type Event interface {
	// EventName returns the name in the timeline.
	EventName() string
}

// Effect is an action that the reducer asks the runner to perform.
type Effect interface {
	// EffectName returns the name in the timeline.
	EffectName() string
}

// Input is one event with the time and the random number for its processing.
type Input struct {
	event  Event
	at     time.Time
	random uint64
}

// NewInput returns the event with its time and random number.
func NewInput(event Event, at time.Time, random uint64) Input {
	return Input{event: event, at: at, random: random}
}

// Event returns the event.
func (in Input) Event() Event { return in.event }

// At returns the time at which the reducer processes the event.
func (in Input) At() time.Time { return in.at }

// Random returns a uniform random number generated for this input.
func (in Input) Random() uint64 { return in.random }

// Reducer processes events; it owns its state and is called from one goroutine.
type Reducer interface {
	// Reduce applies the input to the state and returns the effects to perform.
	Reduce(in Input) []Effect
}

package capacity

import (
	"time"

	"dandelionrail.org/rail/estimate"
)

// Engine is a typical engine of a service with the shortest latency goal of its routes.
type Engine struct {
	rates estimate.Rates
	slots int
	goal  time.Duration
}

// NewEngine returns an engine with its rates, the number of requests that it runs at once and the shortest latency goal, zero if there is none.
func NewEngine(rates estimate.Rates, slots int, goal time.Duration) Engine {
	return Engine{rates: rates, slots: slots, goal: goal}
}

// Known reports whether the rates of the engine were estimated.
func (e Engine) Known() bool {
	return e.rates.Known() && e.rates.PromptTokensPerSecond() > 0 && e.rates.Step(1) > 0 && e.slots > 0
}

// Rates returns the rates of the engine.
func (e Engine) Rates() estimate.Rates { return e.rates }

// Goal returns the shortest latency goal, zero if there is none.
func (e Engine) Goal() time.Duration { return e.goal }

// running returns the number of requests that the engine is planned to run at once: a burst finds free slots.
func (e Engine) running() int { return max(1, int(float64(e.slots)/burst)) }

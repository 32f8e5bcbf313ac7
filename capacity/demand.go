package capacity

import (
	"math"
	"time"
)

// MeasuringTime is the time constant of the moving averages in which gateways measure the demand.
const MeasuringTime = time.Second

// Demand is what the requests of a service ask of its engines, over all gateways.
type Demand struct {
	prompt, promptSquares, output float64
	waiting                       int64
	// gateways is the number of gateways that measured the demand, registered the number of all.
	gateways, registered int
}

// NewDemand returns a demand in tokens a second: prompt tokens that are not cached, the squares of these tokens of each request, and output
// tokens.
func NewDemand(prompt, promptSquares, output float64) Demand {
	return Demand{prompt: prompt, promptSquares: promptSquares, output: output, gateways: 1, registered: 1}
}

// WithBacklog returns a copy with the prompt tokens of the requests that wait for their first token.
func (d Demand) WithBacklog(waiting int64) Demand { d.waiting = waiting; return d }

// WithGateways returns a copy with the number of gateways that measured it and the number of those that are registered.
func (d Demand) WithGateways(measured, registered int) Demand {
	d.gateways, d.registered = max(1, measured), registered
	return d
}

// minReporting is the percentage of the registered gateways of which the demand must be known for it to be taken as all of it.
const minReporting = 90

// Whole reports whether the demand is that of nearly all gateways: that of the others may still arrive.
func (d Demand) Whole() bool { return 100*d.gateways >= minReporting*d.registered }

// Prompt returns the prompt tokens a second that are not cached.
func (d Demand) Prompt() float64 { return d.prompt }

// Output returns the output tokens a second.
func (d Demand) Output() float64 { return d.output }

// Waiting returns the prompt tokens of the requests that wait for their first token.
func (d Demand) Waiting() int64 { return d.waiting }

// Gateways returns the number of gateways that measured the demand.
func (d Demand) Gateways() int { return d.gateways }

// meanPrompt returns the mean prompt of a request, weighted by its tokens: of a mixture it is close to the large requests.
func (d Demand) meanPrompt() float64 {
	if d.prompt <= 0 {
		return 0
	}
	return d.promptSquares / d.prompt
}

// deviation returns the relative standard deviation of the measured prompt tokens if requests arrive independently of each other.
func (d Demand) deviation() float64 {
	if d.prompt <= 0 {
		return 0
	}
	return math.Sqrt(d.promptSquares/(2*MeasuringTime.Seconds())) / d.prompt
}

package capacity

import (
	"math"
	"time"
)

const (
	// burst is the factor by which the demand grows within a second, faster than a new engine boots: a burst must not exceed what the
	// engines can do, nor their slots.
	burst = 1.7
	// bootTime is how long a new engine needs until it serves.
	bootTime = 4 * time.Second
	// missed is the share of the requests whose first token may miss the latency goal because of queueing.
	missed = 0.05
	// choices is the number of engines whose queues a placement is assumed to compare: it compares all of them, by reports that are up to a
	// second old.
	choices = 2
	// minUtilisation is the utilisation that is aimed at if prompts in process take longer than the goal.
	minUtilisation = 0.3
	// maxBacklogShare bounds the engines for the backlog, as a share of those for the demand: the backlog drains.
	maxBacklogShare = 0.5
	// chunkTokens is the number of prompt tokens that an engine processes between two decoding steps.
	chunkTokens = 2048
)

// Need is the number of engines that a demand needs, with what it is derived from.
type Need struct {
	work, utilisation, backlog float64
}

// NewNeed returns the need of the demand: the work of the requests over the utilisation at which the latency goal is met, and the engines that
// drain the backlog within the boot time of an engine.
func NewNeed(d Demand, e Engine) Need {
	running := e.running()
	step := e.rates.Step(running).Seconds()
	n := Need{work: d.prompt/e.rates.PromptTokensPerSecond() + d.output*step/float64(running), utilisation: 1 / burst}
	if e.goal <= 0 {
		return n
	}
	// The queueing delay of an engine at the utilisation u exceeds the goal with a probability of at most exp(-goal(1-u)/m), where m is the
	// mean remaining time of the prompt in process; that of all engines that are compared does with the product of these. The route with the
	// shortest goal has short prompts, so that its own prompt takes little of it.
	m := d.meanPrompt() / 2 * (1/e.rates.PromptTokensPerSecond() + step/chunkTokens)
	n.utilisation = min(n.utilisation, max(minUtilisation, 1+math.Log(missed)/choices*m/e.goal.Seconds()))
	if excess := float64(d.waiting) - d.prompt*e.goal.Seconds()/2; excess > 0 { // Others get their first token within half of the goal.
		n.backlog = excess / e.rates.PromptTokensPerSecond() / bootTime.Seconds()
		n.backlog = min(n.backlog, maxBacklogShare*max(1, n.work/n.utilisation))
	}
	return n
}

// Engines returns the number of engines.
func (n Need) Engines() float64 { return n.work/n.utilisation + n.backlog }

// Work returns the number of engines that the requests would keep busy all the time.
func (n Need) Work() float64 { return n.work }

// Utilisation returns the share of the time that an engine is planned to be busy.
func (n Need) Utilisation() float64 { return n.utilisation }

// Backlog returns the number of engines that drain the backlog.
func (n Need) Backlog() float64 { return n.backlog }

package estimate

import "time"

// Rates describes how fast an upstream works.
type Rates struct {
	promptTokensPerSecond float64
	step, stepPerRequest  time.Duration
	service               time.Duration
	// pairs is the time in seconds that an engine takes for each pair of a prompt token with one before it.
	pairs float64
	known bool
}

// secondsPerPair is the time for a pair of prompt tokens at an engine with the default step time, from the measurements in
// docs/hard-load.md: 0.3 ms per million pairs.
const secondsPerPair = 0.3e-9

// NewRates returns the rates of an engine: the prompt tokens that it processes in a second, the duration of a decoding step without
// other requests, and what each request adds to it.
func NewRates(promptTokensPerSecond float64, step, stepPerRequest time.Duration) Rates {
	return Rates{promptTokensPerSecond: promptTokensPerSecond, step: step, stepPerRequest: stepPerRequest, known: true}
}

// WithService returns a copy with the time that a plain request takes at an idle upstream.
func (r Rates) WithService(d time.Duration) Rates {
	r.service = d
	return r
}

// Default returns the rates that are assumed before anything was observed.
func Default() Rates {
	r := NewRates(55_000, 2890*time.Microsecond, 101*time.Microsecond).WithService(15 * time.Millisecond)
	r.known = false
	return r
}

// Known reports whether the rates were estimated from answers, false for Default.
func (r Rates) Known() bool { return r.known }

// PromptTokensPerSecond returns the prompt tokens that an engine processes in a second.
func (r Rates) PromptTokensPerSecond() float64 { return r.promptTokensPerSecond }

// Prefill returns the time that an engine takes for the prompt tokens.
func (r Rates) Prefill(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / r.promptTokensPerSecond * float64(time.Second))
}

// PrefillAfter returns the time that an engine takes for the prompt tokens that follow others in its cache. It includes the part that
// grows with the square of the length, if that is known.
func (r Rates) PrefillAfter(tokens, cached int64) time.Duration {
	return r.Prefill(tokens) + r.pairTime(tokens, cached)
}

func (r Rates) pairTime(tokens, cached int64) time.Duration {
	n := float64(tokens)
	return time.Duration(r.pairs * n * (float64(max(0, cached)) + n/2) * float64(time.Second))
}

// Step returns the duration of a decoding step of an engine with so many requests.
func (r Rates) Step(running int) time.Duration {
	return r.step + time.Duration(running)*r.stepPerRequest
}

// StepPerRequest returns what each request adds to a decoding step.
func (r Rates) StepPerRequest() time.Duration { return r.stepPerRequest }

// Service returns the time that a plain request takes at an idle upstream.
func (r Rates) Service() time.Duration { return r.service }

// PromptRatio returns the ratio of the time per prompt token to the default one, from the time to the first event of a request that met
// no other prompts: slowness is the ratio of the engine's steps, tokens the prompt tokens that were not cached, steps the decoding
// steps among them, running the requests that ran.
func PromptRatio(took time.Duration, slowness float64, tokens, cached int64, steps, running int) float64 {
	d := Default()
	pairs := Rates{pairs: secondsPerPair}.pairTime(tokens, cached)
	linear := scale(took, 1/slowness) - pairs - d.Step(running)*time.Duration(steps)
	return max(minRatio, linear.Seconds()/d.Prefill(tokens).Seconds())
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

package recording

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const (
	minSharedWords = 96
	maxSharedWords = 480
	minOwnWords    = 8
	maxOwnWords    = 60
	minTokens      = 30
	maxTokens      = 90
	// keyShare is the part of the orders that carry the caller's own key.
	keyShare = 0.3
	// peakLow and peakHigh are the rates before dawn and at dawn, as parts of the mean rate.
	peakLow  = 0.4
	peakHigh = 1.9
)

// recorder makes one trace.
type recorder struct {
	plan   plan
	random *rand.Rand
	number int
}

// Generate returns the trace of the name; equal seeds give equal traces.
func Generate(name string, seed uint64) (trace.Trace, error) {
	p, ok := planOf(name)
	if !ok {
		return trace.Trace{}, errors.Errorf("unknown trace %q, known are %v", name, Names())
	}
	r := &recorder{plan: p, random: rand.New(rand.NewPCG(seed, 0))}
	requests := slices.Concat(
		r.arrivals(p.streams, r.stream),
		r.arrivals(p.lookups, r.lookup),
		r.arrivals(p.orders, r.order),
	)
	slices.SortStableFunc(requests, func(a, b trace.Request) int { return int(a.Offset() - b.Offset()) })
	return trace.New(p.name, p.user, seed, requests, p.faults), nil
}

// arrivals makes requests at random times; at the peak the rate follows the rise of the morning.
func (r *recorder) arrivals(perSecond float64, request func(at time.Duration) trace.Request) []trace.Request {
	var requests []trace.Request
	highest := perSecond
	if r.plan.peak {
		highest *= peakHigh
	}
	at := 0.0
	for {
		at += r.random.ExpFloat64() / highest
		if at >= r.plan.length.Seconds() {
			return requests
		}
		if r.random.Float64() < perSecond*r.rise(at)/highest {
			requests = append(requests, request(time.Duration(at*1000)*time.Millisecond))
		}
	}
}

// rise returns the rate at the time as a part of the mean rate.
func (r *recorder) rise(at float64) float64 {
	if !r.plan.peak {
		return 1
	}
	part := at / r.plan.length.Seconds()
	return peakLow + (peakHigh-peakLow)*math.Pow(math.Sin(math.Pi*part), 2)
}

func (r *recorder) caller() trace.Caller {
	lot := r.random.Float64()
	for _, t := range r.plan.teams {
		if lot -= t.share; lot < 0 {
			return trace.NewCaller(t.name, Token(t.name))
		}
	}
	last := r.plan.teams[len(r.plan.teams)-1].name
	return trace.NewCaller(last, Token(last))
}

// Token returns the bearer token of a team in the shipped traces.
func Token(team string) string { return team + "-token" }

func (r *recorder) between(low, high int) int { return low + r.random.IntN(high-low+1) }

func (r *recorder) stream(at time.Duration) trace.Request {
	// Few heads are shared by many requests and many by few.
	shared := int(math.Pow(r.random.Float64(), 2) * float64(r.plan.shared))
	words := minSharedWords + shared*(maxSharedWords-minSharedWords)/r.plan.shared
	prompt := trace.NewPrompt(uint64(shared), words, r.random.Uint64N(1<<40), r.between(minOwnWords, maxOwnWords))
	return trace.NewStream(at, r.caller(), r.plan.model, prompt, r.between(minTokens, maxTokens))
}

func (r *recorder) lookup(at time.Duration) trace.Request {
	path := fmt.Sprintf("%s/%d", r.plan.lookup.path, r.between(1, 500))
	return trace.NewLookup(at, r.caller(), r.plan.lookup.route, path)
}

func (r *recorder) order(at time.Duration) trace.Request {
	r.number++
	claim := trace.ByTicket
	if r.random.Float64() < keyShare {
		claim = trace.ByKey
	}
	path := fmt.Sprintf("%s/%d", r.plan.order.path, r.number)
	body := fmt.Sprintf(`{"number":%d,"pieces":%d}`, r.number, r.between(1, 40))
	return trace.NewOrder(at, r.caller(), r.plan.order.route, path, body, claim)
}

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
	// keyShare is the share of the orders that carry an idempotency key.
	keyShare = 0.3
	// minRateFactor and maxRateFactor are the rates at the ends and in the middle of a trace with a peak, as multiples of
	// the plan's rate: the traffic before dawn and at dawn.
	minRateFactor = 0.4
	maxRateFactor = 1.9
)

// generator generates one trace.
type generator struct {
	plan       plan
	random     *rand.Rand
	orderCount int
}

// Generate returns the named trace; equal seeds give equal traces.
func Generate(name string, seed uint64) (trace.Trace, error) {
	p, ok := findPlan(name)
	if !ok {
		return trace.Trace{}, errors.Errorf("unknown trace %q, known are %v", name, Names())
	}
	r := &generator{plan: p, random: rand.New(rand.NewPCG(seed, 0))}
	requests := slices.Concat(
		r.arrivals(p.streamsPerSecond, r.stream),
		r.arrivals(p.lookupsPerSecond, r.lookup),
		r.arrivals(p.ordersPerSecond, r.order),
	)
	slices.SortStableFunc(requests, func(a, b trace.Request) int { return int(a.Offset() - b.Offset()) })
	return trace.New(p.name, p.user, seed, requests, p.faults), nil
}

// arrivals generates requests as a Poisson process. Candidates arrive at the maximum rate, and each is kept with the
// probability that gives the rate at its time.
func (r *generator) arrivals(perSecond float64, request func(at time.Duration) trace.Request) []trace.Request {
	var requests []trace.Request
	maxRate := perSecond
	if r.plan.peak {
		maxRate *= maxRateFactor
	}
	at := 0.0
	for {
		at += r.random.ExpFloat64() / maxRate
		if at >= r.plan.duration.Seconds() {
			return requests
		}
		if r.random.Float64() < perSecond*r.rateFactor(at)/maxRate {
			requests = append(requests, request(time.Duration(at*1000)*time.Millisecond))
		}
	}
}

// rateFactor returns the rate at the time, in seconds, as a multiple of the plan's rate.
func (r *generator) rateFactor(at float64) float64 {
	if !r.plan.peak {
		return 1
	}
	progress := at / r.plan.duration.Seconds()
	return minRateFactor + (maxRateFactor-minRateFactor)*math.Pow(math.Sin(math.Pi*progress), 2)
}

func (r *generator) pickCaller() trace.Caller {
	pick := r.random.Float64()
	for _, t := range r.plan.teams {
		if pick -= t.share; pick < 0 {
			return trace.NewCaller(t.name, Token(t.name))
		}
	}
	last := r.plan.teams[len(r.plan.teams)-1].name
	return trace.NewCaller(last, Token(last))
}

// Token returns the bearer token of a team in the shipped traces.
func Token(team string) string { return team + "-token" }

func (r *generator) intBetween(low, high int) int { return low + r.random.IntN(high-low+1) }

func (r *generator) stream(at time.Duration) trace.Request {
	// A few prefixes are shared by many requests, and many prefixes by a few requests.
	shared := int(math.Pow(r.random.Float64(), 2) * float64(r.plan.sharedPrefixes))
	words := minSharedWords + shared*(maxSharedWords-minSharedWords)/r.plan.sharedPrefixes
	prompt := trace.NewPrompt(uint64(shared), words, r.random.Uint64N(1<<40), r.intBetween(minOwnWords, maxOwnWords))
	return trace.NewStream(at, r.pickCaller(), r.plan.model, prompt, r.intBetween(minTokens, maxTokens))
}

func (r *generator) lookup(at time.Duration) trace.Request {
	path := fmt.Sprintf("%s/%d", r.plan.lookup.path, r.intBetween(1, 500))
	return trace.NewLookup(at, r.pickCaller(), r.plan.lookup.route, path)
}

func (r *generator) order(at time.Duration) trace.Request {
	r.orderCount++
	claim := trace.ByTicket
	if r.random.Float64() < keyShare {
		claim = trace.ByKey
	}
	path := fmt.Sprintf("%s/%d", r.plan.order.path, r.orderCount)
	body := fmt.Sprintf(`{"number":%d,"pieces":%d}`, r.orderCount, r.intBetween(1, 40))
	return trace.NewOrder(at, r.pickCaller(), r.plan.order.route, path, body, claim)
}

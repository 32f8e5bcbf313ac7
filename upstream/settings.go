package upstream

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the weights of the cost estimate and the limits on stored state.
type Settings struct {
	prefillRate     float64
	serviceTime     time.Duration
	contentionDelay time.Duration
	crossDomainCost time.Duration
	onDemandCost    time.Duration
	prefixBlocks    int
	replicas        int
	samples         int
	assumedHit      float64
	maxPrefixes     int
	prefixTTL       time.Duration
}

// Defaults returns settings that suit the deployments of both users.
func Defaults() Settings {
	return Settings{
		prefillRate:     2500,
		serviceTime:     3 * time.Second,
		contentionDelay: 200 * time.Millisecond,
		crossDomainCost: time.Millisecond,
		onDemandCost:    2 * time.Millisecond,
		prefixBlocks:    64,
		replicas:        2,
		samples:         4,
		assumedHit:      0.5,
		maxPrefixes:     1 << 15,
		prefixTTL:       time.Minute,
	}
}

// WithPrefillRate returns a copy for engines that prefill this many prompt tokens per second.
func (s Settings) WithPrefillRate(tokensPerSecond float64) Settings {
	s.prefillRate = tokensPerSecond
	return s
}

// WithServiceTime returns a copy that starts with this estimate of how long a request holds its slot.
func (s Settings) WithServiceTime(d time.Duration) Settings { s.serviceTime = d; return s }

// WithContentionDelay returns a copy in which a full batch delays the first token by d; a partly full one in proportion.
func (s Settings) WithContentionDelay(d time.Duration) Settings { s.contentionDelay = d; return s }

// WithCrossDomainCost returns a copy that adds d to the cost of an upstream in another failure domain.
func (s Settings) WithCrossDomainCost(d time.Duration) Settings { s.crossDomainCost = d; return s }

// WithOnDemandCost returns a copy that adds d to the cost of an on-demand upstream: a reclaimable one is preferred unless its expected wait is longer by more than d.
func (s Settings) WithOnDemandCost(d time.Duration) Settings { s.onDemandCost = d; return s }

// WithPrefixBlocks returns a copy that hashes at most n leading blocks of a prompt.
func (s Settings) WithPrefixBlocks(n int) Settings { s.prefixBlocks = n; return s }

// WithReplicas returns a copy that considers n upstreams by rendezvous hash, over which a prefix without a known holder spreads.
func (s Settings) WithReplicas(n int) Settings { s.replicas = n; return s }

// WithSamples returns a copy that also considers n random upstreams.
func (s Settings) WithSamples(n int) Settings { s.samples = n; return s }

// WithMaxPrefixes returns a copy that indexes the holders of at most n prefixes.
func (s Settings) WithMaxPrefixes(n int) Settings { s.maxPrefixes = n; return s }

// Validate returns an error for the first invalid group of settings.
func (s Settings) Validate() error {
	switch {
	case s.prefillRate <= 0 || s.serviceTime <= 0 || s.contentionDelay < 0 || s.crossDomainCost < 0 || s.onDemandCost < 0:
		return rail.NewError(rail.KindBadSettings, "upstream costs: prefill %g/s, service %s, crowd %s, distance %s, price %s", s.prefillRate, s.serviceTime, s.contentionDelay, s.crossDomainCost, s.onDemandCost)
	case s.prefixBlocks < 1 || s.replicas < 1 || s.replicas > maxReplicas || s.samples < 1 || s.samples > maxSamples:
		return rail.NewError(rail.KindBadSettings, "upstream candidates: blocks %d, replicas %d of 1 to %d, samples %d of 1 to %d", s.prefixBlocks, s.replicas, maxReplicas, s.samples, maxSamples)
	case s.maxPrefixes < 1:
		return rail.NewError(rail.KindBadSettings, "upstream holdings: %d", s.maxPrefixes)
	}
	return nil
}

package upstream

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the weights of the expected cost and the bounds of what is remembered.
type Settings struct {
	prefill   float64
	service   time.Duration
	crowd     time.Duration
	distance  time.Duration
	price     time.Duration
	blocks    int
	replicas  int
	samples   int
	affinity  float64
	holdings  int
	trust     time.Duration
	loadBound float64
}

// Defaults returns the settings for both users' sizes.
func Defaults() Settings {
	return Settings{
		prefill:   2500,
		service:   3 * time.Second,
		crowd:     200 * time.Millisecond,
		distance:  time.Millisecond,
		price:     2 * time.Millisecond,
		blocks:    64,
		replicas:  2,
		samples:   4,
		affinity:  0.5,
		holdings:  1 << 15,
		trust:     time.Minute,
		loadBound: 1.25,
	}
}

// WithPrefillRate returns a copy for engines that compute so many prompt tokens a second.
func (s Settings) WithPrefillRate(tokensPerSecond float64) Settings {
	s.prefill = tokensPerSecond
	return s
}

// WithServiceTime returns a copy that expects a request to hold its slot so long, until it has seen some.
func (s Settings) WithServiceTime(d time.Duration) Settings { s.service = d; return s }

// WithContentionDelay returns a copy in which a full batch delays the first token by so much.
func (s Settings) WithContentionDelay(d time.Duration) Settings { s.crowd = d; return s }

// WithCrossDomainCost returns a copy in which another domain costs so much.
func (s Settings) WithCrossDomainCost(d time.Duration) Settings { s.distance = d; return s }

// WithOnDemandCost returns a copy that waits so long for a reclaimable upstream rather than take one on demand.
func (s Settings) WithOnDemandCost(d time.Duration) Settings { s.price = d; return s }

// WithPrefixBlocks returns a copy that tells so many leading prompt blocks apart.
func (s Settings) WithPrefixBlocks(n int) Settings { s.blocks = n; return s }

// WithReplicas returns a copy that spreads a prefix over so many upstreams before any is known to hold it.
func (s Settings) WithReplicas(n int) Settings { s.replicas = n; return s }

// WithSamples returns a copy that also looks at so many random upstreams.
func (s Settings) WithSamples(n int) Settings { s.samples = n; return s }

// WithMaxPrefixes returns a copy that remembers the holders of so many prefixes.
func (s Settings) WithMaxPrefixes(n int) Settings { s.holdings = n; return s }

// Validate reports the first setting that can't work.
func (s Settings) Validate() error {
	switch {
	case s.prefill <= 0 || s.service <= 0 || s.crowd < 0 || s.distance < 0 || s.price < 0:
		return rail.NewError(rail.KindBadSettings, "upstream costs: prefill %g/s, service %s, crowd %s, distance %s, price %s", s.prefill, s.service, s.crowd, s.distance, s.price)
	case s.blocks < 1 || s.replicas < 1 || s.replicas > maxReplicas || s.samples < 1 || s.samples > maxSamples:
		return rail.NewError(rail.KindBadSettings, "upstream candidates: blocks %d, replicas %d of 1 to %d, samples %d of 1 to %d", s.blocks, s.replicas, maxReplicas, s.samples, maxSamples)
	case s.holdings < 1:
		return rail.NewError(rail.KindBadSettings, "upstream holdings: %d", s.holdings)
	}
	return nil
}

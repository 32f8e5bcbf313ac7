package emulator

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings configure the emulated workers and their traffic.
type Settings struct {
	name                   string
	seed                   uint64
	domains                []rail.Domain
	workers                int
	entries                int
	slots                  int
	cacheTokens            int
	prefillTokensPerSecond float64
	tokenTime              time.Duration
	batchSlowdown          float64
	onDemandEvery          int
	onDemandSpeedup        float64
	oneWayLatency          time.Duration
	reportInterval         time.Duration
	reportLag              time.Duration
	cacheEventLag          time.Duration
	cacheEventLoss         float64
	length                 time.Duration
	baseRate               float64
	peakRate               float64
	target                 time.Duration
	reclaimAt              time.Duration
	reclaimLength          time.Duration
}

// commonSettings returns the settings that are the same for both users' deployments.
func commonSettings(name string, seed uint64) Settings {
	return Settings{
		name: name, seed: seed, slots: 8, cacheTokens: 24_000, prefillTokensPerSecond: 2_500, tokenTime: 20 * time.Millisecond,
		batchSlowdown: 0.1, onDemandSpeedup: 1.5, reportInterval: 500 * time.Millisecond, reportLag: 300 * time.Millisecond,
		cacheEventLag: time.Second, cacheEventLoss: 0.1, length: 8 * time.Minute, target: time.Second,
		reclaimAt: 5 * time.Minute, reclaimLength: 90 * time.Second,
	}
}

// Harrowgate returns twenty model workers in four domains, one in four of them on demand.
func Harrowgate(seed uint64) Settings {
	s := commonSettings("harrowgate", seed)
	s.domains = []rail.Domain{"works-hall", "old-mill", "canal-shed", "front-shop"}
	s.workers, s.entries, s.onDemandEvery = 20, 8, 4
	s.oneWayLatency = 500 * time.Microsecond
	s.baseRate, s.peakRate = 20, 36
	return s
}

// Valcamonica returns ten model workers in four domains, one in five of them on demand.
func Valcamonica(seed uint64) Settings {
	s := commonSettings("valcamonica", seed)
	s.domains = []rail.Domain{"breno", "edolo", "darfo", "sondrio"}
	s.workers, s.entries, s.onDemandEvery = 10, 6, 5
	s.oneWayLatency = 1500 * time.Microsecond
	s.baseRate, s.peakRate = 9, 17
	return s
}

// Name returns the name of the deployment.
func (s Settings) Name() string { return s.name }

// Seed returns the seed of all random numbers.
func (s Settings) Seed() uint64 { return s.seed }

// Workers returns the number of model workers.
func (s Settings) Workers() int { return s.workers }

// WithWorkers returns a copy with the given number of model workers.
func (s Settings) WithWorkers(n int) Settings { s.workers = n; return s }

// WithoutReclaim returns a copy in which no domain is reclaimed.
func (s Settings) WithoutReclaim() Settings { s.reclaimAt = 0; return s }

// WithLength returns a copy with the given length of the trace.
func (s Settings) WithLength(d time.Duration) Settings { s.length = d; return s }

// Validate returns an error if one of the counts or the length is not positive.
func (s Settings) Validate() error {
	if len(s.domains) == 0 || s.workers < 1 || s.entries < 1 || s.slots < 1 || s.length <= 0 {
		return rail.NewError(rail.KindBadSettings, "emulator: %d domains, %d workers, %d entries, %d slots, length %s",
			len(s.domains), s.workers, s.entries, s.slots, s.length)
	}
	return nil
}

package emulator

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the emulated machines and the traffic that they get.
type Settings struct {
	name        string
	seed        uint64
	domains     []rail.Domain
	workers     int
	entries     int
	slots       int
	cacheTokens int
	prefill     float64
	tokenTime   time.Duration
	batchDrag   float64
	onDemand    int
	speedup     float64
	oneWay      time.Duration
	reportEvery time.Duration
	reportLag   time.Duration
	cacheLag    time.Duration
	cacheGaps   float64
	length      time.Duration
	rate        float64
	peak        float64
	target      time.Duration
	wave        time.Duration
	waveLength  time.Duration
}

// common returns what both users' sizes share.
func common(name string, seed uint64) Settings {
	return Settings{
		name: name, seed: seed, slots: 8, cacheTokens: 24_000, prefill: 2_500, tokenTime: 20 * time.Millisecond,
		batchDrag: 0.1, speedup: 1.5, reportEvery: 500 * time.Millisecond, reportLag: 300 * time.Millisecond,
		cacheLag: time.Second, cacheGaps: 0.1, length: 8 * time.Minute, target: time.Second,
		wave: 5 * time.Minute, waveLength: 90 * time.Second,
	}
}

// Harrowgate returns twenty model workers in four domains, one in four of them on demand.
func Harrowgate(seed uint64) Settings {
	s := common("harrowgate", seed)
	s.domains = []rail.Domain{"works-hall", "old-mill", "canal-shed", "front-shop"}
	s.workers, s.entries, s.onDemand = 20, 8, 4
	s.oneWay = 500 * time.Microsecond
	s.rate, s.peak = 20, 36
	return s
}

// Valcamonica returns ten model workers in four domains, one in five of them on demand.
func Valcamonica(seed uint64) Settings {
	s := common("valcamonica", seed)
	s.domains = []rail.Domain{"breno", "edolo", "darfo", "sondrio"}
	s.workers, s.entries, s.onDemand = 10, 6, 5
	s.oneWay = 1500 * time.Microsecond
	s.rate, s.peak = 9, 17
	return s
}

// Name returns the name of the size.
func (s Settings) Name() string { return s.name }

// Seed returns the seed of every random number.
func (s Settings) Seed() uint64 { return s.seed }

// Workers returns the number of model workers.
func (s Settings) Workers() int { return s.workers }

// WithWorkers returns a copy with another number of model workers.
func (s Settings) WithWorkers(n int) Settings { s.workers = n; return s }

// WithoutReclaim returns a copy in which nothing is reclaimed.
func (s Settings) WithoutReclaim() Settings { s.wave = 0; return s }

// WithLength returns a copy of another length.
func (s Settings) WithLength(d time.Duration) Settings { s.length = d; return s }

// Validate reports the first setting that can't work.
func (s Settings) Validate() error {
	if len(s.domains) == 0 || s.workers < 1 || s.entries < 1 || s.slots < 1 || s.length <= 0 {
		return rail.NewError(rail.KindBadSettings, "emulator: %d domains, %d workers, %d entries, %d slots, length %s",
			len(s.domains), s.workers, s.entries, s.slots, s.length)
	}
	return nil
}

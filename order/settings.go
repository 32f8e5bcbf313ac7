package order

import (
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

const (
	defaultWindow              = 5 * time.Minute
	defaultRetention           = time.Hour
	defaultCommitDelay         = 50 * time.Millisecond
	defaultClaimTimeout        = 2 * time.Second
	defaultMaxOutcomes         = 100_000
	defaultMaxOpenTickets      = 50_000
	defaultMaxAppendsPerSecond = 200

	// remoteOutcomeDivisor divides the outcome limit; the result bounds the kept outcomes of other entries' tickets.
	remoteOutcomeDivisor = 4
	// claimTimeoutCommitDelays is the lower bound of the claim timeout, in commit delays, for large fleets.
	claimTimeoutCommitDelays = 3
	// maxKeySkew is how far a caller's clock may be ahead of the log's.
	maxKeySkew = time.Minute
)

// Settings are the limits and delays of the order reducer.
type Settings struct {
	window              time.Duration
	retention           time.Duration
	commitDelay         time.Duration
	claimTimeout        time.Duration
	maxOutcomes         int
	maxOpenTickets      int
	maxAppendsPerSecond int
	firstOffset         rail.Offset
}

// Defaults returns settings suitable for several hundred keyed orders a second.
func Defaults() Settings {
	return Settings{
		window:              defaultWindow,
		retention:           defaultRetention,
		commitDelay:         defaultCommitDelay,
		claimTimeout:        defaultClaimTimeout,
		maxOutcomes:         defaultMaxOutcomes,
		maxOpenTickets:      defaultMaxOpenTickets,
		maxAppendsPerSecond: defaultMaxAppendsPerSecond,
	}
}

// WithWindow returns a copy with the time for which a key can be claimed after its creation, and for which a ticket is kept.
func (s Settings) WithWindow(d time.Duration) Settings { s.window = d; return s }

// WithRetention returns a copy for a log that keeps its records for at least d.
func (s Settings) WithRetention(d time.Duration) Settings { s.retention = d; return s }

// WithCommitDelay returns a copy with the minimum time between two appends of one entry.
func (s Settings) WithCommitDelay(d time.Duration) Settings { s.commitDelay = d; return s }

// WithClaimTimeout returns a copy that refuses a keyed order if its claim is not read back within d.
func (s Settings) WithClaimTimeout(d time.Duration) Settings { s.claimTimeout = d; return s }

// WithMaxOutcomes returns a copy that keeps at most n running or ended orders.
func (s Settings) WithMaxOutcomes(n int) Settings { s.maxOutcomes = n; return s }

// WithMaxOpenTickets returns a copy that keeps at most n unused tickets.
func (s Settings) WithMaxOpenTickets(n int) Settings { s.maxOpenTickets = n; return s }

// WithMaxAppendsPerSecond returns a copy in which all entries together append at most n times a second.
func (s Settings) WithMaxAppendsPerSecond(n int) Settings { s.maxAppendsPerSecond = n; return s }

// WithFirstOffset returns a copy for a log whose very first record has this offset.
func (s Settings) WithFirstOffset(o rail.Offset) Settings { s.firstOffset = o; return s }

// Window returns for how long after its creation a key can be claimed.
func (s Settings) Window() time.Duration { return s.window }

// commitDelayFor returns the minimum time between two appends of one entry in a fleet of the given number of entries.
func (s Settings) commitDelayFor(entries int) time.Duration {
	return max(s.commitDelay, time.Duration(entries)*time.Second/time.Duration(s.maxAppendsPerSecond))
}

// claimTimeoutFor returns how long a claim may take to be appended and read back in a fleet of the given number of entries.
func (s Settings) claimTimeoutFor(entries int) time.Duration {
	return max(s.claimTimeout, claimTimeoutCommitDelays*s.commitDelayFor(entries))
}

// Validate returns an error for the first invalid setting.
func (s Settings) Validate() error {
	switch {
	case s.window <= 0:
		return errors.New("order window must be above zero")
	case s.retention < 2*s.window+maxKeySkew:
		return errors.Errorf("log retention %v must be at least twice the order window %v plus %v", s.retention, s.window, maxKeySkew)
	case s.commitDelay <= 0:
		return errors.New("order commit delay must be above zero")
	case s.claimTimeout <= s.commitDelay:
		return errors.Errorf("order claim timeout %v must be above the commit delay %v", s.claimTimeout, s.commitDelay)
	case s.maxOutcomes <= 0:
		return errors.New("most order outcomes must be above zero")
	case s.maxAppendsPerSecond <= 0:
		return errors.New("most appends a second must be above zero")
	case s.maxOpenTickets <= 0:
		return errors.New("most open tickets must be above zero")
	}
	return nil
}

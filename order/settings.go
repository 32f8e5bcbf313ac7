package order

import (
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

const (
	defaultWindow       = 5 * time.Minute
	defaultRetention    = time.Hour
	defaultCommitDelay  = 50 * time.Millisecond
	defaultClaimTimeout = 2 * time.Second
	defaultOutcomes     = 100_000
	defaultOpenTickets  = 50_000
	defaultAppends      = 200

	// recordShare is the share of the outcomes, one in so many, that is kept of other entries' tickets.
	recordShare = 4
	// claimDelays is how many commit delays a claim may take in a large fleet.
	claimDelays = 3
	// keySkew is how far the clock of a caller may be ahead of the log's.
	keySkew = time.Minute
)

// Settings are the limits of the order part.
type Settings struct {
	window       time.Duration
	retention    time.Duration
	commitDelay  time.Duration
	claimTimeout time.Duration
	outcomes     int
	openTickets  int
	appends      int
	firstOffset  rail.Offset
}

// Defaults returns the settings that suit several hundred keyed orders a second.
func Defaults() Settings {
	return Settings{
		window:       defaultWindow,
		retention:    defaultRetention,
		commitDelay:  defaultCommitDelay,
		claimTimeout: defaultClaimTimeout,
		outcomes:     defaultOutcomes,
		openTickets:  defaultOpenTickets,
		appends:      defaultAppends,
	}
}

// WithWindow returns a copy in which a key can be claimed for so long after its birth, and a ticket is kept for so long.
func (s Settings) WithWindow(d time.Duration) Settings { s.window = d; return s }

// WithRetention returns a copy for a log that keeps its records for at least so long.
func (s Settings) WithRetention(d time.Duration) Settings { s.retention = d; return s }

// WithCommitDelay returns a copy that leaves so long between two appends.
func (s Settings) WithCommitDelay(d time.Duration) Settings { s.commitDelay = d; return s }

// WithClaimTimeout returns a copy that refuses a keyed order whose claim was not read back in time.
func (s Settings) WithClaimTimeout(d time.Duration) Settings { s.claimTimeout = d; return s }

// WithMaxOutcomes returns a copy that keeps at most so many orders, running or ended.
func (s Settings) WithMaxOutcomes(n int) Settings { s.outcomes = n; return s }

// WithMaxOpenTickets returns a copy that keeps at most so many unused tickets.
func (s Settings) WithMaxOpenTickets(n int) Settings { s.openTickets = n; return s }

// WithMaxAppendsPerSecond returns a copy in which all entries together append at most so often in a second.
func (s Settings) WithMaxAppendsPerSecond(perSecond int) Settings { s.appends = perSecond; return s }

// WithFirstOffset returns a copy for a log whose first record ever has this offset.
func (s Settings) WithFirstOffset(o rail.Offset) Settings { s.firstOffset = o; return s }

// Window returns for how long after its birth a key can be claimed.
func (s Settings) Window() time.Duration { return s.window }

// commitDelayOf returns the time between two appends of one entry in a fleet of so many.
func (s Settings) commitDelayOf(entries int) time.Duration {
	return max(s.commitDelay, time.Duration(entries)*time.Second/time.Duration(s.appends))
}

// claimTimeoutOf returns for how long a claim may wait for its append and read-back in a fleet of so many entries.
func (s Settings) claimTimeoutOf(entries int) time.Duration {
	return max(s.claimTimeout, claimDelays*s.commitDelayOf(entries))
}

// Validate returns the first fault of the settings.
func (s Settings) Validate() error {
	switch {
	case s.window <= 0:
		return errors.New("order window must be above zero")
	case s.retention < 2*s.window+keySkew:
		return errors.Errorf("log retention %v must be at least twice the order window %v plus %v", s.retention, s.window, keySkew)
	case s.commitDelay <= 0:
		return errors.New("order commit delay must be above zero")
	case s.claimTimeout <= s.commitDelay:
		return errors.Errorf("order claim timeout %v must be above the commit delay %v", s.claimTimeout, s.commitDelay)
	case s.outcomes <= 0:
		return errors.New("most order outcomes must be above zero")
	case s.appends <= 0:
		return errors.New("most appends a second must be above zero")
	case s.openTickets <= 0:
		return errors.New("most open tickets must be above zero")
	}
	return nil
}

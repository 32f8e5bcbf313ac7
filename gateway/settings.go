package gateway

import "time"

// Settings holds the settings of one gateway.
type Settings struct {
	name        string
	domain      string
	incarnation string
	startedAt   time.Time
	// firstStart reports whether this is the first start of the whole system.
	firstStart bool
	// retryRatio and retryExtra bound the retries over all gateways: a share of the requests, and a number in addition.
	retryRatio, retryExtra float64
	slack                  Slack
	// usageWindow is the length of a window in the usage reports.
	usageWindow time.Duration
	// lease is the time after which a duty lease expires if it is not renewed.
	lease time.Duration
	// exposeShare bounds the share of requests that go to a version on trial.
	exposeShare float64
	// messageMemory bounds the bytes of messages that are buffered, over all calls.
	messageMemory int64
	// spillover reports whether the share of requests that leaves the failure domain is decided, in place of a fixed cost.
	spillover bool
	// regions holds the region of each failure domain.
	regions map[string]string
}

// NewSettings returns the settings of the named gateway in the failure domain; each start has a new incarnation.
func NewSettings(name, domain, incarnation string, startedAt time.Time) Settings {
	return Settings{name: name, domain: domain, incarnation: incarnation, startedAt: startedAt, usageWindow: DefaultUsageWindow, lease: DefaultLease, messageMemory: DefaultMessageMemory, slack: NewSlack(DefaultQuotaWindow, 0, 0)}
}

const (
	// DefaultUsageWindow is the default length of a usage window.
	DefaultUsageWindow = 5 * time.Second
	// DefaultQuotaWindow is the default length of the window over which limits are enforced.
	DefaultQuotaWindow = 8 * time.Second
	// DefaultLease is the default duration of a duty lease.
	DefaultLease = 3 * time.Second
	// DefaultMessageMemory is the default bound on the bytes of messages that are buffered, over all calls.
	DefaultMessageMemory = 16 << 20
)

// WithRetries returns a copy with the bound on retries in a window of ten seconds over all gateways: a ratio to the requests, and a number in addition.
func (s Settings) WithRetries(ratio, extra float64) Settings {
	s.retryRatio, s.retryExtra = ratio, extra
	return s
}

// WithSlack returns a copy with the amount by which all gateways together may exceed a team's limit.
func (s Settings) WithSlack(slack Slack) Settings { s.slack = slack; return s }

// WithDuties returns a copy with the length of a usage window and the duration of a duty lease.
func (s Settings) WithDuties(window, lease time.Duration) Settings {
	s.usageWindow, s.lease = window, lease
	return s
}

// WithExposure returns a copy with the maximum share of requests that go to a version on trial.
func (s Settings) WithExposure(share float64) Settings { s.exposeShare = share; return s }

// WithMessageMemory returns a copy with the bound on the bytes of messages that are buffered, over all calls.
func (s Settings) WithMessageMemory(size int64) Settings { s.messageMemory = size; return s }

// WithSpillover returns a copy that states whether the share of requests that leaves the failure domain is decided.
func (s Settings) WithSpillover(enabled bool) Settings { s.spillover = enabled; return s }

// WithRegions returns a copy with the region of each failure domain.
func (s Settings) WithRegions(regions map[string]string) Settings { s.regions = regions; return s }

// WithFirstStart returns a copy that states whether this is the first start of the whole system.
func (s Settings) WithFirstStart(first bool) Settings { s.firstStart = first; return s }

// Lease returns the time after which a duty lease expires if it is not renewed.
func (s Settings) Lease() time.Duration { return s.lease }

// Name returns the gateway's name.
func (s Settings) Name() string { return s.name }

// Domain returns the gateway's failure domain.
func (s Settings) Domain() string { return s.domain }

// Incarnation identifies this start of the gateway.
func (s Settings) Incarnation() string { return s.incarnation }

// Slack is the amount by which all gateways together may exceed a team's limit in any window.
type Slack struct {
	window time.Duration
	// over is a share of the limit, tokens an absolute amount in addition.
	over, tokens float64
}

// NewSlack returns the slack in windows of the length: a share of a window's limit and a number of tokens.
func NewSlack(window time.Duration, over, tokens float64) Slack {
	return Slack{window: window, over: over, tokens: tokens}
}

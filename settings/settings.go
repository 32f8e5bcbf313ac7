package settings

import (
	"net"
	"net/url"
	"time"

	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/order"
)

// Settings says how one entry daemon runs.
type Settings struct {
	id            string
	domain        string
	environment   string
	listen        string
	controlListen string
	platform      string
	peers         []string
	listInterval  time.Duration
	readWait      time.Duration
	loadInterval  time.Duration
	peerInterval  time.Duration
	maxBodyBytes  int
	queueLength   int
	maxWaiting    time.Duration
	acceptFor     time.Duration
	certificate   string
	key           string
	authority     string
	buys          bool
	window        time.Duration
	retention     time.Duration
	outcomes      int
	firstToken    time.Duration
	betweenTokens time.Duration
	notice        time.Duration
	logLevel      string
}

const (
	defaultListInterval = time.Second
	defaultReadWait     = time.Second
	defaultLoadInterval = 500 * time.Millisecond
	defaultPeerInterval = time.Second
	defaultMaxBodyBytes = 1 << 20
	defaultQueueLength  = 4096
	defaultMaxWaiting   = 10 * time.Minute
	defaultAcceptFor    = 3 * time.Second
)

// Defaults returns the settings of a file that states nothing.
func Defaults() Settings {
	return Settings{
		environment:   "production",
		listen:        "127.0.0.1:0",
		controlListen: "127.0.0.1:0",
		listInterval:  defaultListInterval,
		readWait:      defaultReadWait,
		loadInterval:  defaultLoadInterval,
		peerInterval:  defaultPeerInterval,
		maxBodyBytes:  defaultMaxBodyBytes,
		queueLength:   defaultQueueLength,
		maxWaiting:    defaultMaxWaiting,
		acceptFor:     defaultAcceptFor,
		logLevel:      "info",
	}
}

// ID returns the instance's name.
func (s Settings) ID() string { return s.id }

// Domain returns the failure domain.
func (s Settings) Domain() string { return s.domain }

// Environment returns the environment whose document is followed.
func (s Settings) Environment() string { return s.environment }

// Listen returns host:port for callers.
func (s Settings) Listen() string { return s.listen }

// ControlListen returns host:port for peers, operators and metrics.
func (s Settings) ControlListen() string { return s.controlListen }

// Platform returns the platform's base URL.
func (s Settings) Platform() string { return s.platform }

// Peers returns host:port of the control listeners of peers to ask when the platform is away.
func (s Settings) Peers() []string { return s.peers }

// ListInterval returns the time between reads of the instance list.
func (s Settings) ListInterval() time.Duration { return s.listInterval }

// ReadWait returns how long a read of the log waits for a record.
func (s Settings) ReadWait() time.Duration { return s.readWait }

// LoadInterval returns the time between load reports of an upstream.
func (s Settings) LoadInterval() time.Duration { return s.loadInterval }

// PeerInterval returns the time between calls to the peers that the file names.
func (s Settings) PeerInterval() time.Duration { return s.peerInterval }

// MaxBodyBytes returns the largest request body.
func (s Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// QueueLength returns how many events may wait for the reducer.
func (s Settings) QueueLength() int { return s.queueLength }

// MaxWaiting returns how long a caller may wait for an answer.
func (s Settings) MaxWaiting() time.Duration { return s.maxWaiting }

// AcceptFor returns how long a leaving entry goes on accepting requests.
func (s Settings) AcceptFor() time.Duration { return s.acceptFor }

// Certificate returns the file of the control listener's certificate, empty for none.
func (s Settings) Certificate() string { return s.certificate }

// Key returns the file of the certificate's key.
func (s Settings) Key() string { return s.key }

// Authority returns the file of the certificates that peers and operators must be signed by.
func (s Settings) Authority() string { return s.authority }

// Buys reports whether this entry may hold the lease on the fleet and buy instances.
func (s Settings) Buys() bool { return s.buys }

// Orders returns the limits of orders.
func (s Settings) Orders() order.Settings {
	o := order.Defaults()
	if s.window > 0 {
		o = o.WithWindow(s.window)
	}
	if s.retention > 0 {
		o = o.WithRetention(s.retention)
	}
	if s.outcomes > 0 {
		o = o.WithMaxOutcomes(s.outcomes)
	}
	return o
}

// Answers returns the limits and time-outs of answers.
func (s Settings) Answers() answer.Settings {
	a := answer.Defaults().WithLinger(s.acceptFor)
	if s.notice > 0 {
		a = a.WithNotice(s.notice)
	}
	first, between := a.FirstToken(), a.BetweenTokens()
	if s.firstToken > 0 {
		first = s.firstToken
	}
	if s.betweenTokens > 0 {
		between = s.betweenTokens
	}
	return a.WithSilence(first, between)
}

// Retention returns how long the log keeps its records, zero if the file does not say.
func (s Settings) Retention() time.Duration { return s.retention }

// LogLevel returns debug, info, warn or error.
func (s Settings) LogLevel() string { return s.logLevel }

// WithTLS returns a copy whose control listener uses mutual TLS with these files.
func (s Settings) WithTLS(certificate, key, authority string) Settings {
	s.certificate, s.key, s.authority = certificate, key, authority
	return s
}

// InvalidValue is one value that does not do, alone or beside the others.
type InvalidValue struct {
	section string
	key     string
	message string
}

// Message returns what to change.
func (m InvalidValue) Message() string { return "[" + m.section + "] " + m.key + ": " + m.message }

// Validate returns what is wrong with the values taken together.
func (s Settings) Validate() []InvalidValue {
	var ms []InvalidValue
	add := func(section, key, message string) {
		ms = append(ms, InvalidValue{section: section, key: key, message: message})
	}
	if s.id == "" {
		add("entry", "id", "state the name of this instance")
	}
	if s.domain == "" {
		add("entry", "domain", "state the failure domain of this instance")
	}
	if u, err := url.Parse(s.platform); err != nil || u.Host == "" {
		add("platform", "url", "state the platform's base URL, for example http://10.0.0.1:7000")
	}
	for _, a := range []struct{ key, address string }{{"listen", s.listen}, {"controlListen", s.controlListen}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			add("entry", a.key, "state host:port by an IP number")
		}
	}
	switch keys := countSet(s.certificate, s.key, s.authority); {
	case keys != 0 && keys != 3:
		add("tls", "certificate", "state certificate, key and authority together, or none of them")
	case keys == 0 && !isLoopback(s.controlListen):
		add("entry", "controlListen", "beyond loopback the control listener needs the keys of [tls]")
	}
	if err := s.Orders().Validate(); err != nil {
		add("orders", "window", err.Error())
	}
	if err := s.Answers().Validate(); err != nil {
		add("answers", "firstToken", err.Error())
	}
	return ms
}

func countSet(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true // The address itself is reported.
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

package settings

import (
	"net"
	"net/url"
	"time"

	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/order"
)

// Settings holds the settings of one entry daemon.
type Settings struct {
	id                string
	domain            string
	environment       string
	listen            string
	controlListen     string
	platform          string
	peers             []string
	listInterval      time.Duration
	readWait          time.Duration
	loadInterval      time.Duration
	peerInterval      time.Duration
	maxBodyBytes      int
	queueLength       int
	maxWaiting        time.Duration
	acceptFor         time.Duration
	certificate       string
	key               string
	authority         string
	buys              bool
	orderWindow       time.Duration
	retention         time.Duration
	maxOutcomes       int
	firstTokenTimeout time.Duration
	interTokenTimeout time.Duration
	reclaimNotice     time.Duration
	logLevel          string
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

// Defaults returns the settings of an empty file.
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

// ID returns the id of this instance.
func (s Settings) ID() string { return s.id }

// Domain returns the failure domain of this instance.
func (s Settings) Domain() string { return s.domain }

// Environment returns the environment whose document this entry applies.
func (s Settings) Environment() string { return s.environment }

// Listen returns the host:port to listen on for callers.
func (s Settings) Listen() string { return s.listen }

// ControlListen returns the host:port to listen on for peers, operators and metrics.
func (s Settings) ControlListen() string { return s.controlListen }

// Platform returns the platform's base URL.
func (s Settings) Platform() string { return s.platform }

// Peers returns the host:port of the control listeners of the peers to ask while the platform is unavailable.
func (s Settings) Peers() []string { return s.peers }

// ListInterval returns the time between reads of the instance list.
func (s Settings) ListInterval() time.Duration { return s.listInterval }

// ReadWait returns how long a read of the log waits for a new record.
func (s Settings) ReadWait() time.Duration { return s.readWait }

// LoadInterval returns the minimum time between reads of the load reports of the upstreams.
func (s Settings) LoadInterval() time.Duration { return s.loadInterval }

// PeerInterval returns the time between calls to the configured peers.
func (s Settings) PeerInterval() time.Duration { return s.peerInterval }

// MaxBodyBytes returns the maximum size of a request body.
func (s Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// QueueLength returns the maximum number of events queued for the reducer.
func (s Settings) QueueLength() int { return s.queueLength }

// MaxWaiting returns the maximum time that a caller waits for an answer.
func (s Settings) MaxWaiting() time.Duration { return s.maxWaiting }

// AcceptFor returns how long a leaving entry continues to accept requests.
func (s Settings) AcceptFor() time.Duration { return s.acceptFor }

// Certificate returns the path of the control listener's certificate, empty for plain HTTP.
func (s Settings) Certificate() string { return s.certificate }

// Key returns the path of the certificate's private key.
func (s Settings) Key() string { return s.key }

// Authority returns the path of the CA certificates that must have signed those of peers and operators.
func (s Settings) Authority() string { return s.authority }

// Buys reports whether this entry may hold the fleet lease and buy instances.
func (s Settings) Buys() bool { return s.buys }

// Orders returns the settings of orders.
func (s Settings) Orders() order.Settings {
	o := order.Defaults()
	if s.orderWindow > 0 {
		o = o.WithWindow(s.orderWindow)
	}
	if s.retention > 0 {
		o = o.WithRetention(s.retention)
	}
	if s.maxOutcomes > 0 {
		o = o.WithMaxOutcomes(s.maxOutcomes)
	}
	return o
}

// Answers returns the settings of answers.
func (s Settings) Answers() answer.Settings {
	a := answer.Defaults().WithLinger(s.acceptFor)
	if s.reclaimNotice > 0 {
		a = a.WithDefaultNotice(s.reclaimNotice)
	}
	first, between := a.FirstTokenTimeout(), a.InterTokenTimeout()
	if s.firstTokenTimeout > 0 {
		first = s.firstTokenTimeout
	}
	if s.interTokenTimeout > 0 {
		between = s.interTokenTimeout
	}
	return a.WithTokenTimeouts(first, between)
}

// Retention returns how long the log keeps its records, zero if the file does not state it.
func (s Settings) Retention() time.Duration { return s.retention }

// LogLevel returns the log level: debug, info, warn or error.
func (s Settings) LogLevel() string { return s.logLevel }

// WithTLS returns a copy whose control listener uses mutual TLS with these files.
func (s Settings) WithTLS(certificate, key, authority string) Settings {
	s.certificate, s.key, s.authority = certificate, key, authority
	return s
}

// InvalidValue is a value that is invalid by itself or in combination with other values.
type InvalidValue struct {
	section string
	key     string
	message string
}

// Message returns the section, the key and what to change.
func (v InvalidValue) Message() string { return "[" + v.section + "] " + v.key + ": " + v.message }

// Validate returns the values that are missing, malformed or inconsistent with each other.
func (s Settings) Validate() []InvalidValue {
	var invalid []InvalidValue
	add := func(section, key, message string) {
		invalid = append(invalid, InvalidValue{section: section, key: key, message: message})
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
	return invalid
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
		return true // Validate reports the malformed address itself.
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

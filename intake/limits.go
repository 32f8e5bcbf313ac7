package intake

import "time"

const (
	// lineBytes and byteFactor are what a header line and a byte of a head take in memory, in the parsed head, its copy for the
	// upstream and the garbage of both. Measured: 300 bytes for a line with a short name of its own.
	lineBytes, byteFactor = 320, 4
	// minLineBytes is the size of the shortest header line: a name of one letter, a colon and the line's end.
	minLineBytes = 4
	// headShare is the part of the process's memory that heads of callers may take together, connShare that of connections.
	headShare, connShare = 1.0 / 16, 1.0 / 8
	// minHeadMemory leaves room for two heads of 16,384 bytes that consist of the shortest lines.
	minHeadMemory = 4 << 20
	// connBytes is what a connection takes: stacks and buffers for it and for the one to an upstream.
	connBytes = 32 << 10
	// minConns is the smallest bound on connections.
	minConns = 64
	// smallHead is the cost up to which a head may use the memory that larger ones leave free.
	smallHead = 32 << 10
	// reserveShare is the part of the memory for heads that is left to small ones.
	reserveShare = 0.25
)

// Limits bounds what the connections of one server take together.
type Limits struct {
	memory int64
	conns  int
}

// NewLimits returns the limits of a process with the memory in bytes and the number of file descriptors.
func NewLimits(memory int64, descriptors int) Limits {
	conns := min(int(connShare*float64(memory)/connBytes), descriptors/2) // The other half is for upstreams, peers and the store.
	return Limits{memory: max(minHeadMemory, int64(headShare*float64(memory))), conns: max(minConns, conns)}
}

// Shared returns the limits of one of several servers that may together take the part of the limits.
func (l Limits) Shared(part float64) Limits {
	return Limits{memory: max(minHeadMemory/2, int64(part*float64(l.memory))), conns: max(minConns, int(part*float64(l.conns)))}
}

// Conns returns the maximum number of open connections.
func (l Limits) Conns() int { return l.conns }

// Head is the part of a request's head that has arrived.
type Head struct{ bytes, lines int64 }

// Add returns the head with further bytes that have the number of line ends.
func (h Head) Add(bytes, lines int) Head {
	return Head{bytes: h.bytes + int64(bytes), lines: h.lines + int64(lines)}
}

// Join returns the head with what another one has.
func (h Head) Join(o Head) Head { return Head{bytes: h.bytes + o.bytes, lines: h.lines + o.lines} }

// Cost returns the memory that the head takes.
func (h Head) Cost() int64 { return h.bytes*byteFactor + h.lines*lineBytes }

// Exceeds reports whether the head is above the maximum size, if up to ahead bytes behind it were counted as a part of it. Separators
// do not count, and there may be as many lines as if all were of the shortest kind, so that no head within the limit exceeds it.
func (h Head) Exceeds(maxBytes, ahead int64) bool {
	return h.bytes > 2*maxBytes+ahead || h.lines > maxBytes/minLineBytes+1+ahead
}

// Fits reports whether a head of the cost may be held while the others take held bytes.
func (l Limits) Fits(cost, held int64) bool {
	free := l.memory - held
	if cost > smallHead {
		free -= int64(reserveShare * float64(l.memory))
	}
	return cost <= free
}

// Use is what a connection is doing.
type Use int

const (
	// UseRequest connections carry a request that is complete.
	UseRequest Use = iota
	// UseIdle connections have sent nothing since their last answer.
	UseIdle
	// UseHead connections have sent a part of a head.
	UseHead
	// UseNew connections have sent nothing.
	UseNew
)

// minAges is the time in its use from which a connection may be closed to make room for a new one.
var minAges = map[Use]time.Duration{UseIdle: time.Second, UseHead: time.Second, UseNew: 100 * time.Millisecond}

// Closable reports whether a connection may be closed to make room for a new one.
func Closable(use Use, age time.Duration) bool {
	least, ok := minAges[use]
	return ok && age >= least
}

// Before reports whether the first connection is closed rather than the second: those that have sent less first, the oldest among equals.
func Before(use Use, age time.Duration, otherUse Use, otherAge time.Duration) bool {
	if use != otherUse {
		return use > otherUse
	}
	return age > otherAge
}

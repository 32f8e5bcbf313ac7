package rail

import "time"

// Load is an upstream's load report, which lags.
type Load struct {
	instance InstanceID
	running  int
	waiting  int
	slots    int
	asOf     time.Time
	leaving  bool
}

// NewLoad returns a report: the requests running and waiting, and how many can run at once.
func NewLoad(instance InstanceID, running, waiting, slots int, asOf time.Time) Load {
	return Load{instance: instance, running: running, waiting: waiting, slots: slots, asOf: asOf}
}

// WithLeaving returns a copy in which the upstream reports that it is leaving.
func (l Load) WithLeaving() Load { l.leaving = true; return l }

// Instance returns the upstream.
func (l Load) Instance() InstanceID { return l.instance }

// Running returns the number of requests in the batch.
func (l Load) Running() int { return l.running }

// Waiting returns the number of requests in the queue.
func (l Load) Waiting() int { return l.waiting }

// Slots returns how many requests can run at once.
func (l Load) Slots() int { return l.slots }

// AsOf returns the time of the measurement.
func (l Load) AsOf() time.Time { return l.asOf }

// Leaving reports whether the upstream has announced that it is leaving.
func (l Load) Leaving() bool { return l.leaving }

// CacheEvent reports that an engine cached a prompt prefix or evicted it; events arrive late and with gaps.
type CacheEvent struct {
	instance InstanceID
	sequence uint64
	prefix   uint64
	held     bool
}

// NewCacheEvent returns the event; prefix is the hash of the leading prompt blocks.
func NewCacheEvent(instance InstanceID, sequence, prefix uint64, held bool) CacheEvent {
	return CacheEvent{instance: instance, sequence: sequence, prefix: prefix, held: held}
}

// Instance returns the engine.
func (e CacheEvent) Instance() InstanceID { return e.instance }

// Sequence returns the engine's sequence number of the event; a missing number is a gap.
func (e CacheEvent) Sequence() uint64 { return e.sequence }

// Prefix returns the hash of the leading prompt blocks.
func (e CacheEvent) Prefix() uint64 { return e.prefix }

// Held reports whether the prefix was cached; false means evicted.
func (e CacheEvent) Held() bool { return e.held }

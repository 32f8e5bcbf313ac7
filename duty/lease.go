package duty

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/gateway"
)

const (
	// renewInterval is the time between renewals of the lease by its holder.
	renewInterval = time.Second
	// safetyMargin is how long before its end a holder stops acting on the lease.
	safetyMargin = 400 * time.Millisecond
	// usageKeys is the number of windows whose reports the store keeps.
	usageKeys = 16

	keyLease    = "lease"
	prefixUsage = "usage/"
)

// leaseRecord is the newest word on who holds the lease; an empty holder has given it up.
type leaseRecord struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"`
	// Admitted is what teams had admitted in each second before Wall, for gateways that start anew.
	Admitted map[string][]int64 `json:"admitted,omitempty"`
	// Wall is the time of the record in Unix milliseconds.
	Wall int64 `json:"wall"`
}

// usageRecord fixes the counts of one window before they are reported, so that no two reports differ.
type usageRecord struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Lease is what one gateway knows of the lease and of what was done under it.
// Its times are those of a clock that runs on while the process is frozen.
type Lease struct {
	name        string
	incarnation string
	length      time.Duration
	patience    time.Duration

	record leaseRecord
	seen   time.Duration // when the record was first read
	read   bool
	next   int64
	// until is when this gateway stops acting, zero while it does not hold the lease.
	until   time.Duration
	renewed time.Duration
	usage   map[int64]map[string]int64
}

// NewLease returns the lease as the named gateway sees it; patience is added to its length before it is taken from a silent holder, and differs between gateways.
func NewLease(name, incarnation string, length, patience time.Duration) *Lease {
	return &Lease{name: name, incarnation: incarnation, length: length, patience: patience, usage: map[int64]map[string]int64{}}
}

// Apply takes in records of the topic and the offset to read from next; at is when the read was started.
func (l *Lease) Apply(records []gateway.Record, next int64, at time.Duration) error {
	var err error
	for _, r := range records {
		if e := l.note(r, at); e != nil {
			err = e
		}
	}
	if !l.read {
		l.read, l.seen = true, at
	}
	l.next = max(l.next, next)
	return err
}

func (l *Lease) note(r gateway.Record, at time.Duration) error {
	switch {
	case r.Key() == keyLease:
		var record leaseRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return errors.Wrap(err, "Lease.note")
		}
		l.record, l.seen = record, at
		if !l.mine() {
			l.until = 0
		}
	case strings.HasPrefix(r.Key(), prefixUsage):
		var record usageRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return errors.Wrap(err, "Lease.note")
		}
		l.usage[record.Window] = record.Counts
		for w := range l.usage {
			if record.Window-w >= usageKeys {
				delete(l.usage, w)
			}
		}
	}
	return nil
}

// ObserveHolder notes that the holder said itself that it holds the lease under the fence; it reports whether that is the lease known here.
func (l *Lease) ObserveHolder(fence int64, at time.Duration) bool {
	if !l.read || fence != l.record.Fence || l.mine() {
		return false
	}
	l.seen = at
	return true
}

func (l *Lease) mine() bool {
	return l.record.Holder == l.name && l.record.Incarnation == l.incarnation
}

// Next returns the offset at which the next record of the topic goes, if no other gateway is faster.
func (l *Lease) Next() int64 { return l.next }

// Fence returns the number of this holder's calls.
func (l *Lease) Fence() int64 { return l.record.Fence }

// Holder returns the name of the holder, empty if there is none.
func (l *Lease) Holder() string { return l.record.Holder }

// Held reports whether this gateway may act now.
func (l *Lease) Held(now time.Duration) bool { return l.until > 0 && now < l.until }

// Admitted returns what teams had admitted up to the time of the newest record.
func (l *Lease) Admitted() (admitted map[string][]int64, at time.Time) {
	return l.record.Admitted, time.UnixMilli(l.record.Wall)
}

// Due reports whether the lease is to be renewed, or to be taken.
func (l *Lease) Due(now time.Duration) bool {
	if !l.read {
		return false
	}
	if l.mine() && l.until > 0 {
		return now-l.renewed >= renewInterval
	}
	if l.record.Holder == "" {
		return now-l.seen >= l.patience
	}
	return now-l.seen >= l.length+l.patience
}

// Claim returns the record that renews the lease, or takes it under a higher fence; it keeps what teams had admitted up to the time.
func (l *Lease) Claim(now time.Duration, admitted map[string][]int64, wall time.Time) (key string, value []byte, err error) {
	record := leaseRecord{Holder: l.name, Incarnation: l.incarnation, Fence: l.record.Fence, Admitted: admitted, Wall: wall.UnixMilli()}
	if !l.mine() || !l.Held(now) {
		record.Fence = max(l.record.Fence, l.next) + 1
	}
	value, err = json.Marshal(record)
	return keyLease, value, errors.Wrap(err, "Lease.Claim")
}

// ClaimAppended notes that the claim made at the time was appended, and reports whether the lease was new to this gateway.
func (l *Lease) ClaimAppended(value []byte, offset int64, at time.Duration) (taken bool, err error) {
	before := l.record.Fence
	if err := l.Apply([]gateway.Record{gateway.NewRecord(keyLease, value, offset)}, offset+1, at); err != nil {
		return false, err
	}
	l.until, l.renewed = at+l.length-safetyMargin, at
	return l.record.Fence != before, nil
}

// Release returns the record by which this gateway gives the lease up.
func (l *Lease) Release() (key string, value []byte, err error) {
	value, err = json.Marshal(leaseRecord{Fence: l.record.Fence, Admitted: l.record.Admitted, Wall: l.record.Wall})
	l.until = 0
	return keyLease, value, errors.Wrap(err, "Lease.Release")
}

// Drop makes this gateway stop acting until it has taken the lease anew.
func (l *Lease) Drop() { l.until = 0 }

// Usage returns the counts of a window that were fixed, false if there are none.
func (l *Lease) Usage(window int64) (map[string]int64, bool) {
	counts, ok := l.usage[window]
	return counts, ok
}

// FixUsage returns the record that fixes the counts of a window.
func (l *Lease) FixUsage(window int64, counts map[string]int64) (key string, value []byte, err error) {
	value, err = json.Marshal(usageRecord{Window: window, Counts: counts})
	return prefixUsage + strconv.FormatInt(window%usageKeys, 10), value, errors.Wrap(err, "Lease.FixUsage")
}

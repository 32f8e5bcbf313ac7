package duty

import (
	"encoding/json"
	"slices"
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
	// usageKeys is the number of windows whose counts the store keeps; a window's key is its number modulo usageKeys.
	usageKeys = 16

	// fenceEraBits is the number of low bits of a fence that hold an offset; the era is in the bits above, so that fences of an era
	// are higher than all of the eras before, whatever a restore of the store lost.
	fenceEraBits = 32

	keyLease    = "lease"
	prefixUsage = "usage/"
)

// leaseRecord is the stored state of the lease; its holder is empty after a release.
type leaseRecord struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"`
	// Admitted is what each team had admitted in each eighth of the quota window before Wall, the latest first; gateways
	// that restart restore their quotas from it.
	Admitted map[string][]int64 `json:"admitted,omitempty"`
	// Wall is the time of the record in Unix milliseconds.
	Wall int64 `json:"wall"`
	// Era is the era of the store in which the record was written.
	Era int64 `json:"era,omitempty"`
	// FirstWindow is the first usage window whose counts may be fixed: those of earlier ones may have been, and were lost in a restore.
	FirstWindow int64 `json:"firstWindow,omitempty"`
}

// usageRecord fixes the counts of one window before they are reported, so that repeated reports do not differ.
type usageRecord struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Lease is the view that one gateway has of the lease and of the usage counts
// fixed under it. Its times are those of a clock that continues while the
// process is paused.
type Lease struct {
	name          string
	incarnation   string
	length        time.Duration
	takeoverDelay time.Duration

	record   leaseRecord
	lastSeen time.Duration // when the record was first read, or its holder last announced itself
	loaded   bool
	era      int64
	next     int64
	// firstStart reports that the whole system had just started for the first time when this gateway first read the topic, and that the
	// store was not restored since.
	firstStart bool
	// maxFence is the highest fence that is known to have been used.
	maxFence int64
	// heldUntil is when this gateway stops acting on the lease, zero while it does not hold it.
	heldUntil time.Duration
	renewed   time.Duration
	usage     map[int64]map[string]int64
	// recorded marks the windows whose counts the topic holds in this era.
	recorded map[int64]bool
}

// NewLease returns the lease as the named gateway sees it. The takeover delay is added to its length before it is taken
// from a silent holder; it differs between gateways, so that they do not all claim at once.
func NewLease(name, incarnation string, length, takeoverDelay time.Duration) *Lease {
	return &Lease{name: name, incarnation: incarnation, length: length, takeoverDelay: takeoverDelay, usage: map[int64]map[string]int64{}, recorded: map[int64]bool{}}
}

// BeginEra states that the store was restored from a copy; the records that the topic holds now must be applied next. A holder goes
// on: it is the only one that can know of its lease. All others wait as long as for a holder that is silent.
func (l *Lease) BeginEra(era int64, at time.Duration) {
	l.era, l.next, l.lastSeen = era, 0, at
	l.firstStart = l.firstStart && !l.loaded
	clear(l.recorded)
	if !l.Held(at) {
		l.heldUntil = 0
	}
}

// BeginFirstStart states that the whole system starts for the first time, and that no holder can have reported anything yet. The topic must
// be read next.
func (l *Lease) BeginFirstStart() { l.firstStart = !l.loaded }

// Era returns the era of the store that the records belong to.
func (l *Lease) Era() int64 { return l.era }

// Apply applies records of the topic and sets the offset to read from next; at is when they had been read, so that none of
// them is newer.
func (l *Lease) Apply(records []gateway.Record, next int64, at time.Duration) error {
	var err error
	for _, r := range records {
		if e := l.applyRecord(r, at); e != nil {
			err = e
		}
	}
	if !l.loaded {
		l.loaded, l.lastSeen = true, at
	}
	l.next = max(l.next, next)
	return err
}

func (l *Lease) applyRecord(r gateway.Record, at time.Duration) error {
	switch {
	case r.Key() == keyLease:
		var record leaseRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return errors.Wrap(err, "Lease.applyRecord")
		}
		l.maxFence = max(l.maxFence, record.Fence)
		if record.Era < l.era && l.Held(at) {
			return nil // The record was written before the lease that is held here.
		}
		l.record, l.lastSeen = record, at
		if !l.isHolder() {
			l.heldUntil = 0
		}
	case strings.HasPrefix(r.Key(), prefixUsage):
		var record usageRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return errors.Wrap(err, "Lease.applyRecord")
		}
		if _, fixed := l.usage[record.Window]; !fixed {
			l.usage[record.Window] = record.Counts
		}
		l.recorded[record.Window] = true
		for w := range l.usage {
			if record.Window-w >= usageKeys {
				delete(l.usage, w)
				delete(l.recorded, w)
			}
		}
	}
	return nil
}

// ObserveHolder records that a peer announced at the time that it holds the lease under the fence; it reports whether that is the lease known here.
func (l *Lease) ObserveHolder(fence int64, at time.Duration) bool {
	if l.record.Fence == 0 {
		l.lastSeen = at // The topic has no record yet, or lacks that of the holder.
		return false
	}
	if !l.loaded || fence != l.record.Fence || l.isHolder() {
		return false
	}
	l.lastSeen = at
	return true
}

func (l *Lease) isHolder() bool {
	return l.record.Holder == l.name && l.record.Incarnation == l.incarnation
}

// Next returns the offset of the next record of the topic, unless another gateway appends first.
func (l *Lease) Next() int64 { return l.next }

// Position returns the position of the next record of the topic.
func (l *Lease) Position() gateway.Position { return gateway.NewPosition(l.era, l.next) }

// Loaded reports whether the topic was read.
func (l *Lease) Loaded() bool { return l.loaded }

// Fence returns the fencing number that the holder's calls carry.
func (l *Lease) Fence() int64 { return l.record.Fence }

// Holder returns the name of the holder, empty if there is none.
func (l *Lease) Holder() string { return l.record.Holder }

// Held reports whether this gateway may act on the lease now.
func (l *Lease) Held(now time.Duration) bool { return l.heldUntil > 0 && now < l.heldUntil }

// Remaining returns how long this gateway may still act on the lease.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	if !l.Held(now) {
		return 0
	}
	return l.heldUntil - now
}

// Admitted returns what teams had admitted up to the time of the newest record.
func (l *Lease) Admitted() (admitted map[string][]int64, at time.Time) {
	return l.record.Admitted, time.UnixMilli(l.record.Wall)
}

// Due reports whether this gateway is to renew the lease or to take it over.
func (l *Lease) Due(now time.Duration) bool {
	if !l.loaded {
		return false
	}
	if l.isHolder() && l.heldUntil > 0 {
		return now-l.renewed >= renewInterval
	}
	if l.record.Holder == "" && !l.mayLackRecords() {
		return now-l.lastSeen >= l.takeoverDelay
	}
	return now-l.lastSeen >= l.length+l.takeoverDelay
}

// mayLackRecords reports whether the topic may lack records of holders because the store was restored since they were written. A store
// may number its first era from 0 or from 1, so that an empty topic of a later era than 0 tells nothing by itself.
func (l *Lease) mayLackRecords() bool {
	return l.era > 0 && !l.firstStart && (l.record.Fence == 0 || l.record.Era != l.era)
}

// Claim returns the record that renews the lease, or takes it under a higher fence; it also stores what teams had admitted up to the
// time. The window is the current usage window.
func (l *Lease) Claim(now time.Duration, admitted map[string][]int64, wall time.Time, window int64) (key string, value []byte, err error) {
	record := leaseRecord{Holder: l.name, Incarnation: l.incarnation, Fence: l.record.Fence, Admitted: admitted, Wall: wall.UnixMilli(), Era: l.era, FirstWindow: l.record.FirstWindow}
	if !l.isHolder() || !l.Held(now) {
		record.Fence = max(l.maxFence, l.era<<fenceEraBits|l.next) + 1
		if l.mayLackRecords() {
			record.FirstWindow = window
		}
	}
	value, err = json.Marshal(record)
	return keyLease, value, errors.Wrap(err, "Lease.Claim")
}

// ClaimAppended records that the claim made at the time was appended, and reports whether it took the lease under a new fence.
func (l *Lease) ClaimAppended(value []byte, offset int64, at time.Duration) (taken bool, err error) {
	before := l.record.Fence
	if err := l.Apply([]gateway.Record{gateway.NewRecord(keyLease, value, offset)}, offset+1, at); err != nil {
		return false, err
	}
	l.heldUntil, l.renewed = at+l.length-safetyMargin, at
	return l.record.Fence != before, nil
}

// Release stops this gateway from acting and returns the record that releases the lease. It must not be written while the topic lacks
// usage counts that are fixed: the next holder would fix others.
func (l *Lease) Release() (key string, value []byte, err error) {
	value, err = json.Marshal(leaseRecord{Fence: l.record.Fence, Admitted: l.record.Admitted, Wall: l.record.Wall, Era: l.era, FirstWindow: l.record.FirstWindow})
	l.heldUntil = 0
	return keyLease, value, errors.Wrap(err, "Lease.Release")
}

// Drop stops this gateway from acting until it has taken the lease again.
func (l *Lease) Drop() { l.heldUntil = 0 }

// Usage returns the fixed counts of a window, false if there are none.
func (l *Lease) Usage(window int64) (map[string]int64, bool) {
	counts, ok := l.usage[window]
	return counts, ok
}

// MayFixUsage reports whether no holder can have fixed the counts of the window before.
func (l *Lease) MayFixUsage(window int64) bool { return window >= l.record.FirstWindow }

// UnrecordedUsage returns the windows whose fixed counts the topic lacks since the store was restored.
func (l *Lease) UnrecordedUsage() []int64 {
	var windows []int64
	for w := range l.usage {
		if !l.recorded[w] {
			windows = append(windows, w)
		}
	}
	slices.Sort(windows)
	return windows
}

// FixUsage returns the record that fixes the counts of a window.
func (l *Lease) FixUsage(window int64, counts map[string]int64) (key string, value []byte, err error) {
	value, err = json.Marshal(usageRecord{Window: window, Counts: counts})
	return prefixUsage + strconv.FormatInt(window%usageKeys, 10), value, errors.Wrap(err, "Lease.FixUsage")
}

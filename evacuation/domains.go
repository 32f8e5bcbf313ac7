package evacuation

import (
	"slices"
	"time"
)

// RestoreHold is how long a restore of the store from an older copy changes nothing: the operator writes its records again.
const RestoreHold = 10 * time.Second

// endMemory is how long the end of an evacuation is remembered. A store may be restored from a copy that is some seconds old.
const endMemory = time.Minute

// Change is what the operator's record of a failure domain says: it is evacuated, or not any more.
type Change struct {
	domain    string
	evacuated bool
}

// NewChange returns the change of a domain.
func NewChange(domain string, evacuated bool) Change {
	return Change{domain: domain, evacuated: evacuated}
}

// Transition is a domain whose evacuation began or ended.
type Transition struct {
	domain string
	began  bool
}

// Domain returns the failure domain.
func (t Transition) Domain() string { return t.domain }

// Began reports whether the evacuation began.
func (t Transition) Began() bool { return t.began }

// Domains is the set of evacuated failure domains. It is not safe for concurrent use.
type Domains struct {
	active map[string]bool
	// endedAt holds when evacuations ended.
	endedAt map[string]time.Time
	// pending holds what a restored copy of the store says against what is known, and since when.
	pending map[string]pendingChange
}

type pendingChange struct {
	evacuated bool
	since     time.Time
}

// New returns an empty set.
func New() *Domains {
	return &Domains{active: map[string]bool{}, endedAt: map[string]time.Time{}, pending: map[string]pendingChange{}}
}

// Contains reports whether the domain is evacuated.
func (d *Domains) Contains(domain string) bool { return d.active[domain] }

// Empty reports whether no domain is evacuated.
func (d *Domains) Empty() bool { return len(d.active) == 0 }

// Names returns the evacuated domains in order.
func (d *Domains) Names() []string {
	names := make([]string, 0, len(d.active))
	for name := range d.active {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Apply applies records of the operator, and returns what changed. A full list ends the evacuations that it lacks. A list of a store
// that was just restored may be older than what is known: where it says otherwise, that takes effect after RestoreHold, unless the
// operator writes before then.
func (d *Domains) Apply(changes []Change, full, restored bool, now time.Time) []Transition {
	listed := map[string]bool{}
	var transitions []Transition
	for _, c := range changes {
		listed[c.domain] = true
		transitions = append(transitions, d.apply(c, full && restored, now)...)
	}
	if !full {
		return transitions
	}
	for _, name := range d.Names() {
		if !listed[name] {
			transitions = append(transitions, d.apply(Change{name, false}, restored, now)...)
		}
	}
	return transitions
}

func (d *Domains) apply(c Change, restored bool, now time.Time) []Transition {
	_, ended := d.endedAt[c.domain]
	if restored && c.evacuated != d.active[c.domain] && (d.active[c.domain] || ended) {
		d.pending[c.domain] = pendingChange{c.evacuated, now}
		return nil
	}
	delete(d.pending, c.domain)
	return d.set(c, now)
}

func (d *Domains) set(c Change, now time.Time) []Transition {
	if c.evacuated == d.active[c.domain] {
		return nil
	}
	if c.evacuated {
		d.active[c.domain] = true
		delete(d.endedAt, c.domain)
	} else {
		delete(d.active, c.domain)
		d.endedAt[c.domain] = now
	}
	return []Transition{{c.domain, c.evacuated}}
}

// Tick applies what a restored store says and the operator did not correct in time, and returns what changed.
func (d *Domains) Tick(now time.Time) []Transition {
	var transitions []Transition
	for name, p := range d.pending {
		if now.Sub(p.since) >= RestoreHold {
			delete(d.pending, name)
			transitions = append(transitions, d.set(Change{name, p.evacuated}, now)...)
		}
	}
	for name, at := range d.endedAt {
		if now.Sub(at) >= endMemory {
			delete(d.endedAt, name)
		}
	}
	return transitions
}

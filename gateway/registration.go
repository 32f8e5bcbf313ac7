package gateway

import (
	"maps"
	"time"
)

// registrations are the other gateways that are registered in the store.
type registrations struct {
	byName map[string]Registration
	// removed holds when gateways were removed: a restore of the store brings their registrations back.
	removed map[string]time.Time
	// absent holds since when registrations are missing because the store was restored from an older copy.
	absent map[string]time.Time
	// read reports that they were read since this gateway's start.
	read bool
	// ownLost reports that the registration of this gateway is gone.
	ownLost bool
}

const (
	// registrationHold is how long a gateway whose registration a restore removed still counts: it registers again.
	registrationHold = 10 * time.Second
	// restoredListTime is the time after a restore in which a complete list is the one that it led to.
	restoredListTime = time.Second
	// removalMemory is how long removed gateways are remembered.
	removalMemory = time.Minute
)

func newRegistrations() registrations {
	return registrations{byName: map[string]Registration{}, removed: map[string]time.Time{}, absent: map[string]time.Time{}}
}

// apply applies what was read from the store; own is the name of this gateway, restored reports whether the store was restored right
// before.
func (r *registrations) apply(e PeersRead, own string, restored bool, now time.Time) {
	r.read = r.read || e.full
	if e.full {
		r.applyAbsence(e, own, restored, now)
	}
	for name, x := range e.registrations {
		_, removed := r.removed[name]
		switch {
		case name == own:
			r.ownLost = x.address == ""
		case x.address == "":
			delete(r.byName, name)
			r.removed[name] = now
		case e.full && restored && removed:
		default:
			r.byName[name] = x
			delete(r.absent, name)
			delete(r.removed, name)
		}
	}
}

// applyAbsence removes the gateways that a complete list lacks, or holds them for a while if the list is one of a restored store.
func (r *registrations) applyAbsence(e PeersRead, own string, restored bool, now time.Time) {
	if !restored {
		clear(r.byName)
		clear(r.absent)
		return
	}
	_, listed := e.registrations[own]
	r.ownLost = !listed
	for name := range r.byName {
		if _, listed := e.registrations[name]; !listed {
			r.absent[name] = now
		}
	}
}

// tick removes the gateways that did not register again in time, and reports whether there were any.
func (r *registrations) tick(now time.Time) bool {
	changed := false
	for name, at := range r.absent {
		if now.Sub(at) >= registrationHold {
			delete(r.byName, name)
			delete(r.absent, name)
			changed = true
		}
	}
	maps.DeleteFunc(r.removed, func(_ string, at time.Time) bool { return now.Sub(at) >= removalMemory })
	return changed
}

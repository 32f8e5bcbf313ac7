package spillover

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// beginPressure is the pressure of the home domain above which its share grows, endPressure the one below which it shrinks. Between
	// them the share stays: loads of peers are up to a second old, in which a share may move by maxStep.
	beginPressure, endPressure = 0.8, 0.55
	// aimedPressure is the one that the share aims at. It comes closer in approachTime, longer than the pressure lags behind: the share would
	// swing otherwise where the demand is several times the capacity.
	aimedPressure = 0.7
	approachTime  = 2 * time.Second
	// maxStep is how much the share changes in a second at most.
	maxStep = 0.2
	// returnStep is how much of the share returns in a second if home can serve all its callers, slowReturn if it may serve more of them.
	// It is slower than maxStep, so that a return is not followed by another departure.
	returnStep, slowReturn = 0.1, 0.03
	// smoothing is the time over which the pressure is averaged. A difference that lasts for less does not change the share.
	smoothing = 500 * time.Millisecond
	// maxElapsed bounds the time that counts between two decisions, so that a paused gateway does not take several steps at once.
	maxElapsed = time.Second
	// fullSpeedRoom is the part of the other domains' capacity that must have room for the share to grow at full speed.
	fullSpeedRoom = 0.2
)

// Share is the share of a domain's requests for a service that is sent to other domains; the zero value is none.
type Share struct {
	leaving, pressure float64
	known             bool
	// others are the domains with room for requests of others.
	others []part
}

// part is a domain with its part of the share.
type part struct {
	domain string
	// room is zero if the domain is closer to its limits than the home domain.
	room float64
}

// Next returns the share after the elapsed time. The goal is that for the time to the first token, zero if there is none.
func (s Share) Next(home Domain, others []Domain, goal, elapsed time.Duration) Share {
	elapsed = min(elapsed, maxElapsed)
	next := Share{leaving: s.leaving, pressure: home.pressure(goal), known: true}
	room, capacity := 0.0, 0.0
	for _, d := range others {
		capacity += d.capacity
		if d.room(goal) <= 0 {
			continue
		}
		p := part{domain: d.name}
		if home.capacity <= 0 || d.pressure(goal) < home.pressure(goal) {
			p.room = d.room(goal)
		}
		next.others = append(next.others, p)
		room += p.room
	}
	if home.capacity <= 0 {
		next.leaving = 1 // There is nothing to return to step by step.
		return next
	}
	if s.known {
		weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
		next.pressure = s.pressure + weight*(next.pressure-s.pressure)
	}
	step := 0.0
	switch {
	case next.pressure < aimedPressure*(1-next.leaving):
		step = -returnStep // With all callers, the pressure would stay below the aimed one.
	case next.pressure < endPressure:
		step = -slowReturn
	case room <= 0:
		step = -maxStep // The other domains need their capacity for their own callers.
	case next.pressure > beginPressure:
		step = min(maxStep, next.missing()) * min(1, room/(fullSpeedRoom*capacity))
	}
	next.leaving = min(1, max(0, next.leaving+step*elapsed.Seconds()))
	return next
}

// missing returns how much of the share is missing, for each approachTime: what stays at home is about proportional to the pressure.
func (s Share) missing() float64 {
	return (1 - s.leaving) * (1 - aimedPressure/s.pressure) / approachTime.Seconds()
}

// Leaving returns the share of the requests that leaves the domain.
func (s Share) Leaving() float64 { return s.leaving }

// Pressure returns how close the home domain is to its limits, averaged over the last moments; one is the limit.
func (s Share) Pressure() float64 { return s.pressure }

// Parts returns the share in force by destination.
func (s Share) Parts() map[string]float64 {
	parts := make(map[string]float64, len(s.others))
	for _, p := range s.others {
		if p.room > 0 {
			parts[p.domain] = s.leaving * p.room / s.room()
		}
	}
	return parts
}

// Takes reports whether the domain has room for requests of others.
func (s Share) Takes(domain string) bool {
	for _, p := range s.others {
		if p.domain == domain {
			return true
		}
	}
	return false
}

// Destination returns the domain that the request is sent to, false if it stays. It depends on a hash of the request's id: gateways with
// the same share decide alike, and a share that grows takes further requests without returning others.
func (s Share) Destination(id string) (string, bool) {
	if s.leaving <= 0 || unit("leave/"+id) >= s.leaving {
		return "", false
	}
	at := unit("to/"+id) * s.room()
	for _, p := range s.others {
		if at -= p.room; at < 0 {
			return p.domain, true
		}
	}
	return "", false
}

func (s Share) room() float64 {
	sum := 0.0
	for _, p := range s.others {
		sum += p.room
	}
	return sum
}

// unit maps a key to a number from zero to less than one.
func unit(key string) float64 { return float64(xxhash.Sum64String(key)>>11) / (1 << 53) }

package team

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// pool is the slots of the upstreams of one model or service, with the teams
// that use them. maxRunning is the number of slots that this entry may use.
type pool struct {
	serves          string
	slots           float64
	members         []*member
	byName          map[rail.TeamName]*member
	peerRates       map[rail.Incarnation]map[rail.TeamName]float64
	maxRunning      int
	running         int
	serviceTime     float64
	publishedDemand string
}

// initialServiceSeconds is the estimate of the service time before any request has ended.
const initialServiceSeconds = 1

// serviceTimeGain is the weight of the latest request in the moving average of the service time.
const serviceTimeGain = 0.05

func newPool(serves string, teams []rail.Team) *pool {
	p := &pool{serves: serves, byName: map[rail.TeamName]*member{}, peerRates: map[rail.Incarnation]map[rail.TeamName]float64{}, serviceTime: initialServiceSeconds}
	p.setTeams(teams)
	return p
}

// setTeams applies the teams of a new document; a removed team keeps its running requests.
func (p *pool) setTeams(teams []rail.Team) {
	known := map[rail.TeamName]bool{}
	for _, t := range teams {
		known[t.Name()] = true
		p.member(t.Name()).team = t
	}
	for _, m := range p.members {
		if !known[m.team.Name()] {
			m.team = rail.NewTeam(m.team.Name(), "", 0, 0)
		}
	}
}

func (p *pool) member(name rail.TeamName) *member {
	m, ok := p.byName[name]
	if !ok {
		m = &member{team: rail.NewTeam(name, "", 0, 0)}
		p.byName[name] = m
		p.members = append(p.members, m)
		slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.team.Name(), b.team.Name()) })
	}
	return m
}

// headroom is the ratio of the slots that a team is expected to need at peak to its mean load.
const headroom = 1.5

// allocate divides the slots of the reachable entries among the teams by share
// and load, and the slots of each team among the entries by request rate. Rates
// are averaged over some seconds. Queue lengths made the allocation oscillate:
// peers receive them late, so all entries yielded and came back at once.
func (p *pool) allocate(reachableShare float64, now time.Time) {
	slots := p.slots * reachableShare
	demands := make([]teamDemand, len(p.members))
	localRate, totalRate := 0.0, 0.0
	for i, m := range p.members {
		m.arrivals.decay(now)
		rate := m.arrivals.rate + m.peerRate
		demands[i] = teamDemand{share: m.team.Share(), demand: headroom * rate * p.serviceTime}
		localRate += m.arrivals.rate
		totalRate += rate
	}
	localSlots := slots
	if totalRate > 0 {
		granted := divide(slots, demands)
		localSlots = 0
		for i, m := range p.members {
			localShare := m.arrivals.rate / math.Max(m.arrivals.rate+m.peerRate, minRate)
			m.allocated = granted[i] * localShare
			m.reserved = m.team.Share() * slots * localShare
			localSlots += m.allocated
			slots -= granted[i]
		}
		localSlots += math.Max(0, slots) * localRate / totalRate
	}
	p.maxRunning = max(1, int(math.Ceil(localSlots-roundingError)))
}

// roundingError is subtracted before rounding up, so that a sum just above an integer does not count as one slot more.
const roundingError = 1e-6

// nextMember returns the team that gets the next slot: first a team below its
// reserved share, then the one with the highest priority, then the one that is
// furthest below its allocated slots.
func (p *pool) nextMember() *member {
	var best *member
	for _, m := range p.members {
		if len(m.queue) > 0 && (best == nil || hasPrecedence(m, best)) {
			best = m
		}
	}
	return best
}

func hasPrecedence(a, b *member) bool {
	switch {
	case a.belowReserved() != b.belowReserved():
		return a.belowReserved()
	case a.team.Priority() != b.team.Priority():
		return a.team.Priority() > b.team.Priority()
	}
	return a.allocated-float64(a.running) > b.allocated-float64(b.running)
}

// preemptible returns the running request to stop for a team below its reserved
// share: the resumable request that started last, of the team furthest above its
// own reserved share.
func (p *pool) preemptible(requests map[rail.RequestID]*activeRequest) *activeRequest {
	var best *activeRequest
	for _, r := range requests {
		m := r.member
		if r.pool != p || r.startedAt.IsZero() || !r.resumable || r.preempted || float64(m.running) <= m.reserved {
			continue
		}
		if best == nil || preemptedBefore(r, best) {
			best = r
		}
	}
	return best
}

func preemptedBefore(a, b *activeRequest) bool {
	excess := func(r *activeRequest) float64 { return float64(r.member.running) - r.member.reserved }
	switch {
	case excess(a) != excess(b):
		return excess(a) > excess(b)
	case !a.startedAt.Equal(b.startedAt):
		return a.startedAt.After(b.startedAt)
	}
	return a.request.ID() < b.request.ID()
}

// expectedWait returns the expected wait of the request that the team queued last.
func (p *pool) expectedWait(m *member) time.Duration {
	if p.running < p.maxRunning {
		return 0
	}
	return time.Duration(float64(len(m.queue)) / p.availableTo(m) * p.serviceTime * float64(time.Second))
}

// availableTo returns how many slots the team can rely on at this entry: all
// but those reserved for other teams if no team of the same or a higher
// priority has queued requests, else its allocated slots.
func (p *pool) availableTo(m *member) float64 {
	available := float64(p.maxRunning)
	for _, other := range p.members {
		switch {
		case other == m:
		case len(other.queue) > 0 && other.team.Priority() >= m.team.Priority():
			return math.Max(1, m.allocated)
		default:
			available -= math.Min(other.reserved, float64(other.running+len(other.queue)))
		}
	}
	return math.Max(1, math.Max(m.allocated, available))
}

// setPeerRates replaces the request rates received from an origin.
func (p *pool) setPeerRates(origin rail.Incarnation, rates map[rail.TeamName]float64) {
	for name, rate := range p.peerRates[origin] {
		m := p.member(name)
		m.peerRate = math.Max(0, m.peerRate-rate)
	}
	delete(p.peerRates, origin)
	for name, rate := range rates {
		p.member(name).peerRate += rate
	}
	if len(rates) > 0 {
		p.peerRates[origin] = rates
	}
}

package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

var epoch = time.Unix(1_800_000_000, 0)

type pendingEffect struct {
	effect rail.Effect
	at     time.Time
}

type pendingAppend struct {
	at     time.Time
	append rail.Append
}

type simulatedEntry struct {
	reducer     *Reducer
	nextOffset  int
	nextTick    time.Time
	pausedUntil time.Time
	pending     []pendingEffect
}

// simulation runs some entries with one log, one cloud and a simulated clock.
// Replies of the cloud are lost, entries pause with fleet records that are not
// written yet, the log becomes unavailable or gets records late, and the cloud
// refuses starts.
type simulation struct {
	rng            *rand.Rand
	now            time.Time
	entries        []*simulatedEntry
	log            []rail.Record
	logUnavailable bool
	appends        []pendingAppend
	byToken        map[string]rail.InstanceID
	cloud          map[rail.InstanceID]rail.Instance
	listedAt       map[rail.InstanceID]time.Time
	calls          int
	expiredCalls   int
	// refusalRate is the fraction of the starts that the cloud refuses.
	refusalRate float64
	work        int
}

func newSimulation(seed uint64, entries int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 9)), now: epoch, byToken: map[string]rail.InstanceID{},
		cloud: map[rail.InstanceID]rail.Instance{}, listedAt: map[rail.InstanceID]time.Time{}, work: 20,
	}
	route := rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")
	document := rail.NewDocument("trial", 1, nil, []rail.Route{route}, nil, "")
	for i := range entries {
		entry := &simulatedEntry{reducer: New(Defaults().WithScaleDownDelay(time.Minute), rail.Incarnation(fmt.Sprint("e", i)))}
		s.entries = append(s.entries, entry)
		s.reduce(entry, rail.NewDocumentInForce(document))
	}
	return s
}

func (s *simulation) reduce(entry *simulatedEntry, e rail.Event) {
	for _, f := range entry.reducer.Reduce(rail.NewInput(e, s.now, s.rng.Uint64())) {
		if t, ok := f.(rail.SetTimer); ok {
			entry.nextTick = s.now.Add(t.After())
			continue
		}
		// The entry may pause between the reducer and the call.
		entry.pending = append(entry.pending, pendingEffect{effect: f, at: s.now})
	}
}

// execute runs the pending effects of an entry that is not paused.
func (s *simulation) execute(entry *simulatedEntry) {
	ready := entry.pending
	entry.pending = nil
	for _, p := range ready {
		switch f := p.effect.(type) {
		case rail.Append:
			s.append(f)
		case Buy:
			if s.now.After(f.Until()) {
				s.expiredCalls++
				continue
			}
			s.buy(entry, f)
		case Release:
			if !s.now.After(f.Until()) {
				delete(s.cloud, f.Instance())
			}
		}
	}
}

// append schedules a record for the log, one in ten some seconds late.
func (s *simulation) append(f rail.Append) {
	late := time.Duration(0)
	if s.rng.Float64() < 0.1 {
		late = time.Duration(s.rng.IntN(12)) * time.Second
	}
	s.appends = append(s.appends, pendingAppend{at: s.now.Add(late), append: f})
}

// deliverAppends adds the records that are due to the log.
func (s *simulation) deliverAppends() {
	rest := s.appends[:0]
	for _, a := range s.appends {
		switch {
		case a.at.After(s.now):
			rest = append(rest, a)
		case !s.logUnavailable:
			s.log = append(s.log, rail.NewRecord(rail.Offset(len(s.log)), s.now, a.append.Kind(), a.append.Body()))
		}
	}
	s.appends = rest
}

// pauses reports whether an entry pauses now, which is more likely while it has a purchase to write.
func (s *simulation) pauses(entry *simulatedEntry) bool {
	chance := 0.003
	for _, p := range entry.pending {
		if a, ok := p.effect.(rail.Append); ok && a.Kind() == rail.RecordFleet {
			chance = 0.2
		}
	}
	return s.rng.Float64() < chance
}

func (s *simulation) buy(entry *simulatedEntry, f Buy) {
	s.calls++
	id, ok := s.byToken[f.Token()]
	switch {
	case !ok && s.rng.Float64() < s.refusalRate:
		s.reduce(entry, NewBuyRefused(f.Token()))
		return
	case !ok:
		id = rail.InstanceID(fmt.Sprint("m", len(s.byToken)))
		s.byToken[f.Token()] = id
		s.cloud[id] = rail.NewInstance(id, f.Offer().Domain(), rail.RoleEngine, "").WithServing(f.Serves(), f.Version()).WithClass(f.Offer().Class())
		s.listedAt[id] = s.now.Add(time.Minute)
	}
	if s.rng.Float64() < 0.6 { // otherwise the reply is lost
		s.reduce(entry, NewBought(f.Token(), id))
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Second)
	for _, entry := range s.entries {
		if s.now.Before(entry.pausedUntil) {
			continue
		}
		if s.pauses(entry) {
			entry.pausedUntil = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Second)
			continue
		}
		s.execute(entry)
		s.deliverAppends()
		s.deliverEvents(entry)
	}
}

// deliverEvents lets an entry read the log, the list and the cloud, and fires its timer.
func (s *simulation) deliverEvents(entry *simulatedEntry) {
	if s.logUnavailable {
		s.reduce(entry, rail.NewLogUnavailable(rail.NewError(rail.KindPlatformUnavailable, "outage")))
	} else {
		s.reduce(entry, rail.NewLogRead(s.log[entry.nextOffset:], 0, rail.Offset(len(s.log)), true))
		entry.nextOffset = len(s.log)
	}
	var list []rail.Instance
	for n := range len(s.byToken) {
		id := rail.InstanceID(fmt.Sprint("m", n))
		if i, ok := s.cloud[id]; ok && s.now.After(s.listedAt[id]) {
			list = append(list, i)
		}
	}
	s.reduce(entry, rail.NewListRead(list))
	for i, x := range list {
		running := s.work / len(list)
		if i < s.work%len(list) {
			running++
		}
		if entry.reducer.state.releasing[x.ID()] {
			running = 0
		}
		s.reduce(entry, rail.NewLoadRead(rail.NewLoad(x.ID(), running, 0, 8, s.now)))
	}
	var offers []rail.Offer
	for _, d := range testDomains {
		offers = append(offers, rail.NewOffer(d, reclaimable, 0.4), rail.NewOffer(d, onDemand, 1))
	}
	s.reduce(entry, NewOffersRead(offers))
	if !entry.nextTick.After(s.now) {
		s.reduce(entry, rail.NewTimerFired(tickTimer))
	}
}

// holders returns how many entries believe that they may act now.
func (s *simulation) holders() int {
	n := 0
	for _, entry := range s.entries {
		if entry.reducer.state.lease.holder == entry.reducer.self && s.now.Before(entry.reducer.heldUntil) {
			n++
		}
	}
	return n
}

func TestNothingIsBoughtTwice(t *testing.T) {
	is := is.New(t)
	calls, started, expired := 0, 0, 0
	for seed := range uint64(100) {
		s := newSimulation(seed, 4)
		// For 20 requests the plan needs 6 instances, so that 4 remain after the loss of any domain. With refusals
		// it may have to buy 4 in each of two domains, and later up to 4 cheaper ones in addition.
		maxInstances := 6
		if seed%2 == 1 {
			s.refusalRate, maxInstances = 0.1, 12
		}
		for second := range 1200 {
			s.logUnavailable = second%300 > 250
			s.step()
			is.True(s.holders() <= 1) // two entries act at the same time
			is.True(len(s.cloud) <= maxInstances)
		}
		is.True(len(s.cloud) >= 4)
		calls += s.calls
		started += len(s.byToken)
		expired += s.expiredCalls
	}
	t.Logf("100 seeds of 20 minutes: %d calls to buy started %d instances; %d calls not made because the lease had expired", calls, started, expired)
	is.True(calls > started)
}

func TestHolderSurvivesOutage(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 3)
	for range 200 {
		s.step()
	}
	before := len(s.byToken)
	s.logUnavailable = true
	s.work = 80
	for range 120 {
		s.step()
	}
	is.Equal(s.holders(), 0)
	is.Equal(len(s.byToken), before) // keeps the existing instances and buys none
	s.logUnavailable = false
	for range 300 {
		s.step()
	}
	is.True(len(s.cloud) > before)
	s.work = 4
	for range 600 {
		s.step()
	}
	is.True(len(s.cloud) <= 3) // releases instances after the demand was low for the scale-down delay
}

// The stable version of a rollout keeps its instances, however little work it has left.
func TestOldVersionIsKeptDuringRollout(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 3)
	for range 200 {
		s.step()
	}
	before := len(s.cloud)
	route := rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")
	moving := []rail.Rollout{rail.NewRollout("drafting", "v2", epoch.Add(time.Hour))}
	for _, entry := range s.entries {
		s.reduce(entry, rail.NewDocumentInForce(rail.NewDocument("trial", 2, nil, []rail.Route{route}, moving, "")))
	}
	s.work = 0
	for range 600 {
		s.step()
	}
	old := 0
	for _, i := range s.cloud {
		if i.Version() == "v1" {
			old++
		}
	}
	is.True(old >= before)
	is.True(len(s.cloud) > old) // the new version has instances of its own
}

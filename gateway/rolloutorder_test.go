package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/gen/railv1"
)

// orderVersion makes all gateways read an order, and plays until the first one has reported its end, for at most the period.
func (f *rolloutFleet) orderVersion(version string, number int64, isBad func() bool) RolloutState {
	const period = 15 * time.Second
	o := NewRolloutOrder("desk", version, period, RolloutRunning).WithID(OrderIDFrom(0, number))
	for _, s := range f.states {
		s.Reduce(f.now, NewRolloutRead(o))
	}
	holder := f.states[f.names[0]]
	for end := f.now.Add(period); f.now.Before(end); {
		f.play(400*time.Millisecond, 100, isBad)
		if verdict, ok := holder.Verdicts()["desk"]; ok && verdict.State() != RolloutRunning {
			holder.Reduce(f.now, NewRolloutRead(verdict))
			f.play(2*time.Second, 100, isBad)
			return verdict.State()
		}
	}
	return RolloutRunning
}

// Guards against a version that gets all requests, or none, because of how an earlier rollout to it ended.
func TestVersionThatIsOrderedAgainIsEvaluatedAnew(t *testing.T) {
	for _, n := range restorableFleetSizes {
		for _, c := range []struct {
			name         string
			first, again float64 // The share of bad answers.
			ends         [2]RolloutState
		}{
			{"good, then bad", 0, 0.38, [2]RolloutState{RolloutDone, RolloutRolledBack}},
			{"good, then seldom bad", 0, 0.2, [2]RolloutState{RolloutDone, RolloutRolledBack}},
			{"bad, then good", 0.5, 0, [2]RolloutState{RolloutRolledBack, RolloutDone}},
		} {
			t.Run(c.name+" "+strconv.Itoa(n), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newRolloutFleet(n, 1)
				f.play(2*time.Second, 100, func() bool { return false })
				is.Equal(f.orderVersion("v2", 1, func() bool { return f.random.Float64() < c.first }), c.ends[0])
				is.Equal(f.orderVersion("v1", 2, func() bool { return false }), RolloutDone)
				f.sent, f.sentNew = 0, 0
				is.Equal(f.orderVersion("v2", 3, func() bool { return f.random.Float64() < c.again }), c.ends[1])
				t.Logf("%d of %d requests to the version, %d bad answers", f.sentNew, f.sent, f.bad)
				if c.ends[1] == RolloutRolledBack {
					is.True(float64(f.sentNew) <= 0.1*float64(f.sent)+50)
				}
				for _, s := range f.states {
					is.Equal(s.rollouts["desk"].id, OrderIDFrom(0, 3))
					is.Equal(s.rollouts["desk"].bad, c.ends[1] == RolloutRolledBack)
				}
			})
		}
	}
}

// Guards against a service without any upstream that may be used, since a version is ordered that serves already.
func TestVersionThatServesIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(6, 1)
	f.play(2*time.Second, 100, func() bool { return false })
	is.Equal(f.orderVersion("v2", 1, func() bool { return false }), RolloutDone)
	f.keepVersion("v2")
	before := f.sent
	is.Equal(f.orderVersion("v2", 2, func() bool { return false }), RolloutDone)
	is.Equal(f.sent-before, 240) // All requests of 2.4 s.
}

// A record that is read again, or that the operator writes again after a restore, is the same order; a later one is not.
func TestOrdersOfTheSameVersion(t *testing.T) {
	const minute = time.Minute
	for _, c := range []struct {
		name     string
		restored time.Duration // How long before the second order the store was restored, zero for never.
		ended    bool
		id       OrderID
		period   time.Duration
		same     bool
	}{
		{"read again", 0, true, OrderIDFrom(0, 4), minute, true},
		{"written twice while it runs", 0, false, OrderIDFrom(0, 6), minute, true},
		{"another period", 0, false, OrderIDFrom(0, 6), 2 * minute, false},
		{"ordered again", 0, true, OrderIDFrom(0, 6), minute, false},
		{"the copy has it", time.Hour, true, OrderIDFrom(1, 4), minute, true},
		{"written again after a restore", 3 * time.Second, true, OrderIDFrom(1, 9), minute, true},
		{"ordered again after a restore", minute, true, OrderIDFrom(1, 9), minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			first := NewRolloutOrder("desk", "v2", minute, RolloutRunning).WithID(OrderIDFrom(0, 4))
			h.post(NewRolloutRead(first))
			if c.ended {
				first.state = RolloutDone
				h.post(NewRolloutRead(first))
				h.post(NewRolloutRead(NewRolloutOrder("other", "v2", minute, RolloutRunning).WithID(OrderIDFrom(0, 5))))
			}
			started := h.state.rollouts["desk"].startedAt
			h.advance(2 * time.Hour)
			if c.restored > 0 {
				h.post(StoreRestored{})
				h.advance(c.restored)
			}
			h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", c.period, RolloutRunning).WithID(c.id)))
			r := h.state.rollouts["desk"]
			is.Equal(r.startedAt.Equal(started), c.same)
			is.Equal(r.state == RolloutDone, c.ended && c.same)
			is.True(r.hasID(c.id))
			is.Equal(r.hasID(OrderIDFrom(0, 4)), c.same) // Peers that have not read the new record yet report the old one.
		})
	}
}

// Guards against a verdict of an older gateway, which names no order, that is taken for one on a later order of the same version.
func TestVerdictsOfOlderGateways(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	sequence := int64(0)
	digest := func() {
		sequence++
		m := &railv1.GatewayDigest{Gateway: "older", Incarnation: "first", Sequence: sequence, Verdicts: []*railv1.RolloutVerdict{{Service: "desk", Version: "v2", Done: true}}}
		h.post(NewDigestReceived(DigestFrom(m)))
	}
	order := func(version string, number int64) *rollout {
		h.post(NewRolloutRead(NewRolloutOrder("desk", version, time.Minute, RolloutRunning).WithID(OrderIDFrom(0, number))))
		return h.state.rollouts["desk"]
	}
	first := order("v2", 1)
	is.Equal(first.state, RolloutRunning)
	digest()
	is.Equal(first.state, RolloutDone) // It was reached since the order.
	order("v1", 2)
	again := order("v2", 3)
	digest()
	is.Equal(again.state, RolloutRunning)
	for _, v := range h.state.Digest(h.now).Message().GetVerdicts() {
		is.True(v.GetOrder() != nil) // Nor is it passed on without an order.
	}
	started := newHarness()
	started.post(NewDigestReceived(DigestFrom(&railv1.GatewayDigest{Gateway: "older", Incarnation: "first", Verdicts: []*railv1.RolloutVerdict{{Service: "desk", Version: "v2", Done: true}}})))
	started.post(NewRolloutRead(NewRolloutOrder("desk", "v2", time.Minute, RolloutRunning).WithID(OrderIDFrom(0, 3))))
	is.Equal(started.state.rollouts["desk"].state, RolloutDone) // A gateway that has just started has no other knowledge.
}

// Digests of gateways with and without the ids of orders are understood in both directions.
func TestEvidenceBesideOlderGateways(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", time.Minute, RolloutRunning).WithID(OrderIDFrom(2, 7))))
	r := h.state.rollouts["desk"]
	order := func(era, number int64) *railv1.RolloutOrderID {
		return &railv1.RolloutOrderID{Era: era, Number: number}
	}
	h.post(NewDigestReceived(DigestFrom(&railv1.GatewayDigest{Gateway: "older", Incarnation: "first", Versions: []*railv1.VersionTally{{Service: "desk", Version: "v2", Good: 3, Bad: 1}}})))
	h.post(NewDigestReceived(DigestFrom(&railv1.GatewayDigest{Gateway: "newer", Incarnation: "first", Versions: []*railv1.VersionTally{
		{Service: "desk", Version: "v2", Good: 500, Order: order(2, 3)}, {Service: "desk", Version: "v2", Good: 20, Bad: 5, Order: order(2, 7)},
	}})))
	target, _ := h.state.tallies(r)
	is.Equal(target, tally{good: 23, bad: 6})
	// An older gateway keeps the last tally of a version, and reads neither ids nor what it does not know.
	h.state.versions[versionKey{"desk", "v2", OrderIDFrom(2, 7)}] = tally{good: 8, bad: 2}
	m := h.state.Reply(h.now, "older").Message()
	last := map[string]*railv1.VersionTally{}
	for _, v := range m.GetVersions() {
		last[v.GetService()+v.GetVersion()] = v
	}
	is.Equal(last["deskv2"].GetGood(), int64(8))
	is.Equal(last["deskv2"].GetBad(), int64(2))
	r.bad = true
	verdicts := h.state.Digest(h.now).Message().GetVerdicts()
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].GetVersion(), "v2")
	is.True(!verdicts[0].GetDone())
}

// Guards against a status that was read before several orders and ends a later one of the same version.
func TestStatusThatWasReadLongAgo(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(strconv.FormatBool(known), func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			id := OrderID{}
			if known {
				id = OrderIDFrom(1, 3)
			}
			order := func(version string, era, number int64) *rollout {
				h.post(NewRolloutRead(NewRolloutOrder("desk", version, time.Minute, RolloutRunning).WithID(OrderIDFrom(era, number))))
				return h.state.rollouts["desk"]
			}
			h.post(NewRolloutStatusRead(NewRolloutStatus("desk", "v2", RolloutRolledBack, id)))
			is.Equal(order("v2", 1, 3).state, RolloutRolledBack)
			h.advance(time.Minute)
			is.Equal(order("v1", 1, 5).state, RolloutRunning)
			h.advance(time.Minute).post(StoreRestored{})
			h.advance(time.Minute)
			is.Equal(order("v2", 2, 8).state, RolloutRunning)
		})
	}
}

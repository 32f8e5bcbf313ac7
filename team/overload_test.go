package team

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

const simulatedTime = 2 * time.Minute

var (
	counter   = rail.NewTeam("counter", "", 0.4, 3)
	neighbour = rail.NewTeam("neighbour", "", 0.2, 1)
)

// capacity is the number of requests that all slots can complete in the simulated time.
var capacity = simSlots * simulatedTime.Seconds() / meanService.Seconds()

func TestPriorityTeamBesideNeighbour(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		run := func(s Settings, neighbours float64, admitAll bool) *simulation {
			sim := newSimulation(seed, s, counter, neighbour)
			sim.admitAll = admitAll
			sim.generate(load{team: counter, multiple: 0.3})
			if neighbours > 0 {
				sim.generate(load{team: neighbour, multiple: neighbours})
			}
			sim.runUntil(simulatedTime)
			return sim
		}
		alone := run(Defaults(), 0, false).p95("counter")
		withoutAdmission := run(Defaults(), 3, true).p95("counter")
		beside := run(Defaults(), 3, false)
		preempting := run(Defaults().WithPreemption(true), 3, false)
		t.Logf("seed %d, the counter's wait p95: alone %s; beside a neighbour at 3 times capacity %s (refused %d of %d), with preemption %s (refused %d), without admission %s; neighbour answered %.2f of capacity, with preemption %.2f",
			seed, alone, beside.p95("counter"), beside.refused["counter"], len(beside.waits["counter"]),
			preempting.p95("counter"), preempting.refused["counter"], withoutAdmission,
			float64(len(beside.waits["neighbour"]))/capacity, float64(len(preempting.waits["neighbour"]))/capacity)
		is.True(beside.p95("counter") <= meanService)
		is.True(withoutAdmission > 10*time.Second)
		is.True(beside.refused["counter"] <= len(beside.waits["counter"])/100)
		is.True(len(beside.waits["neighbour"]) > int(0.6*capacity)) // the neighbour uses the slots that the counter does not need
	}
}

func TestGoodputAtOverload(t *testing.T) {
	for _, multiple := range []float64{1, 2, 4} {
		is := is.New(t)
		sim := newSimulation(1, Defaults(), counter, neighbour)
		sim.generate(load{team: counter, multiple: 0.4 * multiple})
		sim.generate(load{team: neighbour, multiple: 0.6 * multiple})
		sim.runUntil(simulatedTime)
		withoutAdmission := newSimulation(1, Defaults(), counter, neighbour)
		withoutAdmission.admitAll = true
		withoutAdmission.generate(load{team: counter, multiple: 0.4 * multiple})
		withoutAdmission.generate(load{team: neighbour, multiple: 0.6 * multiple})
		withoutAdmission.runUntil(simulatedTime)
		good, baseline := sim.goodput(), withoutAdmission.goodput()
		t.Logf("%g times capacity: goodput %.3f of capacity, without admission %.3f; refused counter %d neighbour %d, wait p95 counter %s neighbour %s", multiple, good, baseline,
			sim.refused["counter"], sim.refused["neighbour"], sim.p95("counter"), sim.p95("neighbour"))
		is.True(good > 0.8)
	}
}

// goodput returns the requests answered within the target as a fraction of the capacity.
func (sim *simulation) goodput() float64 {
	return float64(sim.withinTarget["counter"]+sim.withinTarget["neighbour"]) / capacity
}

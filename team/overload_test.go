package team

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

const figureTime = 2 * time.Minute

var (
	counter   = rail.NewTeam("counter", "", 0.4, 3)
	neighbour = rail.NewTeam("neighbour", "", 0.2, 1)
)

// capacity is the number of requests that the slots can do in the time of a figure.
var capacity = worldSlots * figureTime.Seconds() / meanService.Seconds()

func TestPriorityTeamBesideNeighbour(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		run := func(s Settings, neighbours float64, open bool) *world {
			w := newWorld(seed, s, counter, neighbour)
			w.open = open
			w.offer(load{team: counter, times: 0.3})
			if neighbours > 0 {
				w.offer(load{team: neighbour, times: neighbours})
			}
			w.until(figureTime)
			return w
		}
		alone := run(Defaults(), 0, false).p95("counter")
		open := run(Defaults(), 3, true).p95("counter")
		beside := run(Defaults(), 3, false)
		stopping := run(Defaults().WithPreemption(true), 3, false)
		t.Logf("seed %d, the counter's wait p95: alone %s; beside a neighbour at 3 times capacity %s (refused %d of %d), with preemption %s (refused %d), without admission %s; neighbour answered %.2f of capacity, with preemption %.2f",
			seed, alone, beside.p95("counter"), beside.refused["counter"], len(beside.latency["counter"]),
			stopping.p95("counter"), stopping.refused["counter"], open,
			float64(len(beside.latency["neighbour"]))/capacity, float64(len(stopping.latency["neighbour"]))/capacity)
		is.True(beside.p95("counter") <= meanService)
		is.True(open > 10*time.Second)
		is.True(beside.refused["counter"] <= len(beside.latency["counter"])/100)
		is.True(len(beside.latency["neighbour"]) > int(0.6*capacity)) // what the counter leaves is used
	}
}

func TestGoodputAtOverload(t *testing.T) {
	for _, times := range []float64{1, 2, 4} {
		is := is.New(t)
		w := newWorld(1, Defaults(), counter, neighbour)
		w.offer(load{team: counter, times: 0.4 * times})
		w.offer(load{team: neighbour, times: 0.6 * times})
		w.until(figureTime)
		open := newWorld(1, Defaults(), counter, neighbour)
		open.open = true
		open.offer(load{team: counter, times: 0.4 * times})
		open.offer(load{team: neighbour, times: 0.6 * times})
		open.until(figureTime)
		good, base := w.good(), open.good()
		t.Logf("%g times capacity: goodput %.3f of capacity, without admission %.3f; refused counter %d neighbour %d, wait p95 counter %s neighbour %s", times, good, base,
			w.refused["counter"], w.refused["neighbour"], w.p95("counter"), w.p95("neighbour"))
		is.True(good > 0.8)
	}
}

// good returns the part of the capacity that was spent on answers within the target.
func (w *world) good() float64 {
	return float64(w.within["counter"]+w.within["neighbour"]) / capacity
}

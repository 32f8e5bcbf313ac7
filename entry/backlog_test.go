package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// sendRequests sends the requests and returns how many were dispatched at once.
func (d *driver) sendRequests(requests int) int {
	started := 0
	for i := range requests {
		if _, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.modelRequest(fmt.Sprint(i))))); ok {
			started++
		}
	}
	return started
}

func TestReclaimedEntryHandsOverQueuedRequests(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 2, 4, 2))
	const requests = 60
	started := d.sendRequests(requests)
	is.True(started > 0)
	is.True(started < requests)
	moved := map[rail.RequestID]bool{}
	effects := d.reduce(rail.NewShutdownStarted(true).WithDeadline(d.now.Add(5 * time.Second)))
	for len(effects) > 0 {
		var next []rail.Effect
		for _, effect := range effects {
			switch e := effect.(type) {
			case answer.HandOver:
				next = append(next, d.reduce(answer.NewHandoverAnswered(e.Successor().ID(), e.Sequence()))...)
			case answer.Moved:
				moved[e.Call()] = true
			}
		}
		effects = next
	}
	is.Equal(len(moved), requests)
}

func TestShutdownWaitsForQueuedRequests(t *testing.T) {
	is := is.New(t)
	// One slot, so that no request runs for a moment between two others.
	engines := newFleet(2, 0, 1, 0)
	d := newDriver(engines)
	d.reduce(rail.NewLoadRead(rail.NewLoad(engines[0].ID(), 0, 0, 1, d.now)))
	d.reduce(rail.NewShutdownStarted(false))
	d.now = d.now.Add(4 * time.Second)
	const requests = 4
	is.Equal(d.sendRequests(requests), 1)
	// From here on the entry refuses new requests, but the team's queue has not refused these.
	d.now = d.now.Add(1500 * time.Millisecond)
	for i := range requests {
		effects := d.reduce(answer.NewEnded(rail.RequestID(fmt.Sprint(i)), 1, rail.NewUsage(3, 3, 16)))
		finished, _ := findEffect[answer.Finished](effects)
		is.Equal(finished.Kind(), rail.KindNone)
		is.True(!isDrained(effects)) // the entry checks again after a short delay
	}
	d.now = d.now.Add(time.Second)
	is.True(isDrained(d.reduce(rail.NewTimerFired("answer.drain"))))
}

// isDrained reports whether the effects set the timer that ends a drained entry.
func isDrained(effects []rail.Effect) bool {
	for _, effect := range effects {
		if timer, ok := effect.(rail.SetTimer); ok && timer.Name() == "entry.left" {
			return true
		}
	}
	return false
}

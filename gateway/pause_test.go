package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// tick posts Ticked each TickInterval for the time.
func (h *harness) tick(d time.Duration) []Effect {
	var effects []Effect
	for end := h.now.Add(d); h.now.Before(end); {
		effects = append(effects, h.advance(min(TickInterval, end.Sub(h.now))).post(Ticked{})...)
	}
	return effects
}

// A process that did not run for a second has not read what its engines sent; their streams must not be given up for it.
func TestPausedGatewayKeepsItsStreams(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		paused time.Duration
		silent time.Duration // With ticks, after the pause.
		aborts int
	}{
		{"a second", "/drafts/1", time.Second, 0, 0},
		{"longer than a stall", "/drafts/1", 8 * time.Second, 0, 0},
		{"engine silent after a pause", "/drafts/1", time.Second, 2 * silentEngineTimeout, 3},
		{"engine silent without a pause", "/drafts/1", 0, 2 * silentEngineTimeout, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"))
			for range 3 {
				h.advance(time.Millisecond)
				c := h.call(test.path)
				h.arrive(c)
				h.post(AnswerStarted{call: c})
			}
			h.list(UpstreamSet(testEngine("b", "north"))) // To which streams may move.
			is.Equal(len(aborts(h.tick(2*TickInterval))), 0)
			is.Equal(len(aborts(h.advance(test.paused).post(Ticked{}))), 0)
			is.Equal(len(abortedCalls(h.idle(test.silent))), test.aborts)
		})
	}
}

// Guards against a lack of processor time that no log line tells.
func TestLateTicksAreReported(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	delays := func(gap time.Duration) int {
		return reportsOf(h.advance(gap).post(Ticked{}), rail.EventProcessDelayed)
	}
	is.Equal(delays(time.Minute), 0) // Before the first tick.
	is.Equal(delays(TickInterval), 0)
	is.Equal(delays(maxTickGap), 0)
	is.Equal(delays(maxTickGap+time.Millisecond), 1)
	is.Equal(delays(maxTickGap+time.Millisecond), 0) // Not again so soon.
	is.Equal(delays(delayReportInterval), 1)
}

package order_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

const (
	historySteps = 120
	// maxDrainSteps bounds the steps that deliver all messages in flight at the end of a history.
	maxDrainSteps = 400
)

// TestMain sets the seed and the number of histories, so that each run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": histories, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestOrdersRunAtMostOnce runs three entries through random histories with failures.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, true)
		s.readAll()
		for range historySteps {
			s.step()
		}
		s.drain()
		s.checkRuns()
		for _, o := range s.orders {
			for _, p := range s.entries {
				s.submitTo(o, p)
			}
		}
		s.drain()
		s.checkRuns()
	})
}

// step performs one random action.
func (s *simulation) step() {
	switch n := s.pick(100); {
	case n < 45:
		s.deliver()
	case n < 65:
		s.readLog(s.anyEntry(), 1+s.pick(20))
	case n < 70:
		s.newOrder()
	case n < 80:
		if len(s.orders) > 0 {
			s.submit(s.orders[s.pick(len(s.orders))])
		}
	case n < 90:
		s.advance([]time.Duration{
			time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond, time.Second, 2 * time.Second, 70 * time.Second, 200 * time.Second,
		}[s.pick(7)])
	default:
		s.injectFailure()
	}
}

// deliver delivers or loses one message in flight.
func (s *simulation) deliver() {
	if len(s.pending) == 0 {
		return
	}
	i := s.pick(len(s.pending))
	m := s.pending[i]
	if m.from != nil && m.from.paused {
		return
	}
	s.pending = append(s.pending[:i], s.pending[i+1:]...)
	if s.chance(1) && m.lose != nil {
		switch s.pick(3) {
		case 0:
			m.deliver()
		case 1:
			s.pending = append(s.pending, m) // delivered after it was reported lost
		}
		m.lose()
		return
	}
	m.deliver()
}

// advance moves the clock, deletes records past the retention and fires the timers that are due.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for s.oldest < len(s.log) && s.now.Sub(s.log[s.oldest].At()) > testRetention {
		s.oldest++
	}
	for _, p := range s.entries {
		p.fireTimers()
	}
}

func (p *process) fireTimers() {
	if p.paused {
		return
	}
	for _, name := range []rail.TimerName{"order.claims", "order.commit", "order.repeat", "order.handover", "order.sweep", "order.mark"} {
		if at, ok := p.timers[name]; ok && !at.After(p.sim.now) {
			delete(p.timers, name)
			p.post(rail.NewTimerFired(name))
		}
	}
}

// injectFailure starts or ends one random failure.
func (s *simulation) injectFailure() {
	p := s.anyEntry()
	switch s.pick(12) {
	case 0, 1, 2:
		p.paused = true
		s.tracef("%s pauses", p.self)
	case 3, 4, 5:
		p.resume(s.pick(2) == 0)
	case 6:
		s.tracef("%s is terminated", p.self)
		p.terminated = true
		s.start(p.slot)
	case 7, 8:
		s.outage = !s.outage && s.pick(2) == 0
		s.tracef("outage %v", s.outage)
	case 9, 10:
		if s.focus == focusKeys {
			s.advance(testWindow)
			return
		}
		to := s.anyEntry()
		s.tracef("%s is sealed, successor %s", p.self, to.self)
		p.post(order.NewSealed(to.self))
	case 11:
		// The log deletes records before their retention has passed.
		if s.oldest < len(s.log) {
			s.oldest += s.pick(len(s.log) - s.oldest + 1)
			s.tracef("log starts at %d", s.oldest)
		}
	}
}

// resume ends the pause of an entry; its timers fire before or after the events received meanwhile.
func (p *process) resume(timersFirst bool) {
	if !p.paused {
		return
	}
	p.sim.tracef("%s resumes", p.self)
	p.paused = false
	if timersFirst {
		p.fireTimers()
	}
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		p.post(e)
	}
	p.fireTimers()
}

// drain ends all failures and delivers all messages in flight.
func (s *simulation) drain() {
	s.outage, s.flaky = false, false
	for _, p := range s.entries {
		p.resume(true)
	}
	for range maxDrainSteps {
		if len(s.pending) > 0 {
			m := s.pending[0]
			s.pending = s.pending[1:]
			m.deliver()
			continue
		}
		s.readAll()
		s.advance(600 * time.Millisecond)
		if len(s.pending) == 0 && s.idle() {
			return
		}
	}
}

func (s *simulation) readAll() {
	for _, p := range s.entries {
		s.readLog(p, len(s.log))
	}
}

// idle reports whether all calls are answered and all records are read.
func (s *simulation) idle() bool {
	for _, p := range s.entries {
		if len(p.callbacks) > 0 || p.read < len(s.log) {
			return false
		}
	}
	return true
}

// checkRuns compares the runs that the service counted with the answers of the callers.
func (s *simulation) checkRuns() {
	for _, id := range s.notRun {
		if s.runsByRequest[id] > 0 {
			s.failf("request %s was refused as not run, but ran", id)
		}
	}
	for _, o := range s.orders {
		if s.runsByOrder[o.body] > 1 {
			s.failf("%s ran %d times", o.body, s.runsByOrder[o.body])
		}
		if o.sent > 0 && o.notRunRefusals == o.sent && s.runsByOrder[o.body] > 0 {
			s.failf("every request of %s was refused as not run, but it ran", o.body)
		}
	}
}

// TestEveryOrderIsAnswered runs the entries without failures: each order runs once and is answered.
func TestEveryOrderIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, false)
		s.readAll()
		for range 10 {
			s.newOrder()
			s.submit(s.orders[s.pick(len(s.orders))])
			s.deliver()
			s.advance(time.Duration(s.pick(30)) * time.Millisecond)
			s.readLog(s.anyEntry(), 10)
		}
		s.drain()
		for _, o := range s.orders {
			if o.answers != o.sent || (o.sent > 0 && s.runsByOrder[o.body] != 1) {
				s.failf("%s: sent %d, answered %d, ran %d", o.body, o.sent, o.answers, s.runsByOrder[o.body])
			}
		}
	})
}

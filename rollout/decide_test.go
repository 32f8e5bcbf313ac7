package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
)

// status returns what the entry says of the route.
func status(n *node, name rail.RouteName) Status {
	for _, s := range n.part.Status() {
		if s.Route() == name {
			return s
		}
	}
	return Status{}
}

// inDomain returns the first entry in the domain.
func (w *world) inDomain(d rail.Domain) *node {
	for _, n := range w.nodes {
		if n.dom == d {
			return n
		}
	}
	return nil
}

func TestCutOffDomainNeverRaisesAndFollowsTheVerdict(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 8, trialWindow, nil)
	w.run(20*time.Second, nil)
	w.cutDomain("edolo", true)
	cut := w.inDomain("edolo")
	last := status(cut, counter).Share()
	w.run(trialWindow, func() bool {
		share := status(cut, counter).Share()
		is.True(share <= last) // a cut-off entry gave a larger share
		last = share
		return false
	})
	is.Equal(last, 0.0)
	is.Equal(status(w.nodes[0], counter).Verdict(), OutcomeDone)
	is.Equal(status(w.nodes[0], counter).UnreachableDomains(), []rail.Domain{"edolo"})
	w.cutDomain("edolo", false)
	w.run(5*time.Second, nil)
	is.Equal(status(cut, counter).Share(), 1.0)
	is.Equal(status(cut, counter).UnreachableDomains(), []rail.Domain{"edolo"})
}

func TestCutOffDomainStillBrakes(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 8, trialWindow, failing(0.5))
	w.cutDomain("edolo", true)
	w.run(2*time.Minute, nil)
	cut := status(w.inDomain("edolo"), counter)
	is.True(cut.Braked())
	is.Equal(cut.Share(), 0.0)
	is.Equal(cut.Verdict(), OutcomeNone)
	w.cutDomain("edolo", false)
	w.run(5*time.Second, nil)
	is.Equal(w.verdicts(counter), map[Outcome]int{OutcomeRolledBack: 8})
}

func TestBrakeOfPeerStopsTraffic(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 1, trialWindow, nil)
	n := w.nodes[0]
	w.read(n)
	is.True(status(n, counter).Share() > 0)
	k := rail.NewFactKey(rail.FactBrake, n.part.routes[counter].key.subject(), "peer")
	w.feed(n, rail.NewFactsLearned([]rail.Fact{rail.NewFact(k, 1, "fails")}))
	is.Equal(status(n, counter).Share(), 0.0)
	is.True(status(n, workshop).Share() > 0)
	w.feed(n, rail.NewDocumentInForce(w.document.WithNumber(2)))
	is.Equal(status(n, counter).Share(), 0.0) // sticky over a newer document
}

func TestDeadline(t *testing.T) {
	tests := []struct {
		name    string
		rate    float64
		logAway bool
	}{
		{"no requests", 0, false},
		{"log away", 30, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3, 4, time.Minute, nil)
			w.routes[counter].rate, w.logAway = tt.rate, tt.logAway
			w.run(time.Minute+time.Second, nil)
			for _, n := range w.nodes {
				is.Equal(status(n, counter).Share(), 0.0)
			}
			w.logAway = false
			w.run(10*time.Second, nil)
			is.Equal(w.verdicts(counter), map[Outcome]int{OutcomeRolledBack: 4})
			is.Equal(status(w.nodes[0], counter).Reason(), "not enough evidence by the deadline")
		})
	}
}

func TestTakenBackNeedsNewDeadline(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 4, time.Minute, failing(1))
	w.run(time.Minute, nil)
	is.Equal(w.verdicts(counter), map[Outcome]int{OutcomeRolledBack: 4})
	n := w.nodes[0]
	w.feed(n, rail.NewDocumentInForce(w.document.WithNumber(2)))
	is.Equal(status(n, counter).Share(), 0.0)
	again := rail.NewRollout(counter, newVersion, epoch.Add(time.Hour))
	w.feed(n, rail.NewDocumentInForce(rail.NewDocument("trial", 3, nil, w.document.Routes(), []rail.Rollout{again}, "")))
	is.Equal(status(n, counter).Verdict(), OutcomeNone)
	is.Equal(status(n, counter).Share(), Defaults().steps[0].Share())
}

func TestOutageOfBothVersionsTakesNothingBack(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		w := newWorld(seed, 6, trialWindow, nil)
		if seed%2 == 1 {
			w.writeEvery = 10 * time.Second
		}
		base := w.baseFail
		w.run(time.Duration(20+5*seed)*time.Second, nil)
		w.baseFail = 0.5
		w.run(20*time.Second, nil)
		w.baseFail = base
		w.run(trialWindow-w.now.Sub(epoch), nil)
		is.Equal(w.verdicts(counter), map[Outcome]int{OutcomeDone: 6})
	}
}

func TestFaultAfterDoneBrakes(t *testing.T) {
	is := is.New(t)
	from := trialWindow + time.Minute
	w := newWorld(5, 5, trialWindow, func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if after < from {
			return o
		}
		return failing(0.5)(o, r, after, share, roll)
	})
	w.run(from, nil)
	is.Equal(w.verdicts(counter), map[Outcome]int{OutcomeDone: 5})
	w.run(10*time.Second, nil)
	fresh := w.start(9)
	w.run(5*time.Second, nil)
	for _, n := range append(w.nodes[:5:5], fresh) {
		s := status(n, counter)
		is.Equal(s.Verdict(), OutcomeDone) // the first verdict stands
		is.True(s.Braked())
		is.Equal(s.Share(), 0.0)
	}
}

func TestFreshEntryWithoutLogFollowsPeers(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 4, trialWindow, nil)
	w.run(trialWindow, nil)
	w.logAway = true
	n := w.start(4)
	is.Equal(status(n, counter).Share(), 0.0)
	w.run(10*time.Second, nil)
	is.Equal(status(n, counter).Share(), 1.0)
}

func TestStandingVerdictIsKeptInTheLog(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 9, trialWindow, nil)
	w.run(trialWindow, nil)
	before := len(w.log)
	for _, v := range w.routes {
		v.rate = 0
	}
	w.run(Defaults().keep, nil)
	is.True(len(w.log) > before)
	is.True(len(w.log) <= before+2*4) // few of the entries append again, for each of two routes
	is.Equal(w.verdicts(counter), map[Outcome]int{OutcomeDone: 9})
}

// Entries that read the same records hold the same verdict, in whatever portions they read them and whatever peers told them before.
func TestSameRecordsSameVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		w := newWorld(8, 2, trialWindow, nil)
		a, b := w.nodes[0], w.nodes[1]
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeRolledBack}), 1, 6).Draw(t, "outcomes")
		k := a.part.routes[counter].key
		var records []rail.Record
		for i, o := range outcomes {
			v := verdict{Route: k.route, Stable: k.stable, Version: k.version, DeadlineMs: k.deadline, Outcome: o}
			records = append(records, rail.NewRecord(rail.Offset(i), w.now, rail.RecordVerdict, v.body()))
		}
		w.feed(a, rail.NewLogRead(records, 0, rail.Offset(len(records)), true))
		told := rapid.IntRange(0, len(records)-1).Draw(t, "told")
		e := a.part.routes[counter].evidence("breno", 1)
		e.verdict, e.offset = &verdict{}, rail.Offset(told)
		*e.verdict = verdict{Route: k.route, Stable: k.stable, Version: k.version, DeadlineMs: k.deadline, Outcome: outcomes[told]}
		fact := rail.NewFact(rail.NewFactKey(rail.FactEvidence, k.subject(), a.me), 1, e.text())
		w.feed(b, rail.NewFactsLearned([]rail.Fact{fact}))
		for _, r := range records {
			w.feed(b, rail.NewLogRead([]rail.Record{r}, 0, r.Offset()+1, true))
		}
		is.Equal(status(a, counter), status(b, counter))
	})
}

func TestEvidenceText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		count := func(name string) counts {
			n := rapid.IntRange(0, 1e6)
			return counts{total: n.Draw(t, name), failed: n.Draw(t, name), slow: n.Draw(t, name)}
		}
		e := evidence{domain: "breno", step: rapid.IntRange(0, 4).Draw(t, "step"), start: epoch, steps: 2}
		e.tally.old, e.tally.steps[0], e.tally.steps[1] = count("old"), count("first"), count("second")
		if rapid.Bool().Draw(t, "verdict") {
			e.verdict, e.offset = &verdict{Route: "a b @ c", Outcome: OutcomeDone}, 7
		}
		got, ok := parseEvidence(e.text())
		is.True(ok)
		is.Equal(got.text(), e.text())
	})
}

func FuzzParseEvidence(f *testing.F) {
	f.Add("breno 2 1800000000000 100,1,10 5,0,1")
	f.Add("breno 2 1800000000000 100,1,10 @7 {}")
	f.Fuzz(func(t *testing.T, text string) {
		if e, ok := parseEvidence(text); ok {
			if _, again := parseEvidence(e.text()); !again {
				t.Fatalf("%q can't be read again from %q", text, e.text())
			}
		}
	})
}

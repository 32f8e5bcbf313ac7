package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
)

// status returns the entry's rollout status of the route.
func status(te *testEntry, name rail.RouteName) Status {
	for _, s := range te.reducer.Status() {
		if s.Route() == name {
			return s
		}
	}
	return Status{}
}

// inDomain returns the first entry in the domain.
func (sim *simulation) inDomain(d rail.Domain) *testEntry {
	for _, te := range sim.entries {
		if te.domain == d {
			return te
		}
	}
	return nil
}

func TestPartitionedDomainNeverRaisesShareAndFollowsVerdict(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8, trialWindow, nil)
	sim.run(20*time.Second, nil)
	sim.setPartitioned("edolo", true)
	partitioned := sim.inDomain("edolo")
	last := status(partitioned, counter).Share()
	sim.run(trialWindow, func() bool {
		share := status(partitioned, counter).Share()
		is.True(share <= last) // the share must not grow in a partitioned domain
		last = share
		return false
	})
	is.Equal(last, 0.0)
	is.Equal(status(sim.entries[0], counter).Verdict(), OutcomeDone)
	is.Equal(status(sim.entries[0], counter).UnreachableDomains(), []rail.Domain{"edolo"})
	sim.setPartitioned("edolo", false)
	sim.run(5*time.Second, nil)
	is.Equal(status(partitioned, counter).Share(), 1.0)
	is.Equal(status(partitioned, counter).UnreachableDomains(), []rail.Domain{"edolo"})
}

func TestPartitionedDomainStillBrakes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 8, trialWindow, failing(0.5))
	sim.setPartitioned("edolo", true)
	sim.run(2*time.Minute, nil)
	partitioned := status(sim.inDomain("edolo"), counter)
	is.True(partitioned.Braked())
	is.Equal(partitioned.Share(), 0.0)
	is.Equal(partitioned.Verdict(), OutcomeNone)
	sim.setPartitioned("edolo", false)
	sim.run(5*time.Second, nil)
	is.Equal(sim.verdicts(counter), map[Outcome]int{OutcomeRolledBack: 8})
}

func TestBrakeOfPeerStopsTraffic(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 1, trialWindow, nil)
	te := sim.entries[0]
	sim.readLog(te)
	is.True(status(te, counter).Share() > 0)
	k := rail.NewFactKey(rail.FactBrake, te.reducer.rollouts[counter].key.subject(), "peer")
	sim.reduce(te, rail.NewFactsLearned([]rail.Fact{rail.NewFact(k, 1, "fails")}))
	is.Equal(status(te, counter).Share(), 0.0)
	is.True(status(te, workshop).Share() > 0)
	sim.reduce(te, rail.NewDocumentInForce(sim.document.WithNumber(2)))
	is.Equal(status(te, counter).Share(), 0.0) // a brake outlasts a newer document
}

func TestDeadline(t *testing.T) {
	tests := []struct {
		name           string
		rate           float64
		logUnavailable bool
	}{
		{"no requests", 0, false},
		{"log unavailable", 30, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(3, 4, time.Minute, nil)
			sim.routes[counter].rate, sim.logUnavailable = tt.rate, tt.logUnavailable
			sim.run(time.Minute+time.Second, nil)
			for _, te := range sim.entries {
				is.Equal(status(te, counter).Share(), 0.0)
			}
			sim.logUnavailable = false
			sim.run(10*time.Second, nil)
			is.Equal(sim.verdicts(counter), map[Outcome]int{OutcomeRolledBack: 4})
			is.Equal(status(sim.entries[0], counter).Reason(), "not enough evidence by the deadline")
		})
	}
}

func TestRolledBackRolloutNeedsNewDeadline(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(4, 4, time.Minute, failing(1))
	sim.run(time.Minute, nil)
	is.Equal(sim.verdicts(counter), map[Outcome]int{OutcomeRolledBack: 4})
	te := sim.entries[0]
	sim.reduce(te, rail.NewDocumentInForce(sim.document.WithNumber(2)))
	is.Equal(status(te, counter).Share(), 0.0)
	again := rail.NewRollout(counter, newVersion, epoch.Add(time.Hour))
	sim.reduce(te, rail.NewDocumentInForce(rail.NewDocument("trial", 3, nil, sim.document.Routes(), []rail.Rollout{again}, "")))
	is.Equal(status(te, counter).Verdict(), OutcomeNone)
	is.Equal(status(te, counter).Share(), Defaults().steps[0].Share())
}

func TestOutageOfBothVersionsIsNotRolledBack(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		sim := newSimulation(seed, 6, trialWindow, nil)
		if seed%2 == 1 {
			sim.publishInterval = 10 * time.Second
		}
		base := sim.baseFailureRate
		sim.run(time.Duration(20+5*seed)*time.Second, nil)
		sim.baseFailureRate = 0.5
		sim.run(20*time.Second, nil)
		sim.baseFailureRate = base
		sim.run(trialWindow-sim.now.Sub(epoch), nil)
		is.Equal(sim.verdicts(counter), map[Outcome]int{OutcomeDone: 6})
	}
}

func TestFaultAfterDoneBrakes(t *testing.T) {
	is := is.New(t)
	from := trialWindow + time.Minute
	sim := newSimulation(5, 5, trialWindow, func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if after < from {
			return o
		}
		return failing(0.5)(o, r, after, share, roll)
	})
	sim.run(from, nil)
	is.Equal(sim.verdicts(counter), map[Outcome]int{OutcomeDone: 5})
	sim.run(10*time.Second, nil)
	newEntry := sim.start(9)
	sim.run(5*time.Second, nil)
	for _, te := range append(sim.entries[:5:5], newEntry) {
		s := status(te, counter)
		is.Equal(s.Verdict(), OutcomeDone) // the first verdict stands
		is.True(s.Braked())
		is.Equal(s.Share(), 0.0)
	}
}

func TestFreshEntryWithoutLogFollowsPeers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 4, trialWindow, nil)
	sim.run(trialWindow, nil)
	sim.logUnavailable = true
	te := sim.start(4)
	is.Equal(status(te, counter).Share(), 0.0)
	sim.run(10*time.Second, nil)
	is.Equal(status(te, counter).Share(), 1.0)
}

func TestStandingVerdictIsKeptInTheLog(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(7, 9, trialWindow, nil)
	sim.run(trialWindow, nil)
	before := len(sim.log)
	for _, stats := range sim.routes {
		stats.rate = 0
	}
	sim.run(Defaults().renewAfter, nil)
	is.True(len(sim.log) > before)
	is.True(len(sim.log) <= before+2*4) // for each of two routes only a few entries append again
	is.Equal(sim.verdicts(counter), map[Outcome]int{OutcomeDone: 9})
}

// Entries that read the same records hold the same verdict, regardless of batching and of earlier facts from peers.
func TestSameRecordsSameVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		sim := newSimulation(8, 2, trialWindow, nil)
		a, b := sim.entries[0], sim.entries[1]
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeRolledBack}), 1, 6).Draw(t, "outcomes")
		k := a.reducer.rollouts[counter].key
		var records []rail.Record
		for i, o := range outcomes {
			v := verdict{Route: k.route, Stable: k.stable, Version: k.version, DeadlineMs: k.deadline, Outcome: o}
			records = append(records, rail.NewRecord(rail.Offset(i), sim.now, rail.RecordVerdict, v.body()))
		}
		sim.reduce(a, rail.NewLogRead(records, 0, rail.Offset(len(records)), true))
		published := rapid.IntRange(0, len(records)-1).Draw(t, "published")
		e := a.reducer.rollouts[counter].evidence("breno", 1)
		e.verdict, e.offset = &verdict{}, rail.Offset(published)
		*e.verdict = verdict{Route: k.route, Stable: k.stable, Version: k.version, DeadlineMs: k.deadline, Outcome: outcomes[published]}
		fact := rail.NewFact(rail.NewFactKey(rail.FactEvidence, k.subject(), a.self), 1, e.text())
		sim.reduce(b, rail.NewFactsLearned([]rail.Fact{fact}))
		for _, r := range records {
			sim.reduce(b, rail.NewLogRead([]rail.Record{r}, 0, r.Offset()+1, true))
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
		e := evidence{domain: "breno", step: rapid.IntRange(0, 4).Draw(t, "step"), startedAt: epoch, stepCount: 2}
		e.tally.oldVersion, e.tally.steps[0], e.tally.steps[1] = count("old"), count("first"), count("second")
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

package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/simtime"
)

// restorableTopic is a topic of a store that can be restored from a copy.
type restorableTopic struct {
	name   string
	decode func(records []Record, full bool, source string) []Event

	mu          sync.Mutex
	records     []Record
	era         int64
	unavailable bool
	calls       int
}

func (t *restorableTopic) Name() string { return t.name }

func (t *restorableTopic) write(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, NewRecord(key, []byte(value), int64(len(t.records))))
}

// restore drops the records from the offset on.
func (t *restorableTopic) restore(end int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = slices.Clone(t.records[:end])
	t.era++
}

func (t *restorableTopic) setUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = unavailable
}

// since returns the records from the offset on, as the store does at this moment.
func (t *restorableTopic) since(from int64) (Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.unavailable:
		return Batch{}, errors.New("unavailable")
	case from > int64(len(t.records)):
		return Batch{}, ErrCompacted
	}
	return NewBatch(slices.Clone(t.records[from:]), int64(len(t.records))).WithEra(t.era), nil
}

func (t *restorableTopic) Read(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	t.mu.Lock()
	t.calls++
	t.mu.Unlock()
	for end := time.Now().Add(wait); ; {
		b, err := t.since(from)
		if err != nil || len(b.records) > 0 || !time.Now().Before(end) {
			return b, err
		}
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (t *restorableTopic) Newest(context.Context) (Batch, error) {
	b, err := t.since(0)
	newest := map[string]Record{}
	for _, r := range b.records {
		if newest[r.key] = r; len(r.value) == 0 {
			delete(newest, r.key)
		}
	}
	b.records = slices.Collect(maps.Values(newest))
	return b, err
}

func (t *restorableTopic) Events(b Batch, full bool, source string) []Event {
	if t.decode == nil {
		return nil
	}
	return t.decode(b.records, full, source)
}

func newTestGateway(name string) *Gateway {
	return New(NewState(NewSettings(name, "north", "first", time.Now())), nil, discardLog{}, discardMetrics{})
}

// Guards against records of a restored topic that are never read because their offsets had been read before.
func TestRecordsOfARestoredTopicAreRead(t *testing.T) {
	for _, c := range []struct {
		name    string
		records []int // The numbers of records that are written after the restore, a read follows each.
	}{
		{"shorter", []int{0}},
		{"same end before the next read", []int{4}},
		{"longer before the next read", []int{7}},
		{"shorter, then past the old end", []int{1, 6}},
		{"shorter, then the old end", []int{0, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			topic := &restorableTopic{name: "topic", era: 1}
			for i := range 10 {
				topic.write("before-"+strconv.Itoa(i), "1")
			}
			w := NewWatcher(topic, newTestGateway("gateway-0"), noMirror{}, time.Hour, 0, time.Hour)
			is.NoErr(w.read(t.Context(), false))
			topic.restore(6)
			written := 0
			for _, n := range c.records {
				for range n {
					topic.write("after-"+strconv.Itoa(written), "1")
					written++
				}
				is.NoErr(w.read(t.Context(), false))
			}
			b, known := w.RecordsFrom(Position{})
			is.True(known)
			is.Equal(b.next, Position{2, int64(6 + written)}) // The offset that the topic really ends at.
			var missing []string
			for i := range written {
				key := "after-" + strconv.Itoa(i)
				if !slices.ContainsFunc(b.records, func(r Record) bool { return r.key == key }) {
					missing = append(missing, key)
				}
			}
			is.Equal(missing, nil)
		})
	}
}

// restorableFleetSizes are the numbers of gateways of the users' sites.
var restorableFleetSizes = slices.DeleteFunc([]int{6, 90, 195}, func(n int) bool { return n > maxSimulatedGateways })

// restorableFleet is a fleet whose gateways follow a topic with the configuration, whose versions are the values.
type restorableFleet struct {
	topic   *restorableTopic
	failed  map[[2]int]time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup
	ctx     context.Context

	mu          sync.Mutex
	gateways    []*Gateway
	watchers    []*Watcher
	partitioned func(a, b int) bool
	// unannounced reports whether digests do not tell the gateway what peers have read.
	unannounced func(i int) bool
	// maxAge is the age of what a gateway knows from which it reads the store itself, zero for no limit.
	maxAge time.Duration
}

// process returns the present process of the gateway.
func (f *restorableFleet) process(i int) (*Gateway, *Watcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[i], f.watchers[i]
}

func (f *restorableFleet) setPartitioned(partitioned func(a, b int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

func (f *restorableFleet) isPartitioned(a, b int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned(a, b)
}

func newRestorableFleet(n int) *restorableFleet { return newRestorableFleetWithMaxAge(n, 0) }

func newRestorableFleetWithMaxAge(n int, maxAge time.Duration) *restorableFleet {
	f := &restorableFleet{failed: map[[2]int]time.Time{}, partitioned: func(int, int) bool { return false }, unannounced: func(int) bool { return false }, maxAge: maxAge}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.topic = &restorableTopic{name: "topic", era: 1, decode: func(records []Record, _ bool, source string) []Event {
		var events []Event
		for _, r := range records {
			version, _ := strconv.ParseInt(string(r.value), 10, 64)
			events = append(events, NewConfigRead(testConfig(version, testTeam()), source), NewUpstreamsRead(nil, true, source))
		}
		return events
	}}
	registrations := map[string]Registration{}
	for i := range n {
		registrations["gateway-"+strconv.Itoa(i)] = NewRegistration("127.0.0.1:"+strconv.Itoa(i+1), "domain-"+strconv.Itoa(i%3))
	}
	f.gateways, f.watchers = make([]*Gateway, n), make([]*Watcher, n)
	for i := range n {
		f.start(i, registrations)
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		for round := 0; f.ctx.Err() == nil; round++ {
			time.Sleep(100 * time.Millisecond)
			for i := range n {
				g, _ := f.process(i)
				g.Post(Ticked{})
				if (round+i)%4 == 0 {
					f.exchange(i)
				}
			}
		}
	}()
	return f
}

// start starts a process of the gateway.
func (f *restorableFleet) start(i int, registrations map[string]Registration) {
	name := "gateway-" + strconv.Itoa(i)
	s := NewState(NewSettings(name, registrations[name].domain, name+time.Now().String(), time.Now()).WithSlack(testSlack))
	s.Reduce(time.Now(), NewPeersRead(registrations, true))
	g := New(s, nil, discardLog{}, discardMetrics{})
	w := NewWatcher(f.topic, g, fleetMirror{f, i}, 100*time.Millisecond, time.Second, 8*time.Second).WithMaxAge(f.maxAge)
	f.mu.Lock()
	f.gateways[i], f.watchers[i] = g, w
	f.mu.Unlock()
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		w.Run(f.ctx)
	}()
}

func (f *restorableFleet) exchange(i int) {
	var contacts []Contact
	g, _ := f.process(i)
	g.View(func(s *State) {
		s.now = time.Now()
		contacts = s.Contacts(func(peer string) (unreachable, retry bool) {
			last, unreachable := f.failed[[2]int{i, gatewayIndex(peer)}]
			return unreachable, time.Since(last) >= 2*time.Second
		})
	})
	for _, c := range contacts {
		j := gatewayIndex(c.Name())
		if f.isPartitioned(i, j) {
			f.failed[[2]int{i, j}] = time.Now()
			continue
		}
		delete(f.failed, [2]int{i, j})
		peer, _ := f.process(j)
		digest := DigestFrom(g.Digest().Message())
		peer.Post(NewDigestReceived(digest).WithReplyRequested())
		f.announce(i, j)
		g.Post(NewDigestReceived(DigestFrom(peer.Reply(digest.Gateway()).Message())))
		f.announce(j, i)
	}
}

func gatewayIndex(name string) int {
	i, _ := strconv.Atoi(name[len("gateway-"):])
	return i
}

func (f *restorableFleet) stop() {
	f.cancel()
	f.running.Wait()
}

// versions returns the number of gateways by the version that they have in force.
func (f *restorableFleet) versions(only func(i int) bool) map[int64]int {
	versions := map[int64]int{}
	for i := range f.gateways {
		if only(i) {
			g, _ := f.process(i)
			g.View(func(s *State) {
				if s.config != nil {
					versions[s.config.version]++
				}
			})
		}
	}
	return versions
}

// Guards against a configuration that is never in force at gateways that had read further before the store was restored.
func TestConfigurationAfterARestoreIsInForceInTime(t *testing.T) {
	const applyTime = 2 * time.Second
	for _, n := range restorableFleetSizes {
		for _, partition := range []bool{false, true} {
			for _, rewritten := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d gateways, partition %v, rewritten before the store is back %v", n, partition, rewritten), func(t *testing.T) {
					simtime.Run(t, func(t *testing.T) {
						is := is.New(t)
						f := newRestorableFleet(n)
						defer f.stop()
						all := func(int) bool { return true }
						reachable := all
						f.topic.write("config", "3")
						time.Sleep(4 * time.Second)
						for _, version := range []string{"5", "9", "13"} {
							f.topic.write("config", version)
							time.Sleep(2 * time.Second)
						}
						is.Equal(f.versions(all), map[int64]int{13: n})
						f.topic.setUnavailable(true)
						if partition { // A failure domain is cut off from the others throughout the restore.
							f.setPartitioned(func(a, b int) bool { return (a%3 == 0) != (b%3 == 0) })
							reachable = func(i int) bool { return i%3 != 0 }
						}
						time.Sleep(2 * time.Second)
						f.topic.restore(2)
						if rewritten {
							f.topic.write("config", "13")
							f.topic.write("config", "13")
						}
						f.topic.setUnavailable(false)
						time.Sleep(time.Second)
						if !rewritten {
							f.topic.write("config", "13")
						}
						time.Sleep(3 * time.Second)
						is.Equal(f.versions(all), map[int64]int{13: n}) // An older one never comes into force again.
						f.topic.write("config", "17")
						time.Sleep(applyTime)
						is.Equal(f.versions(reachable), map[int64]int{17: len(slices.Collect(maps.Keys(f.names(reachable))))})
						f.setPartitioned(func(int, int) bool { return false })
						time.Sleep(10 * time.Second)
						is.Equal(f.versions(all), map[int64]int{17: n})
					})
				})
			}
		}
	}
}

// names returns the indexes of the picked gateways.
func (f *restorableFleet) names(only func(i int) bool) map[int]bool {
	names := map[int]bool{}
	for i := range f.gateways {
		if only(i) {
			names[i] = true
		}
	}
	return names
}

// announce tells a gateway how far another one has read.
func (f *restorableFleet) announce(from, to int) {
	_, w := f.process(from)
	_, peer := f.process(to)
	next, known := w.Next()
	age, _ := w.Age()
	f.mu.Lock()
	known = known && !f.unannounced(to)
	f.mu.Unlock()
	if known {
		peer.Notify("gateway-"+strconv.Itoa(from), next, time.Now().Add(-age))
	}
}

// fleetMirror mirrors the watchers of the other gateways of a fleet.
type fleetMirror struct {
	fleet *restorableFleet
	own   int
}

func (m fleetMirror) Mirror(_ context.Context, _, peer string, from Position) (Batch, string, error) {
	var readers []string
	g, _ := m.fleet.process(m.own)
	g.View(func(s *State) { readers = s.StoreReaders() })
	if peer != "" {
		readers = []string{peer}
	}
	for _, name := range readers {
		i := gatewayIndex(name)
		if m.fleet.isPartitioned(m.own, i) {
			continue
		}
		_, w := m.fleet.process(i)
		if b, known := w.RecordsFrom(from); known {
			return b, name, nil
		}
	}
	return Batch{}, "", errors.New("no peer can reach the store")
}

// Guards against gateways that forget their peers, or are forgotten by them, when the copy lacks registrations.
func TestRegistrationsMissingFromARestoredListAreKept(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	all := map[string]Registration{"gateway-1": NewRegistration("127.0.0.1:1", "north"), "gateway-2": NewRegistration("127.0.0.1:2", "north"), "gateway-3": NewRegistration("127.0.0.1:3", "north")}
	h.post(NewPeersRead(all, true))
	is.True(!h.state.RegistrationLost())
	h.advance(time.Minute).post(StoreRestored{})
	h.post(NewPeersRead(map[string]Registration{"gateway-2": all["gateway-2"]}, true))
	is.True(h.state.RegistrationLost()) // This gateway writes its own again.
	is.Equal(h.state.gateways(), 3)
	h.advance(time.Second).post(NewPeersRead(map[string]Registration{"gateway-1": all["gateway-1"]}, false))
	is.True(!h.state.RegistrationLost())
	h.advance(registrationHold).post(Ticked{})
	is.Equal(h.state.Address("gateway-3"), "") // It did not write its own again.
	is.Equal(h.state.gateways(), 2)
	h.advance(time.Minute).post(NewPeersRead(map[string]Registration{"gateway-1": all["gateway-1"]}, true))
	is.Equal(h.state.gateways(), 1) // A later list is complete.
}

// Guards against a gateway that has left and counts again as one that shares the limits.
func TestDepartedGatewayOfARestoredListDoesNotCount(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	other := NewRegistration("127.0.0.1:2", "north")
	h.post(NewPeersRead(map[string]Registration{"gateway-1": NewRegistration("127.0.0.1:1", "north"), "gateway-2": other}, true))
	h.post(NewPeersRead(map[string]Registration{"gateway-2": {}}, false))
	is.Equal(h.state.gateways(), 1)
	h.advance(5 * time.Second).post(StoreRestored{})
	h.post(NewPeersRead(map[string]Registration{"gateway-1": NewRegistration("127.0.0.1:1", "north"), "gateway-2": other}, true))
	is.Equal(h.state.gateways(), 1)
	h.advance(time.Second).post(NewPeersRead(map[string]Registration{"gateway-2": other}, false))
	is.Equal(h.state.gateways(), 2) // It was started again.
}

// Guards against a rollout that starts again from the copy's older order, once a later one is known.
func TestSupersededRolloutOrderOfARestoredStore(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	order := func(version string) {
		h.post(NewRolloutRead(NewRolloutOrder("desk", version, time.Minute, RolloutRunning)))
	}
	target := func() string { return h.state.rollouts["desk"].target }
	order("v2")
	h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", time.Minute, RolloutDone)))
	h.advance(time.Minute)
	order("v3")
	started := h.now
	h.advance(5 * time.Second).post(StoreRestored{})
	order("v2")
	is.Equal(target(), "v3")
	h.advance(2 * time.Second)
	order("v3") // The operator writes it again.
	is.Equal(h.state.rollouts["desk"].startedAt, started)
	is.Equal(h.state.Verdicts()["desk"].Target(), "v3")
	h.advance(time.Minute)
	order("v2")
	is.Equal(target(), "v2") // Ordered again.
	h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", time.Minute, RolloutDone)))
	is.Equal(len(h.state.Verdicts()), 0)
	is.Equal(h.state.EndedRollouts()["desk"].State(), RolloutDone)
}

// Two restores within a short time, of which gateways have seen none, one or both, leave all of them at the end of the topic.
func TestGatewaysOfDifferentErasConverge(t *testing.T) {
	for _, n := range restorableFleetSizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			simtime.Run(t, func(t *testing.T) {
				is := is.New(t)
				f := newRestorableFleet(n)
				defer f.stop()
				all := func(int) bool { return true }
				f.topic.write("config", "3")
				f.topic.write("config", "5")
				time.Sleep(6 * time.Second)
				f.setPartitioned(func(a, b int) bool { return a%3 != b%3 })
				f.topic.restore(1)
				f.topic.write("config", "5")
				time.Sleep(150 * time.Millisecond)
				f.topic.restore(0)
				f.topic.write("config", "5")
				f.topic.write("config", "7")
				f.setPartitioned(func(int, int) bool { return false })
				time.Sleep(2 * time.Second)
				is.Equal(f.versions(all), map[int64]int{7: n})
			})
		})
	}
}

// A gateway that starts while the store has an older configuration does not bring it into force at the others.
func TestOlderConfigurationOfARestoredStore(t *testing.T) {
	simtime.Run(t, func(t *testing.T) {
		is := is.New(t)
		f := newRestorableFleet(6)
		defer f.stop()
		f.topic.write("config", "5")
		f.topic.write("config", "9")
		time.Sleep(4 * time.Second)
		f.topic.restore(1)
		registrations := map[string]Registration{}
		g, _ := f.process(1)
		g.View(func(s *State) { registrations = maps.Clone(s.registrations.byName) })
		f.start(0, registrations)
		time.Sleep(4 * time.Second)
		is.Equal(f.versions(func(i int) bool { return i != 0 }), map[int64]int{9: 5})
		f.topic.write("config", "9")
		time.Sleep(2 * time.Second)
		is.Equal(f.versions(func(int) bool { return true }), map[int64]int{9: 6})
	})
}

// What gateways know of parts that make engines crash is written again after a restore.
func TestSuspectsAreStoredAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.advance(time.Minute)
	for i := range 3 {
		h.state.quarantine.merge("part", suspect{crashes: map[upstreamStart]time.Time{{"a", int64(i)}: h.now.Add(time.Duration(i-3) * time.Second)}})
	}
	records := h.state.quarantine.unstored(h.now)
	is.Equal(len(records), 1)
	h.post(SuspectsRead{suspects: records})
	is.Equal(len(h.state.quarantine.unstored(h.now)), 0)
	h.post(StoreRestored{})
	h.post(SuspectsRead{full: true})
	is.Equal(len(h.state.quarantine.unstored(h.now)), 1)
	is.True(h.state.quarantine.refusesPrompt([]PromptPart{{id: "part"}, {id: "own"}}, h.now))
}

// Guards against a configuration that is not in force in time at gateways whose way of news fails while their peers still answer.
func TestConfigurationArrivesWhenTheNewsOfPeersFail(t *testing.T) {
	const settleTime = 4 * time.Second
	for i, n := range restorableFleetSizes {
		applyTime := time.Duration(i+2) * time.Second // ConfigApplyMs of the users' sites of that size.
		for _, c := range []struct {
			name        string
			unannounced func(i int) bool
		}{
			{"one gateway", func(i int) bool { return i == n-1 }},
			{"a domain", func(i int) bool { return i%3 == 1 }},
			{"all", func(int) bool { return true }},
		} {
			t.Run(fmt.Sprintf("%d gateways, %s", n, c.name), func(t *testing.T) {
				simtime.Run(t, func(t *testing.T) {
					is := is.New(t)
					f := newRestorableFleetWithMaxAge(n, applyTime*3/4)
					defer f.stop()
					f.topic.write("config", "3")
					time.Sleep(settleTime)
					f.mu.Lock()
					f.unannounced = c.unannounced
					f.mu.Unlock()
					for version := 5; version < 15; version++ {
						f.topic.write("config", strconv.Itoa(version))
						time.Sleep(applyTime)
						is.Equal(f.versions(func(int) bool { return true }), map[int64]int{int64(version): n})
						time.Sleep(time.Duration(version*37) * time.Millisecond)
					}
				})
			})
		}
	}
}

// A fleet whose news arrive does not read the store more often because of the greatest age.
func TestGreatestAgeCostsNoReadsOfTheStore(t *testing.T) {
	for i, n := range restorableFleetSizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			simtime.Run(t, func(t *testing.T) {
				is := is.New(t)
				f := newRestorableFleetWithMaxAge(n, time.Duration(i+2)*time.Second*3/4)
				defer f.stop()
				f.topic.write("config", "3")
				time.Sleep(4 * time.Second)
				f.topic.mu.Lock()
				before := f.topic.calls
				f.topic.mu.Unlock()
				time.Sleep(20 * time.Second)
				f.topic.mu.Lock()
				reads := f.topic.calls - before
				f.topic.mu.Unlock()
				t.Logf("%d reads in 20 s", reads)
				readers := meshReaders
				if n > maxMeshGateways {
					readers = cellReaders
				}
				is.True(reads <= 20*readers+2*n/3) // Each reader reads once a second, a few others once in a while.
			})
		})
	}
}

package main

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// allPartitions selects all cases instead of one or a few of each kind.
var allPartitions = flag.Bool("partitions.all", false, "play all cases of partitions")

// cutLength is how long gateways are partitioned; the callers are counted from contactTime on.
const cutLength = 5 * time.Second

// all selects every link.
func all(int, int) bool { return true }

// checkServed checks that first tries at partitioned gateways are served about as often as those at the others.
func checkServed(t *testing.T, requests []*fleetRequest, from, to time.Time, partitioned func(gateway int) bool) {
	t.Helper()
	served, tried := share(requests, from, to, partitioned)
	othersServed, othersTried := share(requests, from, to, func(g int) bool { return !partitioned(g) })
	t.Logf("partitioned gateways served %d of %d requests at the first try, the others %d of %d", served, tried, othersServed, othersTried)
	if tried == 0 || othersTried == 0 {
		t.Fatal("no requests")
	}
	byResult := map[string]int{}
	for _, q := range requests {
		if partitioned(q.gateway) && !q.sentAt.Before(from) && q.sentAt.Before(to) && !q.served() {
			byResult[fmt.Sprintf("%s %d", q.path[:3], q.status)]++
		}
	}
	if len(byResult) > 0 {
		t.Log("not served there, by path and status:", byResult)
	}
	failed := tried - served
	if 3*served*othersTried < 2*othersServed*tried && float64(failed) > 10+float64(tried+othersTried)/50 {
		t.Errorf("RECOVER: partitioned gateways served %d of %d requests at the first try, the others %d of %d", served, tried, othersServed, othersTried)
	}
	if 3*othersServed < 2*othersTried {
		t.Errorf("the other gateways served %d of %d requests at the first try", othersServed, othersTried)
	}
}

// checkPartition cuts the selected links, and checks the callers of the gateways during the cut and after it.
func checkPartition(t *testing.T, cut func(f *fleet, until time.Time), partitioned func(gateway int) bool) {
	t.Helper()
	f := newFleet(t)
	start := time.Now()
	end := start.Add(cutLength)
	cut(f, end)
	time.Sleep(time.Until(end))
	f.set(whole, all)
	time.Sleep(contactTime + time.Second)
	healed := end.Add(contactTime)
	requests := f.finish()
	checkServed(t, requests, start.Add(contactTime), end, partitioned)
	if served, tried := share(requests, healed, healed.Add(time.Second), func(int) bool { return true }); 10*served < 9*tried {
		t.Errorf("%d of %d requests were served later than %v after the partition", served, tried, contactTime)
	}
}

// way is a way in which links are cut.
type way struct {
	name  string
	state linkState
}

var ways = []way{
	{"connections are reset and new ones refused", reset},
	{"connections and new ones hang", silent},
	{"connections hang and new ones are accepted and hang", accepting},
	{"connections live on and new ones are refused", refusing},
}

// partialWays returns the ways in which partial partitions are played: all of them, or the usual one.
func partialWays(usual linkState) []way {
	if *allPartitions {
		return ways
	}
	return slices.DeleteFunc(slices.Clone(ways), func(w way) bool { return w.state != usual })
}

// fleetsAtOnce bounds the fleets that run at once.
var fleetsAtOnce = make(chan struct{}, 2)

func TestCallersOfPartitionedGatewaysAreServed(t *testing.T) {
	partitions := []struct {
		name        string
		partitioned func(gateway int) bool
		usual       []linkState // The ways in which it is played by default.
	}{
		{"one", func(g int) bool { return g == 1 }, []linkState{reset}},
		{"two", func(g int) bool { return g == 1 || g == 2 }, []linkState{accepting}},
		{"a domain", func(g int) bool { return g%len(fleetDomains) == 0 }, []linkState{silent, refusing}},
	}
	for _, w := range ways {
		for _, p := range partitions {
			if !*allPartitions && !slices.Contains(p.usual, w.state) {
				continue
			}
			t.Run(p.name+", "+w.name, func(t *testing.T) {
				runFleet(t)
				checkPartition(t, func(f *fleet, _ time.Time) {
					f.set(w.state, func(g, _ int) bool { return p.partitioned(g) })
				}, p.partitioned)
			})
		}
	}
}

// runFleet lets a test run beside others, but few at once.
func runFleet(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetsAtOnce <- struct{}{}
	t.Cleanup(func() { <-fleetsAtOnce })
}

// Guards against gateways that keep callers waiting, or say that a request did not run, if no gateway reaches an upstream.
func TestFleetWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	for _, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			runFleet(t)
			f := newFleet(t)
			start := time.Now()
			f.set(w.state, all)
			time.Sleep(cutLength)
			end := time.Now()
			f.set(whole, all)
			time.Sleep(contactTime + time.Second)
			requests := f.finish()
			slow, tried := 0, 0
			for _, q := range requests {
				if q.sentAt.Before(start.Add(contactTime)) || q.sentAt.After(end.Add(-time.Second)) || q.served() {
					continue
				}
				tried++
				if q.doneAt.Sub(q.sentAt) > refusalTime || (q.status != http.StatusServiceUnavailable && q.status != http.StatusTooManyRequests) {
					slow++
				}
			}
			t.Logf("%d of %d requests that were not served waited for longer than %v or got another answer than a refusal", slow, tried, refusalTime)
			if float64(slow) > 10+float64(tried)/50 {
				t.Errorf("%d of %d requests were not refused at once", slow, tried)
			}
			if served, tried := share(requests, end.Add(contactTime), end.Add(contactTime+time.Second), func(int) bool { return true }); 10*served < 9*tried {
				t.Errorf("%d of %d requests were served later than %v after the partition", served, tried, contactTime)
			}
		})
	}
}

// refusalTime is the longest time of a refusal at once.
const refusalTime = 250 * time.Millisecond

// first selects the gateway that the partial partitions affect.
func first(g int) bool { return g == 1 }

// checkPartial checks a partition of one gateway from some upstreams in each way.
func checkPartial(t *testing.T, selected func(u int) bool) {
	t.Helper()
	for _, w := range partialWays(silent) {
		t.Run(w.name, func(t *testing.T) {
			runFleet(t)
			checkPartition(t, func(f *fleet, _ time.Time) {
				f.set(w.state, func(g, u int) bool { return first(g) && selected(u) })
			}, first)
		})
	}
}

func TestCallersOfAGatewayThatReachesNoUpstreamOfAServiceAreServed(t *testing.T) {
	checkPartial(t, func(u int) bool { return fleetServices[u%len(fleetServices)] == "desk" })
}

func TestCallersOfAGatewayThatReachesNoUpstreamOfADomainAreServed(t *testing.T) {
	checkPartial(t, func(u int) bool { return u/len(fleetServices) == 0 })
}

func TestCallersOfGatewaysThatReachDifferentUpstreamsAreServed(t *testing.T) {
	for _, w := range partialWays(silent) {
		t.Run(w.name, func(t *testing.T) {
			runFleet(t)
			checkPartition(t, func(f *fleet, _ time.Time) {
				f.set(w.state, func(g, u int) bool { return g < 3 && u%3 != g })
			}, func(g int) bool { return g < 3 })
		})
	}
}

func TestCallersOfAGatewayWithOneWayLinksAreServed(t *testing.T) {
	for name, s := range map[string]linkState{"requests do not arrive": silentUp, "answers do not arrive": silentDown} {
		t.Run(name, func(t *testing.T) {
			runFleet(t)
			checkPartition(t, func(f *fleet, _ time.Time) { f.set(s, func(g, _ int) bool { return first(g) }) }, first)
		})
	}
}

func TestCallersOfAGatewayWithLossyLinksAreServed(t *testing.T) {
	runFleet(t)
	checkPartition(t, func(f *fleet, _ time.Time) { f.set(lossy, func(g, _ int) bool { return first(g) }) }, first)
}

func TestCallersOfAGatewayWhoseLinksFlapAreServed(t *testing.T) {
	for _, w := range partialWays(reset) {
		t.Run(w.name, func(t *testing.T) {
			runFleet(t)
			var flapping sync.WaitGroup
			checkPartition(t, func(f *fleet, until time.Time) {
				flapping.Go(func() {
					for s := w.state; time.Until(until) > 0; time.Sleep(time.Second) {
						f.set(s, func(g, _ int) bool { return first(g) })
						if s == whole {
							s = w.state
						} else {
							s = whole
						}
					}
				})
				flapping.Wait()
			}, first)
		})
	}
}

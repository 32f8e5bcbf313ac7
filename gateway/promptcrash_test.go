package gateway

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests with a part that crashes engines reaching engine after engine (inc1).
func TestPromptPartThatCrashesEnginesIsBlocked(t *testing.T) {
	for i, size := range engineFleetSizes {
		for _, poisonous := range []float64{0.5, 2, 10}[min(i, 1):] {
			t.Run(fmt.Sprintf("%d gateways, %.1f a second", size.gateways, poisonous), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
				f.play(3*time.Second, load{sound: size.sound, ordinaryCrashes: 0.2})
				f.play(size.length, load{sound: size.sound, poisonous: poisonous, ordinaryCrashes: 0.2})
				f.report(t, size.contact)
				is.True(f.arrivalsAfter(size.contact) <= 3)
				is.True(f.begunShare(f.crashes[min(4, len(f.crashes)-1)].Add(2*size.contact)) >= 0.5)
				is.True(f.quarantinedShare() <= 0.02)
			})
		}
	}
}

// Guards against a part staying unblocked because its requests come in bursts, so that engines crash together (inc1).
func TestPromptPartThatCrashesEnginesInBurstsIsBlocked(t *testing.T) {
	for _, size := range engineFleetSizes {
		for _, poisonous := range []float64{4, 20} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d gateways, %.0f a second, seed %d", size.gateways, poisonous, seed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newEngineFleet(size.gateways, size.domains, size.engines, 100+seed)
					f.play(3*time.Second, load{sound: size.sound, ordinaryCrashes: 0.2})
					for range 4 {
						f.play(time.Second, load{sound: size.sound, poisonous: poisonous, ordinaryCrashes: 0.2})
						f.play(size.contact, load{sound: size.sound, ordinaryCrashes: 0.2})
					}
					f.report(t, size.contact)
					is.True(f.arrivalsAfter(size.contact) <= 3)
					is.True(f.begunShare(f.crashes[min(4, len(f.crashes)-1)].Add(2*size.contact)) >= 0.5)
					is.True(f.quarantinedShare() <= 0.02)
				})
			}
		}
	}
}

// Guards against a blocked part being unknown to gateways that the others cannot reach.
func TestBlockedPromptPartIsKnownInPartitions(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		// side returns the part of the fleet in which a gateway is; those of one part reach each other.
		side func(index int, domain string) int
	}{
		{"one of 6 gateways alone", 0, func(i int, _ string) int { return min(i, 1) }},
		{"halves of 6 gateways", 0, func(i int, _ string) int { return i % 2 }},
		{"each of 6 gateways alone", 0, func(i int, _ string) int { return i }},
		{"one domain of 90 gateways", 1, func(_ int, domain string) int { return len(strings.TrimSuffix(domain, "0")) }},
		{"a third of 90 gateways one by one", 1, func(i int, _ string) int { return min(i%3, 1) * i }},
		{"half of 195 gateways together", 2, func(i int, _ string) int { return i % 2 }},
		{"a third of 195 gateways one by one", 2, func(i int, _ string) int { return (1 - min(i%3, 1)) * i }},
	} {
		if c.size >= len(engineFleetSizes) {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			size := engineFleetSizes[c.size]
			f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
			f.play(3*time.Second, load{sound: size.sound})
			sides := map[string]int{}
			for i, name := range f.names {
				sides[name] = c.side(i, f.states[name].settings.domain)
			}
			f.partitioned = func(a, b *State) bool { return sides[a.settings.name] != sides[b.settings.name] }
			f.play(size.contact, load{sound: size.sound})
			f.play(size.length, load{sound: size.sound, poisonous: 2, ordinaryCrashes: 0.2})
			f.report(t, size.contact)
			is.True(f.arrivalsAfter(size.contact) <= 3)
			is.True(f.begunShare(f.crashes[min(4, len(f.crashes)-1)].Add(2*size.contact)) >= 0.5)
			is.True(f.quarantinedShare() <= 0.02)
		})
	}
}

// Guards against a blocked part being forgotten when all gateways start again at once.
func TestBlockedPromptPartIsKnownAfterARestartOfAllGateways(t *testing.T) {
	is := is.New(t)
	size := engineFleetSizes[0]
	f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
	f.play(3*time.Second, load{sound: size.sound})
	f.play(8*time.Second, load{sound: size.sound, poisonous: 2})
	f.restartAll()
	f.play(size.contact, load{sound: size.sound, poisonous: 2})
	f.play(10*time.Second, load{sound: size.sound, poisonous: 2})
	f.report(t, size.contact)
	is.True(len(f.crashes) >= 5)
	is.True(f.arrivalsAfter(size.contact) <= 3)
}

// Guards against popular parts being blocked because all engines ended at once and none answers for some seconds.
func TestCrashOfAllEnginesBlocksNoPopularPart(t *testing.T) {
	for _, size := range engineFleetSizes {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", size.gateways, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newEngineFleet(size.gateways, size.domains, size.engines, 300+seed)
				f.play(3*time.Second, load{sound: size.sound})
				for i := range size.engines {
					f.crash(f.engines["engine-"+strconv.Itoa(i)])
				}
				f.play(8*time.Second, load{sound: size.sound})
				is.Equal(f.quarantinedShare(), 0.0)
			})
		}
	}
}

// Guards against a part being blocked because engines crash and whole domains are reclaimed while it is in use.
func TestOrdinaryCrashesBlockNoPromptPart(t *testing.T) {
	for _, size := range engineFleetSizes {
		t.Run(fmt.Sprintf("%d gateways", size.gateways), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
			for domain := range 4 {
				f.play(3*time.Second, load{sound: size.sound, ordinaryCrashes: 1})
				for i := range size.engines {
					if e := f.engines["engine-"+strconv.Itoa(i)]; e.upstream.domain == "domain-"+strconv.Itoa(domain%size.domains) {
						f.crash(e)
					}
				}
			}
			is.Equal(f.quarantinedShare(), 0.0)
		})
	}
}

// shortAnswers makes answers short, and lets them end with their connections.
func (f *engineFleet) shortAnswers() {
	f.connectionEnds = true
	f.answerTimes = func(*simulatedRun) (first, length time.Duration) {
		return 50 * time.Millisecond, 200 * time.Millisecond
	}
}

// Guards against a part that all requests share being blocked after a few crashes, since none of its answers clears it.
func TestOrdinaryCrashesBlockNoPartOfAnswersThatEndWithTheirConnections(t *testing.T) {
	for _, size := range engineFleetSizes {
		t.Run(fmt.Sprintf("%d gateways", size.gateways), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
			f.shortAnswers()
			for i := range 40 {
				f.play(700*time.Millisecond, load{sound: size.sound})
				f.crash(f.engines["engine-"+strconv.Itoa(i%size.engines)])
			}
			f.play(4*time.Second, load{sound: size.sound})
			is.Equal(f.quarantinedShare(), 0.0)
		})
	}
}

// A part under which engines crash is blocked although answers to other requests end with their connections.
func TestPartThatCrashesEnginesIsBlockedAmongAnswersThatEndWithTheirConnections(t *testing.T) {
	for _, size := range engineFleetSizes {
		t.Run(fmt.Sprintf("%d gateways", size.gateways), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
			f.shortAnswers()
			f.play(3*time.Second, load{sound: size.sound, ordinaryCrashes: 0.2})
			f.play(size.length, load{sound: size.sound, poisonous: 2, ordinaryCrashes: 0.2})
			f.report(t, size.contact)
			is.True(f.arrivalsAfter(size.contact) <= 3)
			is.True(f.begunShare(f.crashes[min(4, len(f.crashes)-1)].Add(2*size.contact)) >= 0.5)
			is.True(f.quarantinedShare() <= 0.02)
		})
	}
}

// poisonPrompts returns the shared parts of the prompts of a team whose sound prompts all share parts, and whose poisonous ones hold the
// shared ones with the poisonous parts at the places.
func poisonPrompts(shared []string, sound [][]string, places ...int) func(poisonous bool) []string {
	n := 0
	return func(poisonous bool) []string {
		if !poisonous {
			n++
			return sound[n%len(sound)]
		}
		parts := slices.Clone(shared)
		for i, place := range places {
			parts = slices.Insert(parts, place, poisonPart+strconv.Itoa(i))
		}
		return parts
	}
}

// playPoison plays the sound requests, then the poisonous ones alone, and then both for the length. It returns the share of the sound requests that
// begin, from the time on at which all gateways must know of the crashes.
func (f *engineFleet) playPoison(t *testing.T, contact, length time.Duration, l load) float64 {
	t.Helper()
	f.acceptForwards()
	f.play(5*time.Second, load{sound: l.sound})
	f.play(2*time.Second, load{}) // No answer that ends later tells the parts apart.
	f.play(4*time.Second, load{poisonous: l.poisonous})
	f.play(length, l)
	f.report(t, contact)
	begun := f.begunShare(f.crashes[min(4, len(f.crashes)-1)].Add(2 * contact))
	t.Logf("%.3f of the sound requests begun", begun)
	return begun
}

// Guards against sound requests being refused for a part that all prompts under which engines crash share, wherever it stands in them.
func TestSoundPartsOfPromptsUnderWhichEnginesCrashStayInUse(t *testing.T) {
	shared := []string{"a", "b"}
	one, both := [][]string{{"c", "a"}}, [][]string{{"a", "b"}}
	each := [][]string{{"c", "a"}, {"b"}, {"b", "c"}}
	for _, size := range engineFleetSizes {
		for _, c := range []struct {
			name           string
			prompts        func(poisonous bool) []string
			sound          float64 // Requests a second.
			poisonous      float64
			connectionEnds bool
		}{
			{"the first part, few requests", poisonPrompts(shared, one, 0), 1, 2, false},
			{"the second part, few requests", poisonPrompts(shared, one, 1), 1, 2, false},
			{"the last shared part, few requests", poisonPrompts(shared, one, 2), 1, 2, false},
			{"the first part, sound prompts with all others", poisonPrompts(shared, both, 0), 1, 2, false},
			{"the first part, sound prompts with each other part", poisonPrompts(shared, each, 0), 1, 2, false},
			{"the second part, sound prompts with each other part", poisonPrompts(shared, each, 1), 1, 2, false},
			{"the first part, many requests", poisonPrompts(shared, one, 0), 20, 2, false},
			{"the first part, in quick succession", poisonPrompts(shared, one, 0), 1, 10, false},
			{"the first part, answers that end with their connections", poisonPrompts(shared, one, 0), 2, 2, true},
			{"two parts", poisonPrompts(shared, one, 0, 2), 1, 2, false},
			{"two parts, sound prompts with each other part", poisonPrompts(shared, each, 0, 1), 1, 2, false},
		} {
			t.Run(fmt.Sprintf("%d gateways, %s", size.gateways, c.name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
				f.prompts, f.connectionEnds = c.prompts, c.connectionEnds
				begun := f.playPoison(t, size.contact, 25*time.Second, load{sound: c.sound, poisonous: c.poisonous})
				is.True(f.arrivalsAfter(size.contact) <= 3)
				is.True(begun >= 0.5)
			})
		}
	}
}

// alternatingPoison returns the shared parts of prompts of which the sound ones hold the parts a and b, and each poisonous one a and b with
// one of the poisonous parts, in turn, at its place.
func alternatingPoison(sound []string, places ...int) func(poisonous bool) []string {
	n := 0
	return func(poisonous bool) []string {
		if !poisonous {
			return sound
		}
		n++
		i := n % len(places)
		return slices.Insert([]string{"a", "b"}, places[i], poisonPart+strconv.Itoa(i))
	}
}

// Guards against sound requests being refused for parts that all prompts under which engines crash share, although several poisonous parts
// take turns in them.
func TestSoundPartsStayInUseWhilePoisonousPartsTakeTurns(t *testing.T) {
	for _, size := range engineFleetSizes {
		for _, c := range []struct {
			name             string
			prompts          func(poisonous bool) []string
			sound, poisonous float64 // Requests a second.
			connectionEnds   bool
		}{
			{"at the first place", alternatingPoison([]string{"c", "a", "b"}, 0, 0), 1, 2, false},
			{"at the second place", alternatingPoison([]string{"a", "c", "b"}, 1, 1), 1, 2, false},
			{"at the last place", alternatingPoison([]string{"a", "b", "c"}, 2, 2), 1, 2, false},
			{"at the first place, sound prompts without a part there", alternatingPoison([]string{"a", "b"}, 0, 0), 1, 2, false},
			{"at two places", alternatingPoison([]string{"a", "b"}, 0, 2), 1, 2, false},
			{"rare sound requests", alternatingPoison([]string{"c", "a", "b"}, 0, 0), 0.5, 2, false},
			{"in quick succession", alternatingPoison([]string{"c", "a", "b"}, 0, 0), 1, 10, false},
			{"many sound requests", alternatingPoison([]string{"c", "a", "b"}, 0, 0), 20, 2, false},
			{"answers that end with their connections", alternatingPoison([]string{"c", "a", "b"}, 0, 0), 2, 2, true},
		} {
			t.Run(fmt.Sprintf("%d gateways, %s", size.gateways, c.name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newEngineFleet(size.gateways, size.domains, size.engines, 1)
				f.prompts, f.connectionEnds = c.prompts, c.connectionEnds
				begun := f.playPoison(t, size.contact, 40*time.Second, load{sound: c.sound, poisonous: c.poisonous})
				is.True(begun >= 0.5)
				for part, crashes := range f.crashesOf {
					late := countLater(f.arrivalsOf[part], crashes, 5, size.contact)
					t.Logf("%s: %d crashes, %d arrivals later than %v after the fifth", part, len(crashes), late, size.contact)
					is.True(late <= 3)
				}
			})
		}
	}
}

// Guards against further crashes at each gateway when a part that only came together with another one comes without it.
func TestPoisonousPartThatComesInOtherPromptsReachesFewEngines(t *testing.T) {
	for _, size := range engineFleetSizes {
		for _, poisonous := range []float64{2, 20} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d gateways, %.0f a second, seed %d", size.gateways, poisonous, seed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newEngineFleet(size.gateways, size.domains, size.engines, 600+seed)
					f.acceptForwards()
					with := []string{poisonPart, "a"}
					f.prompts = func(poisonous bool) []string {
						if poisonous {
							return with
						}
						return []string{"c"}
					}
					f.play(5*time.Second, load{sound: 20})
					f.play(5*time.Second, load{sound: 20, poisonous: poisonous})
					f.play(size.contact, load{sound: 20})
					with = []string{poisonPart, "b"}
					f.play(15*time.Second, load{sound: 20, poisonous: poisonous})
					f.report(t, size.contact)
					is.True(len(f.crashes) >= 3)
					is.True(countLater(f.poisonArrivals, f.crashes, min(5, len(f.crashes)), size.contact) <= 3)
					is.Equal(f.quarantinedShare(), 0.0)
				})
			}
		}
	}
}

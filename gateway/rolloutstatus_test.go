package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keepVersion removes the upstreams of all other versions than the one named.
func (f *rolloutFleet) keepVersion(version string) {
	var changes []UpstreamChange
	for _, s := range f.states {
		if changes == nil {
			for id, t := range s.registry.targets {
				if t.version != version {
					changes = append(changes, UpstreamRemoved(id))
				}
			}
		}
		s.Reduce(f.now, NewUpstreamsRead(changes, false, "store"))
	}
}

// restartAll starts all gateways again; they read the order, and the status of the rollout before or after it.
func (f *rolloutFleet) restartAll(status RolloutStatus, statusFirst bool, kept string) {
	for _, name := range f.names {
		s := f.begin(name)
		if statusFirst {
			s.Reduce(f.now, NewRolloutStatusRead(status))
		}
		s.Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
		if !statusFirst {
			s.Reduce(f.now, NewRolloutStatusRead(status))
		}
	}
	f.keepVersion(kept)
}

// Guards against gateways that, all restarted after the end of a rollout, refuse its service or try the version again.
func TestEndOfARolloutOutlivesARestartOfAllGateways(t *testing.T) {
	for _, c := range []struct {
		end  RolloutState
		kept string
	}{{RolloutDone, "v2"}, {RolloutRolledBack, "v1"}} {
		for _, n := range restorableFleetSizes {
			for _, statusFirst := range []bool{true, false} {
				t.Run(string(c.end)+" "+strconv.Itoa(n)+" "+strconv.FormatBool(statusFirst), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newRolloutFleet(n, 1)
					f.restartAll(NewRolloutStatus("desk", "v2", c.end, OrderID{}), statusFirst, c.kept)
					good := func() bool { return false }
					f.play(time.Second, 100, good) // The quotas of gateways that have just started refuse some.
					before := f.sent
					f.play(19*time.Second, 100, good)
					is.Equal(f.sent-before, 1900) // All are sent to an upstream.
					is.Equal(f.sentNew, map[string]int{"v2": f.sent, "v1": 0}[c.kept])
					for _, s := range f.states {
						is.Equal(s.EndedRollouts()["desk"].State(), c.end)
						is.Equal(len(s.Verdicts()), 0)
					}
				})
			}
		}
	}
}

package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

func record(offset rail.Offset, at time.Duration, kind rail.RecordKind, v any) rail.Record {
	return rail.NewRecord(offset, epoch.Add(at), kind, marshal(v))
}

// The term counts from the time at which the claim was sent, however late it is read back.
func TestLeaseReadBackLate(t *testing.T) {
	tests := []struct {
		name string
		read time.Duration
		want bool
	}{
		{"at once", time.Second, true},
		{"shortly before the margin", 11 * time.Second, true},
		{"within the margin", 13 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New(Defaults(), "me")
			reduce := func(at time.Duration, e rail.Event) []rail.Effect {
				return r.Reduce(rail.NewInput(e, epoch.Add(at), 0))
			}
			reduce(0, rail.NewLogRead(nil, 0, 0, true))
			var claimed rail.Record
			for _, f := range reduce(0, rail.NewTimerFired(tickTimer)) {
				if a, ok := f.(rail.Append); ok {
					claimed = rail.NewRecord(7, epoch.Add(tt.read), a.Kind(), a.Body())
				}
			}
			reduce(tt.read, rail.NewLogRead([]rail.Record{claimed}, 0, 8, true))
			fencing, holding := r.Holding()
			is.Equal(holding, tt.want)
			is.Equal(fencing, rail.Offset(7))
			reduce(tt.read+time.Minute, rail.NewLogUnavailable(nil)) // the first event after a pause
			_, holding = r.Holding()
			is.True(!holding)
		})
	}
}

func TestLogState(t *testing.T) {
	claims := func(offset rail.Offset, at time.Duration, holder rail.Incarnation) rail.Record {
		return record(offset, at, rail.RecordLease, claim{Holder: holder, TermMs: 15_000})
	}
	plans := func(offset rail.Offset, at time.Duration, fencing, base rail.Offset, token string) rail.Record {
		return record(offset, at, rail.RecordFleet, fleetRecord{Kind: recordPlanned, Fencing: fencing, Base: base, Purchases: []purchase{{Token: token}}})
	}
	tests := []struct {
		name    string
		records []rail.Record
		holder  rail.Incarnation
		open    int
	}{
		{"the first claim is valid", []rail.Record{claims(1, 0, "a"), claims(2, time.Second, "b")}, "a", 0},
		{"the next claim after its term is valid", []rail.Record{claims(1, 0, "a"), claims(2, 15*time.Second, "b")}, "b", 0},
		{"the holder renews", []rail.Record{claims(1, 0, "a"), claims(2, 10*time.Second, "a"), claims(3, 20*time.Second, "b")}, "a", 0},
		{"a plan of the holder", []rail.Record{claims(1, 0, "a"), plans(2, time.Second, 1, noPlan, "x")}, "a", 1},
		{"a plan after the holder's term", []rail.Record{claims(1, 0, "a"), plans(2, 16*time.Second, 1, noPlan, "x")}, "a", 0},
		{"a plan under the previous holder's fencing number", []rail.Record{claims(1, 0, "a"), claims(2, 20*time.Second, "b"), plans(3, 21*time.Second, 1, noPlan, "x")}, "b", 0},
		{"two plans with the same base", []rail.Record{claims(1, 0, "a"), plans(2, time.Second, 1, noPlan, "x"), plans(3, time.Second, 1, noPlan, "y")}, "a", 1},
		{"a plan based on the last one", []rail.Record{claims(1, 0, "a"), plans(2, time.Second, 1, noPlan, "x"), plans(3, time.Second, 1, 2, "y")}, "a", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			state := newLogState()
			for _, r := range tt.records {
				state.apply(r)
			}
			is.Equal(state.lease.holder, tt.holder)
			is.Equal(len(state.openPurchases), tt.open)
		})
	}
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(Defaults().Validate())
	for _, s := range []Settings{Defaults().WithTerm(time.Second, time.Second), Defaults().WithScaleDownDelay(0), Defaults().WithUtilisation(2), Defaults().WithStartupTimeout(0)} {
		is.Equal(rail.KindOf(s.Validate()), rail.KindBadSettings)
	}
}

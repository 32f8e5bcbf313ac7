package fleet

import (
	"fmt"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// BenchmarkPlan plans for a required number of instances over eight domains and two classes.
func BenchmarkPlan(b *testing.B) {
	for _, required := range []int{12, 120, 1200} {
		b.Run(fmt.Sprintf("need=%d", required), func(b *testing.B) {
			var pools []Pool
			for i := range 8 {
				d := rail.Domain(fmt.Sprint("d", i))
				pools = append(pools, testPool(d, reclaimable, 0.3+0.05*float64(i), required/9), testPool(d, onDemand, 1, 0))
			}
			for b.Loop() {
				Plan(required, pools, 6*time.Minute)
			}
		})
	}
}

// BenchmarkTick measures a tick of the lease holder that plans for a number of instances.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{12, 120, 1200} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			r, now := New(Defaults(), "me"), epoch
			route := rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")
			r.Reduce(rail.NewInput(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{route}, nil, "")), now, 0))
			var list []rail.Instance
			var offers []rail.Offer
			for i := range size {
				d := rail.Domain(fmt.Sprint("d", i%8))
				list = append(list, rail.NewInstance(rail.InstanceID(fmt.Sprint("m", i)), d, rail.RoleEngine, "").WithServing("tin-writer", "v1"))
				offers = append(offers[:min(len(offers), 8)], rail.NewOffer(d, reclaimable, 0.4))
			}
			r.Reduce(rail.NewInput(rail.NewListRead(list), now, 0))
			r.Reduce(rail.NewInput(NewOffersRead(offers[:min(len(offers), 8)]), now, 0))
			r.claimTimes[1], r.claimedAt = now, now
			r.Reduce(rail.NewInput(rail.NewLogRead([]rail.Record{record(1, 0, rail.RecordLease, claim{Holder: "me", Serial: 1, TermMs: 15_000})}, 0, 2, true), now, 0))
			for b.Loop() {
				r.plannedAt = time.Time{}
				r.Reduce(rail.NewInput(rail.NewTimerFired(tickTimer), now, 0))
			}
		})
	}
}

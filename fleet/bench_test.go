package fleet

import (
	"fmt"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// BenchmarkPlan plans for so many instances over eight domains and two classes.
func BenchmarkPlan(b *testing.B) {
	for _, need := range []int{12, 120, 1200} {
		b.Run(fmt.Sprintf("need=%d", need), func(b *testing.B) {
			var options []Pool
			for i := range 8 {
				d := rail.Domain(fmt.Sprint("d", i))
				options = append(options, option(d, cheap, 0.3+0.05*float64(i), need/9), option(d, sure, 1, 0))
			}
			for b.Loop() {
				Plan(need, options, 6*time.Minute)
			}
		})
	}
}

// BenchmarkTick is the holder's tick over so many instances.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{12, 120, 1200} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			p, now := New(Defaults(), "me"), epoch
			route := rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")
			p.Reduce(rail.NewInput(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{route}, nil, "")), now, 0))
			var list []rail.Instance
			var offers []rail.Offer
			for i := range size {
				d := rail.Domain(fmt.Sprint("d", i%8))
				list = append(list, rail.NewInstance(rail.InstanceID(fmt.Sprint("m", i)), d, rail.RoleEngine, "").WithServing("tin-writer", "v1"))
				offers = append(offers[:min(len(offers), 8)], rail.NewOffer(d, cheap, 0.4))
			}
			p.Reduce(rail.NewInput(rail.NewListRead(list), now, 0))
			p.Reduce(rail.NewInput(NewOffersRead(offers[:min(len(offers), 8)]), now, 0))
			p.claims[1], p.claimedAt = now, now
			p.Reduce(rail.NewInput(rail.NewLogRead([]rail.Record{record(1, 0, rail.RecordLease, claim{Holder: "me", Serial: 1, TermMs: 15_000})}, 0, 2, true), now, 0))
			for b.Loop() {
				p.plannedAt = time.Time{}
				p.Reduce(rail.NewInput(rail.NewTimerFired(tickTimer), now, 0))
			}
		})
	}
}

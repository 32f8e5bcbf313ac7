package rollout_test

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/rollout"
)

func Example() {
	now := time.Unix(1_800_000_000, 0)
	route := rail.NewRoute("counter", rail.RouteModel, "tin-writer", true, "v1")
	newVersion := rail.NewRollout("counter", "v2", now.Add(time.Hour))
	document := rail.NewDocument("production", 1, nil, []rail.Route{route}, []rail.Rollout{newVersion}, "")

	reducer := rollout.New(rollout.Defaults(), "breno", "e1")
	reducer.Reduce(rail.NewInput(rail.NewLogRead(nil, 0, 0, true), now, 0))
	reducer.Reduce(rail.NewInput(rail.NewDocumentInForce(document), now, 0))
	fmt.Println(reducer.Status()[0].Share(), reducer.Pick(route, "r28"))

	// First the old version answers; then the new one fails every time beside it.
	for range 40 {
		reducer.Reduce(rail.NewInput(rollout.NewObserved("counter", "v1", true, 200*time.Millisecond), now, 0))
	}
	for i := range 40 {
		event := rollout.NewObserved("counter", "v2", false, 0)
		if i%2 == 0 {
			event = rollout.NewObserved("counter", "v1", true, 200*time.Millisecond)
		}
		now = now.Add(50 * time.Millisecond)
		for _, effect := range reducer.Reduce(rail.NewInput(event, now, 0)) {
			fmt.Println(effect.EffectName())
		}
	}
	fmt.Println(reducer.Status()[0].Share(), reducer.Pick(route, "r28"))
	// Output:
	// 0.05 v2
	// report
	// publish
	// append
	// 0 v1
}

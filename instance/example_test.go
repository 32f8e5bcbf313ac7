package instance_test

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

// A reclaim notice removes an upstream at once, and a lagging list does not add it again.
func ExampleReducer() {
	at := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	reducer := instance.New(rail.NewInstance("entry-1", "breno", rail.RoleEntry, "127.0.0.1:9001"))
	list := rail.NewListRead([]rail.Instance{
		rail.NewInstance("m1", "breno", rail.RoleEngine, "127.0.0.1:9101").WithServing("frame-writer", "v1"),
		rail.NewInstance("m2", "edolo", rail.RoleEngine, "127.0.0.1:9102").WithServing("frame-writer", "v1"),
	})
	for _, e := range []rail.Event{list, rail.NewInstanceLeaving("m1", instance.SourceNotice), list} {
		reducer.Reduce(rail.NewInput(e, at, 0))
		fmt.Print(e.EventName(), ":")
		for _, u := range reducer.Upstreams("frame-writer", "v1") {
			fmt.Print(" ", u.ID())
		}
		fmt.Println()
	}
	// Output:
	// listRead: m1 m2
	// instanceLeaving: m2
	// listRead: m2
}

package emulator_test

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/emulator"
	"dandelionrail.org/rail/upstream"
)

func ExampleRun() {
	settings := emulator.Valcamonica(7).WithLength(30 * time.Second).WithoutReclaim()
	trace := emulator.Generate(settings)
	random := emulator.Run(trace, func(rail.Domain) (rail.Chooser, rail.Reducer) { return upstream.Random{}, nil }, settings)
	expected := emulator.Run(trace, func(d rail.Domain) (rail.Chooser, rail.Reducer) {
		reducer := upstream.New(upstream.Defaults(), d)
		return reducer, reducer
	}, settings)
	fmt.Println("every request ended:", expected.Completed() == trace.Size())
	fmt.Println("fewer tokens recomputed:", expected.RecomputedTokens() < random.RecomputedTokens())
	// Output:
	// every request ended: true
	// fewer tokens recomputed: true
}
